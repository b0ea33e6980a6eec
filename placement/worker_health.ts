/** Learns from results which workers fail what they run, whatever they say of themselves. */

/** Results count for this long, in milliseconds. */
const RESULT_WINDOW_MS = 6_000;

/** Jobs whose tasks must have gone wrong on a worker before it is suspected; one job may be at fault itself. */
const MIN_FAILED_JOBS = 2;

/** A worker is suspected once more than this part of its results is bad. */
const MAX_FAILURE_RATIO = 0.5;

interface Result {
  readonly atMs: number;
  readonly jobId: string;
  readonly isFailure: boolean;
}

/**
 * Limits how many tasks a suspected worker gets: one at a time, so that it can
 * show that it works again.
 *
 * @example
 * ```ts
 * health.note('w1', 'job1', true, nowMs);
 * health.refresh(nowMs);
 * health.maxNewTasks('w1', 0);
 * ```
 */
export class WorkerHealth {
  private readonly results = new Map<string, readonly Result[]>();
  private suspected: ReadonlySet<string> = new Set();

  recordResult(workerId: string, jobId: string, isBad: boolean, nowMs: number): void {
    this.results.set(workerId, [...this.recent(workerId, nowMs), { atMs: nowMs, jobId, isFailure: isBad }]);
  }

  /**
   * Judges all workers anew; called some times a second, since the judgement is
   * asked for in every round. Returns the workers that are suspected from now on.
   */
  refresh(nowMs: number): readonly string[] {
    const before = this.suspected;
    const suspected = [...this.results.keys()].filter((workerId) => this.isFailing(workerId, nowMs));
    this.suspected = new Set(suspected);
    return suspected.filter((workerId) => !before.has(workerId));
  }

  isSuspected(workerId: string): boolean {
    return this.suspected.has(workerId);
  }

  private isFailing(workerId: string, nowMs: number): boolean {
    const recent = this.recent(workerId, nowMs);
    const bad = recent.filter(({ isFailure: isBad }) => isBad);
    const badJobs = new Set(bad.map(({ jobId }) => jobId)).size;
    return badJobs >= MIN_FAILED_JOBS && bad.length > recent.length * MAX_FAILURE_RATIO;
  }

  /** Tasks that a worker may get beside those that it runs. */
  maxNewTasks(workerId: string, runCount: number): number {
    if (!this.isSuspected(workerId)) return Infinity;
    return runCount === 0 ? 1 : 0;
  }

  private recent(workerId: string, nowMs: number): readonly Result[] {
    return (this.results.get(workerId) ?? []).filter(({ atMs }) => nowMs - atMs < RESULT_WINDOW_MS);
  }
}
