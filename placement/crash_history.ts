/** Remembers recent crashes of workers, to tell whether workers also crash without a task. */
import type { OtherCrashes } from '../scheduling/crash_evidence';

/** How long a crash is remembered, in milliseconds; longer than the retries of a suspect are apart. */
const KEPT_MS = 60_000;

/** Crashes within this time of each other may have one cause, in milliseconds. */
export const TOGETHER_MS = 500;

/** Crashes this long before the first one under a task count as well, in milliseconds. */
const LOOK_BACK_MS = 5_000;

export interface PastCrash {
  readonly poolId: string;
  /** When the worker stopped to respond, on the monotonic clock. */
  readonly atMs: number;
  /** The tasks and gangs that ran on the worker. */
  readonly units: ReadonlySet<string>;
  /** Whether a task that had just started may have caused it. */
  readonly isExplained: boolean;
  /** Whether a young task ran on the worker, which may be to blame as well. */
  readonly hasYoungTask: boolean;
}

/**
 * @example
 * ```ts
 * history.othersWithout('job.0.0.0', crash); // 'none'
 * history.record(crash);
 * ```
 */
export class CrashHistory {
  private crashes: readonly PastCrash[] = [];

  record(crash: PastCrash): void {
    this.crashes = [...this.crashes.filter(({ atMs }) => crash.atMs - atMs < KEPT_MS), crash];
  }

  /** What happened in the pool since the crash before the given one under a task or gang. */
  othersWithout(unit: string, { poolId, atMs }: PastCrash): OtherCrashes {
    const inPool = this.crashes.filter((crash) => crash.poolId === poolId);
    const previousMs = Math.max(
      ...inPool.filter(({ units }) => units.has(unit)).map((crash) => crash.atMs),
      atMs - KEPT_MS,
    );
    const hasPrevious = previousMs > atMs - KEPT_MS;
    const sinceMs = hasPrevious ? previousMs - TOGETHER_MS : atMs - LOOK_BACK_MS;
    const isContrary = ({ units, isExplained, atMs: otherMs }: PastCrash): boolean =>
      !units.has(unit) && !isExplained && otherMs >= sinceMs;
    const contrary = inPool.filter(isContrary);
    if (contrary.some(({ hasYoungTask }) => !hasYoungTask)) return 'crashed';
    if (contrary.length > 0) return 'crashed_beside_young';
    return hasPrevious && atMs - previousMs < TOGETHER_MS ? 'too_soon' : 'none';
  }
}
