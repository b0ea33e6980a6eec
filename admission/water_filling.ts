/** Weighted max-min fair division by water filling. */

export interface Claimant {
  readonly id: string;
  readonly demand: number;
  readonly weight: number;
}

/**
 * Divides `total` so that every claimant gets its demand or, if that cannot be
 * met, the same amount per unit of weight as all others whose demand is not met.
 *
 * @example
 * ```ts
 * divideFairly(10, [{ id: 'a', demand: 2, weight: 1 }, { id: 'b', demand: 20, weight: 1 }]); // a: 2, b: 8
 * ```
 */
export function divideFairly(total: number, claimants: readonly Claimant[]): ReadonlyMap<string, number> {
  const byRelativeDemand = claimants
    .filter((claimant) => claimant.weight > 0)
    .toSorted((a, b) => a.demand / a.weight - b.demand / b.weight || compareIds(a, b));
  const shares = new Map<string, number>(claimants.map(({ id }) => [id, 0]));
  let remaining = total;
  let remainingWeight = byRelativeDemand.reduce((sum, { weight }) => sum + weight, 0);
  for (const { id, demand, weight } of byRelativeDemand) {
    const share = Math.min(demand, (remaining * weight) / remainingWeight);
    shares.set(id, share);
    remaining -= share;
    remainingWeight -= weight;
  }
  return shares;
}

/** Rounds shares to integers with the same sum, which must be an integer. Equal remainders are ordered by id. */
export function roundShares(shares: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  // Floating-point sums of fractions may miss an integer slightly.
  const tolerance = 1e-9;
  const rounded = new Map([...shares].map(([id, share]) => [id, Math.floor(share + tolerance)]));
  const sum = [...shares.values()].reduce((total, share) => total + share, 0);
  const sumOfFloors = [...rounded.values()].reduce((total, share) => total + share, 0);
  const byRemainder = [...shares]
    .map(([id, share]) => ({ id, remainder: share - (rounded.get(id) ?? 0) }))
    .toSorted((a, b) => {
      const difference = b.remainder - a.remainder;
      return Math.abs(difference) > tolerance ? difference : compareIds(a, b);
    });
  const missing = Math.floor(sum - sumOfFloors + 1e-6);
  for (const { id } of byRemainder.slice(0, missing)) rounded.set(id, (rounded.get(id) ?? 0) + 1);
  return rounded;
}

function compareIds(a: { readonly id: string }, b: { readonly id: string }): number {
  return a.id < b.id ? -1 : a.id > b.id ? 1 : 0;
}
