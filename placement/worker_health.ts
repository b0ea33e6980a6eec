/** Detects faulty workers by the results of the tasks that they run, not by what they report about themselves. */

/** Results older than this are ignored, in milliseconds. */
const RESULT_WINDOW_MS = 6_000;

/**
 * A worker is suspected of being faulty only if tasks of at least this many jobs failed
 * on it, since a single job may itself be faulty.
 */
const MIN_FAILED_JOBS = 2;

/** A worker is suspected of being faulty only if more than this fraction of its results are failures. */
const MAX_FAILURE_RATIO = 0.5;

interface Result {
  readonly atMs: number;
  readonly jobId: string;
  readonly isFailure: boolean;
}

/**
 * Limits a suspected worker to one task at a time, so that it can show that it
 * works again.
 *
 * @example
 * ```ts
 * health.recordResult('w1', 'job1', true, nowMs);
 * health.refresh(nowMs);
 * health.maxNewTasks('w1', 0);
 * ```
 */
export class WorkerHealth {
  /** Results within the window, oldest first, by worker. */
  private readonly results = new Map<string, Result[]>();
  private readonly lastFailureAtMs = new Map<string, number>();
  private suspected: ReadonlySet<string> = new Set();

  recordResult(workerId: string, jobId: string, isFailure: boolean, nowMs: number): void {
    const results = this.results.get(workerId) ?? [];
    this.results.set(workerId, results);
    const firstRecent = results.findIndex(({ atMs }) => nowMs - atMs < RESULT_WINDOW_MS);
    results.splice(0, firstRecent < 0 ? results.length : firstRecent);
    results.push({ atMs: nowMs, jobId, isFailure });
    if (isFailure) this.lastFailureAtMs.set(workerId, nowMs);
  }

  /**
   * Evaluates all workers again and returns the newly suspected ones. Called a
   * few times a second; planning passes, which are more frequent, use the stored result.
   */
  refresh(nowMs: number): readonly string[] {
    const previous = this.suspected;
    const suspected: string[] = [];
    for (const [workerId, failedAtMs] of this.lastFailureAtMs) {
      if (nowMs - failedAtMs >= RESULT_WINDOW_MS) this.lastFailureAtMs.delete(workerId);
      else if (this.isFailing(workerId, nowMs)) suspected.push(workerId);
    }
    this.suspected = new Set(suspected);
    return suspected.filter((workerId) => !previous.has(workerId));
  }

  isSuspected(workerId: string): boolean {
    return this.suspected.has(workerId);
  }

  private isFailing(workerId: string, nowMs: number): boolean {
    const recent = this.recent(workerId, nowMs);
    const failed = recent.filter(({ isFailure }) => isFailure);
    const failedJobCount = new Set(failed.map(({ jobId }) => jobId)).size;
    return failedJobCount >= MIN_FAILED_JOBS && failed.length > recent.length * MAX_FAILURE_RATIO;
  }

  /** How many further tasks a worker may get, given how many it runs. */
  maxNewTasks(workerId: string, runCount: number): number {
    if (!this.isSuspected(workerId)) return Infinity;
    return runCount === 0 ? 1 : 0;
  }

  private recent(workerId: string, nowMs: number): readonly Result[] {
    return (this.results.get(workerId) ?? []).filter(({ atMs }) => nowMs - atMs < RESULT_WINDOW_MS);
  }
}
