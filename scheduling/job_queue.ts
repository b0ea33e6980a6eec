/** Resolves the queue of an accepted job while the operator renames, moves and removes queues. */
import { findQueue, type FleetRules, type QueueRule } from './fleet_rules';
import type { AcceptedJob } from './job_definition';

interface Resolution {
  readonly rules: FleetRules;
  readonly queue: QueueRule | undefined;
}

/** Resolutions for jobs whose queue is not in force, since every planning pass asks for them. */
const resolutions = new WeakMap<AcceptedJob, Resolution>();

/**
 * The rule by which the tasks of an accepted job run. A job outlives its queue: while no
 * queue has the name under which the job was accepted, it goes on in the pool that was
 * promised to it, by the rule of the queue that now serves its callers if that queue has the
 * same pool, and otherwise by the rule under which it was accepted. Only if the pool has been
 * removed as well does the job move to that of the queue that serves its callers.
 *
 * Returns `undefined` if the rules are not known yet or nothing tells where the job may run.
 *
 * @example
 * ```ts
 * const poolId = queueOf(rules, record.job)?.poolId;
 * ```
 */
export function queueOf(rules: FleetRules | null, job: AcceptedJob): QueueRule | undefined {
  if (rules === null) return job.acceptedUnder;
  const named = rules.queues.get(job.queueId);
  if (named !== undefined) return named;
  const known = resolutions.get(job);
  if (known?.rules === rules) return known.queue;
  const queue = resolveRemoved(rules, job);
  resolutions.set(job, { rules, queue });
  return queue;
}

/**
 * Id of the queue at which callers ask for an accepted job: that of its name, or else the one
 * that now serves the address at which it was accepted.
 *
 * @example
 * ```ts
 * const pending = counts.get(callerQueueId(rules, record.job));
 * ```
 */
export function callerQueueId(rules: FleetRules | null, job: AcceptedJob): string {
  if (rules === null || rules.queues.has(job.queueId)) return job.queueId;
  return servingQueue(rules, job)?.queueId ?? job.queueId;
}

function resolveRemoved(rules: FleetRules, job: AcceptedJob): QueueRule | undefined {
  const { acceptedUnder } = job;
  const serving = servingQueue(rules, job);
  if (acceptedUnder === undefined || serving === undefined) return acceptedUnder;
  const hasPool = rules.pools.has(acceptedUnder.poolId);
  return serving.poolId === acceptedUnder.poolId || !hasPool ? serving : acceptedUnder;
}

function servingQueue(rules: FleetRules, { jobId, acceptedUnder }: AcceptedJob): QueueRule | undefined {
  if (acceptedUnder === undefined) return undefined;
  return findQueue(rules, acceptedUnder.host, acceptedUnder.pathPrefix + jobId) ?? undefined;
}
