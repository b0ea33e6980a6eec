/** The operators' configuration in the form that the scheduler uses. */
import type { Resources } from '../model/resources';

/**
 * Expected response time and ticket validity of the placement advice service, which
 * decides on which workers a queue's steps may run.
 */
export interface AdviceRule {
  /** Time that the service takes for a request, in milliseconds. */
  readonly decideMs: number;
  /** Additional time for each worker that the request names, in milliseconds. */
  readonly perWorkerMs: number;
  /** How long a ticket may be used, in milliseconds, if the response does not say. */
  readonly validMs: number;
}

/** A queue, to which callers submit jobs. */
export interface QueueRule {
  readonly queueId: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** The pool whose workers run the queue's tasks. */
  readonly poolId: string;
  /** 0 is the most urgent. Long-running tasks may preempt batch runs with the same or a higher number. */
  readonly priority: number;
  /** Number of failed runs of one task after which the job has failed. */
  readonly maxAttempts: number;
  /**
   * The target for the duration of a job is this many times the length of its critical
   * path, plus {@link targetLatencyMs}.
   */
  readonly stretch: number;
  /** Constant part of the target for a job's duration, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Whether callers need no API key. */
  readonly openToAll: boolean;
  /** `null` if steps of this queue need no permission of the placement advice service. */
  readonly advice: AdviceRule | null;
}

export interface PoolRule {
  readonly poolId: string;
  /**
   * Whether this is a spare pool: its instances are switched off and cost nothing until
   * they are moved to another pool.
   */
  readonly spare: boolean;
}

/** A customer of the fleet. */
export interface TeamRule {
  readonly teamId: string;
  readonly shareWeight: number;
  /** Resources that the team may use at once on all workers; 0 means no limit of that resource. */
  readonly upperLimit: Resources;
}

export interface FleetRules {
  readonly version: number;
  readonly queues: ReadonlyMap<string, QueueRule>;
  readonly pools: ReadonlyMap<string, PoolRule>;
  readonly teams: ReadonlyMap<string, TeamRule>;
  /** Team id by API key. */
  readonly teamByKey: ReadonlyMap<string, string>;
  /** Maximum size of a request body, in bytes. */
  readonly maxBodyBytes: number;
}

/** The queue with a matching host and the longest matching path prefix; `null` if none matches. */
export function findQueue(rules: FleetRules, host: string, path: string): QueueRule | null {
  let found: QueueRule | null = null;
  for (const queue of rules.queues.values()) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    if (found === null || queue.pathPrefix.length > found.pathPrefix.length) found = queue;
  }
  return found;
}
