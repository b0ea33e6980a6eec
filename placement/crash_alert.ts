/** Spreads the starts in a pool in which tasks crash workers, so that a crash takes few others with it. */
import type { PlanWorker } from '../scheduling/placement_planner';
import type { Candidate } from './plan_request';

/** How long starts are spread after a crash for which tasks are suspected, in milliseconds. */
const ALERT_MS = 5_000;

/** Maximum number of tasks that start on one worker at about the same time. */
const MAX_STARTING = 3;

/**
 * @example
 * ```ts
 * alert.raise('p', nowMs);
 * if (alert.isRaised('p', nowMs)) alert.limit(workers, candidates, countStarting);
 * ```
 */
export class CrashAlert {
  private readonly raisedUntilMs = new Map<string, number>();

  raise(poolId: string, nowMs: number): void {
    this.raisedUntilMs.set(poolId, nowMs + ALERT_MS);
  }

  isRaised(poolId: string, nowMs: number): boolean {
    return nowMs < (this.raisedUntilMs.get(poolId) ?? -Infinity);
  }

  /** Limits the new tasks of each worker, given how many of its tasks are starting. */
  limit(
    workers: readonly PlanWorker[],
    candidates: readonly Candidate[],
    countStarting: (workerId: string) => number,
  ): readonly PlanWorker[] {
    // A gang that the pool has room for must not wait for this limit.
    const largestGang = Math.max(
      0,
      ...candidates
        .map(({ readyStep }) => readyStep.definition)
        .map(({ isGang, taskCount }) => (isGang ? taskCount : 0)),
    );
    const maxStarting = Math.max(MAX_STARTING, largestGang);
    return workers.map((worker) => ({
      ...worker,
      maxNewTasks: Math.min(worker.maxNewTasks, maxStarting - countStarting(worker.workerId)),
    }));
  }
}
