/** Resources that running tasks of overdue jobs occupy, by pool. */
import { addResources, NO_RESOURCES, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import { isLongRunning } from '../scheduling/job_definition';
import { queueOf } from '../scheduling/job_queue';
import { USEFUL_TIME_FACTOR } from '../scheduling/queue_order';
import type { PlacementState } from './placement_state';
import { targetMs } from './plan_request';

/** What the running tasks of a pool's overdue jobs occupy. */
export interface OverdueWork {
  /** For jobs that have missed their target and whose result is still of use. */
  readonly late: Resources;
  /** For jobs whose result is of no use any more. */
  readonly useless: Resources;
}

export const NO_OVERDUE_WORK: OverdueWork = { late: NO_RESOURCES, useless: NO_RESOURCES };

/**
 * Adds up the running tasks of overdue jobs. Long-running jobs and jobs with due times
 * are never overdue.
 *
 * @example
 * ```ts
 * const { late, useless } = overdueWorkByPool(state, rules, nowMs).get(poolId) ?? NO_OVERDUE_WORK;
 * ```
 */
export function overdueWorkByPool(
  state: PlacementState,
  rules: FleetRules,
  nowMs: number,
): ReadonlyMap<string, OverdueWork> {
  const byPool = new Map<string, OverdueWork>();
  for (const { record, acceptedAtMs } of state.jobs.openJobs()) {
    if (!record.hasRuns()) continue;
    const { jobId, definition } = record.job;
    const queue = queueOf(rules, record.job);
    if (queue === undefined || definition.repeat !== null || isLongRunning(definition)) continue;
    const lateness = (nowMs - acceptedAtMs) / targetMs(definition, queue, state.estimator);
    if (lateness <= 1) continue;
    const { late, useless } = byPool.get(queue.poolId) ?? NO_OVERDUE_WORK;
    const occupied = state.occupancy.ofJob(jobId);
    byPool.set(
      queue.poolId,
      lateness > USEFUL_TIME_FACTOR
        ? { late, useless: addResources(useless, occupied) }
        : { late: addResources(late, occupied), useless },
    );
  }
  return byPool;
}
