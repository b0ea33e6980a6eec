/** Promises rejected callers when to return, without promising capacity twice. */
import { totalWork } from '../placement/run_time_estimator';
import type { Rejection } from './admission_decision';
import { runTimeFactor, type SubmittedJob } from './job_position';
import { idHash, returnSecondFrom } from './return_second';

export interface ReturnPromisesOptions {
  /** Longest time after which a caller is asked to return, in seconds. */
  readonly maxRetryAfterS: number;
}

/**
 * The promises of one process. Each process promises its part of a pool's capacity, in
 * order of rejection, from the time at which the pool has worked off what comes first.
 *
 * @example
 * ```ts
 * const retryAfterS = promises.promise(job, rejection, clock.monotonicMs());
 * ```
 */
export class ReturnPromises {
  /** Until when the process's part of a pool is promised, on the monotonic clock, by pool. */
  private readonly promisedUntilMs = new Map<string, number>();

  constructor(private readonly options: ReturnPromisesOptions) {}

  /** Time after which the caller should submit the job again, in whole seconds. */
  promise(job: SubmittedJob, rejection: Rejection, nowMs: number): number {
    const { pool, waitMs, isReturn, aged } = rejection;
    const { maxRetryAfterS } = this.options;
    const workedOffAtMs = nowMs + waitMs;
    const promisedUntilMs = Math.max(workedOffAtMs, this.promisedUntilMs.get(pool.poolId) ?? 0);
    // A job that has returned at its time was promised capacity before those that wait behind it.
    const earliestInS = ((isReturn ? workedOffAtMs : promisedUntilMs) - nowMs) / 1_000;
    const nowS = aged.view.seconds + aged.ageMs / 1_000;
    const retryAfterS = Math.ceil(returnSecondFrom(job.jobId, nowS + earliestInS) - nowS);
    if (retryAfterS > maxRetryAfterS) return this.beyondPromises(job.jobId);
    this.promisedUntilMs.set(pool.poolId, promisedUntilMs + partOfPoolMs(job, rejection));
    return Math.max(1, retryAfterS);
  }

  /** Spreads returns beyond the last promised time over the last half of the longest time. */
  private beyondPromises(jobId: string): number {
    const { maxRetryAfterS } = this.options;
    const spreadS = Math.floor(maxRetryAfterS / 2) + 1;
    return maxRetryAfterS - (idHash(jobId) % spreadS);
  }
}

/** Time for which the job's work takes the process's part of the pool, in milliseconds. */
function partOfPoolMs({ queue, definition }: SubmittedJob, { pool, aged }: Rejection): number {
  const { view } = aged;
  const workMs = runTimeFactor(view, queue.queueId) * totalWork(definition, () => true);
  return (workMs / Math.max(1, pool.capacity.processors)) * view.processCount;
}
