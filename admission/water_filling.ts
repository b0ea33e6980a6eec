/** Division of a quantity among claimants by weight, none getting more than it asks for. */

export interface Claim {
  readonly id: string;
  readonly demand: number;
  readonly weight: number;
}

/**
 * Max-min fair division: every claimant gets its demand or the same amount per
 * unit of weight as the others that get less than they ask for.
 *
 * @example
 * ```ts
 * divideFairly(10, [{ id: 'a', demand: 2, weight: 1 }, { id: 'b', demand: 20, weight: 1 }]); // a: 2, b: 8
 * ```
 */
export function divideFairly(total: number, claims: readonly Claim[]): ReadonlyMap<string, number> {
  const byNeed = claims
    .filter((claim) => claim.weight > 0)
    .toSorted((a, b) => a.demand / a.weight - b.demand / b.weight || compareIds(a, b));
  const parts = new Map<string, number>(claims.map(({ id }) => [id, 0]));
  let left = total;
  let weightLeft = byNeed.reduce((sum, { weight }) => sum + weight, 0);
  for (const { id, demand, weight } of byNeed) {
    const part = Math.min(demand, (left * weight) / weightLeft);
    parts.set(id, part);
    left -= part;
    weightLeft -= weight;
  }
  return parts;
}

/** Rounds parts to whole numbers with the same (whole) sum, largest remainder first, then by id. */
export function roundParts(parts: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  // Sums of fractions miss a whole number by a rounding error.
  const tolerance = 1e-9;
  const whole = new Map([...parts].map(([id, part]) => [id, Math.floor(part + tolerance)]));
  const sum = [...parts.values()].reduce((total, part) => total + part, 0);
  const floors = [...whole.values()].reduce((total, part) => total + part, 0);
  const byRemainder = [...parts]
    .map(([id, part]) => ({ id, remainder: part - (whole.get(id) ?? 0) }))
    .toSorted((a, b) => {
      const difference = b.remainder - a.remainder;
      return Math.abs(difference) > tolerance ? difference : compareIds(a, b);
    });
  const missing = Math.floor(sum - floors + 1e-6);
  for (const { id } of byRemainder.slice(0, missing)) whole.set(id, (whole.get(id) ?? 0) + 1);
  return whole;
}

function compareIds(a: { readonly id: string }, b: { readonly id: string }): number {
  return a.id < b.id ? -1 : a.id > b.id ? 1 : 0;
}
