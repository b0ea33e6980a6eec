/** Limits how often tasks that are proven to crash their workers start in a pool. */
import { isProven, type CrashCounts } from '../scheduling/crash_evidence';

/**
 * Minimum time between two such starts in a pool, in milliseconds. A crash keeps a worker
 * away for about 3.3 s, so that they take at most about a third of one worker together,
 * however many such tasks there are.
 */
const INTERVAL_MS = 10_000;

/**
 * Jobs that run until they are cancelled are not given up, so that their tasks start again
 * whatever they do to their workers.
 *
 * @example
 * ```ts
 * const due = retries.admit('pool', suspects, (suspect) => countsOf(suspect), nowMs);
 * ```
 */
export class ProvenRetries {
  private readonly nextAtMs = new Map<string, number>();

  /** Leaves out the suspects that may not start now; the one with the fewest crashes comes first. */
  admit<T>(
    poolId: string,
    suspects: readonly T[],
    countsOf: (suspect: T) => CrashCounts,
    nowMs: number,
  ): readonly T[] {
    const proven = suspects.filter((suspect) => isProven(countsOf(suspect)));
    if (proven.length === 0) return suspects;
    const isDue = nowMs >= (this.nextAtMs.get(poolId) ?? -Infinity);
    const [next] = [...proven].sort((a, b) => countsOf(a).ownCrashes - countsOf(b).ownCrashes);
    return suspects.filter((suspect) => !proven.includes(suspect) || (isDue && suspect === next));
  }

  recordStart(poolId: string, counts: CrashCounts, nowMs: number): void {
    if (isProven(counts)) this.nextAtMs.set(poolId, nowMs + INTERVAL_MS);
  }
}
