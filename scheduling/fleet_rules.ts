/** The operators' configuration as the scheduler uses it. */
import type { Resources } from '../model/resources';

/** How a queue asks which workers may run a step. */
export interface AdviceRule {
  /** Time that each question takes, in milliseconds. */
  readonly decideMs: number;
  /** Further time for each worker that is asked about, in milliseconds. */
  readonly perWorkerMs: number;
  /** How long a permission may be used, in milliseconds. */
  readonly validMs: number;
}

/** Where callers submit jobs. */
export interface QueueRule {
  readonly queueId: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** The pool whose workers run the queue's tasks. */
  readonly poolId: string;
  /** 0 is the most urgent; lower numbers may preempt higher ones. */
  readonly priority: number;
  /** Runs of one task that may end as failed before the job has failed. */
  readonly maxAttempts: number;
  /** The job's target is this many times its longest chain of work, plus {@link targetLatencyMs}. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Callers need no key. */
  readonly openToAll: boolean;
  readonly advice: AdviceRule | null;
}

export interface PoolRule {
  readonly poolId: string;
  /** Instances of this pool are switched off and cost nothing until they are moved. */
  readonly spare: boolean;
}

/** A customer of the fleet. */
export interface TeamRule {
  readonly teamId: string;
  readonly shareWeight: number;
  /** What may run at once on all workers; 0 in a resource means no limit. */
  readonly upperLimit: Resources;
}

export interface FleetRules {
  readonly version: number;
  readonly queues: ReadonlyMap<string, QueueRule>;
  readonly pools: ReadonlyMap<string, PoolRule>;
  readonly teams: ReadonlyMap<string, TeamRule>;
  /** Team by key. */
  readonly teamByKey: ReadonlyMap<string, string>;
  /** Largest body of a request, in bytes. */
  readonly maxBodyBytes: number;
}

/** The queue whose host matches and whose prefix is the longest that the path begins with. */
export function findQueue(rules: FleetRules, host: string, path: string): QueueRule | null {
  let found: QueueRule | null = null;
  for (const queue of rules.queues.values()) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue;
    if (found === null || queue.pathPrefix.length > found.pathPrefix.length) found = queue;
  }
  return found;
}
