/** How much of a pool's demand serves callers, and how much each pool gets when there is too little for all. */

/**
 * Number of instances that a pool needs, in levels that include the ones before. Work of
 * a lower level takes no instance from work of a higher one in any pool.
 */
export interface DemandLevels {
  /** What the pool keeps in any case, for the spread of its long-running tasks. */
  readonly minInstances: number;
  /** For jobs that may still meet their target, and for work that arrives now. */
  readonly onTimeInstances: number;
  /** For jobs of a burst that has begun and is expected to grow, since instances arrive too late for the first of them. */
  readonly expectedInstances: number;
  /** For jobs that have missed their target and whose result is still of use, and for what runs besides. */
  readonly neededInstances: number;
}

const LEVELS = ['minInstances', 'onTimeInstances', 'expectedInstances', 'neededInstances'] as const;

/**
 * Divides `total` instances between pools that need more: level by level, and within
 * the level for which there are too few in proportion to what each pool needs of it.
 *
 * It answers bursts of several pools at once, and callers who return after an outage.
 * Without levels, a pool whose jobs are all late keeps the instances with which another
 * pool would meet its targets.
 *
 * @example
 * ```ts
 * divideInstances([levelsOfQuotes, levelsOfBookings], 40); // [28, 12]
 * ```
 */
export function divideInstances(pools: readonly DemandLevels[], total: number): readonly number[] {
  let shares: readonly number[] = pools.map(() => 0);
  let left = Math.max(0, total);
  for (const level of LEVELS) {
    const added = pools.map((pool, index) => Math.max(0, pool[level] - (shares[index] ?? 0)));
    const sum = added.reduce((all, count) => all + count, 0);
    const ratio = sum > left ? left / sum : 1;
    shares = shares.map((share, index) => share + (added[index] ?? 0) * ratio);
    left -= sum * ratio;
    if (left <= 0) break;
  }
  return roundToSum(shares);
}

/** Rounds down, and gives the instances that remain to the largest remainders. */
function roundToSum(shares: readonly number[]): readonly number[] {
  // Sums of fractions may be just below the whole number that they stand for.
  const whole = shares.map((share) => Math.floor(share + 1e-6));
  const remaining =
    Math.round(shares.reduce((sum, share) => sum + share, 0)) - whole.reduce((a, b) => a + b, 0);
  const byRemainder = shares
    .map((share, index) => ({ index, remainder: share - (whole[index] ?? 0) }))
    .sort((a, b) => b.remainder - a.remainder)
    .slice(0, Math.max(0, remaining));
  const raised = new Set(byRemainder.map(({ index }) => index));
  return whole.map((count, index) => (raised.has(index) ? count + 1 : count));
}
