/** Decides how long a task that is suspected of crashing its workers waits for its next start. */
import { retryDelayMs } from '../jobs/retry_policy';
import { isProven, type CrashCounts } from './crash_evidence';

/** Longest delay while other causes are possible, in milliseconds, so that a long-running task is not missing for long. */
const MAX_DELAY_MS = 2_000;

/**
 * Longest delay of a task that is proven to crash its workers, in milliseconds. A crash keeps
 * a worker away for about 3.3 s, so that the task takes about a fifth of one worker.
 */
const MAX_PROVEN_DELAY_MS = 12_000;

/** Retries of a suspect are not randomized: they wait for different workers anyway. */
const NO_JITTER = 0.5;

/**
 * Returns the delay after a crash that is part of the counts, in milliseconds.
 *
 * @example
 * ```ts
 * crashRetryDelayMs(record.crashesOf(task)); // 2_000
 * ```
 */
export function crashRetryDelayMs(counts: CrashCounts): number {
  if (isProven(counts)) return Math.min(MAX_PROVEN_DELAY_MS, retryDelayMs(counts.ownCrashes - 1, NO_JITTER));
  return counts.crashes < 2 ? 0 : Math.min(MAX_DELAY_MS, retryDelayMs(counts.crashes - 1, NO_JITTER));
}
