/** Policy that chooses the next instance that a wave takes out of service. */

/** An instance and its failure domains. */
export interface PlacedInstance {
  readonly instanceId: string;
  readonly rack: string;
  readonly availabilityZone: string;
}

/**
 * Decides the order within a wave; the availability budget limits how many instances
 * are out of service at once.
 */
export abstract class WavePolicy {
  abstract readonly name: string;

  /**
   * Returns the candidate to take out of service next, `null` if there are no candidates.
   * `unavailable` are the instances of the pool that are unavailable now.
   */
  abstract next(
    candidates: readonly PlacedInstance[],
    unavailable: readonly PlacedInstance[],
  ): PlacedInstance | null;
}

/** Returns the candidate with the lowest rank; ranks are compared number by number, equal ones by instance id. */
export function lowestRanked(
  candidates: readonly PlacedInstance[],
  rank: (candidate: PlacedInstance) => readonly number[],
): PlacedInstance | null {
  const ranked = candidates.map((candidate) => ({ candidate, rank: rank(candidate) }));
  ranked.sort((a, b) => {
    const index = a.rank.findIndex((value, position) => value !== b.rank[position]);
    if (index >= 0) return (a.rank[index] ?? 0) - (b.rank[index] ?? 0);
    return a.candidate.instanceId < b.candidate.instanceId ? -1 : 1;
  });
  return ranked[0]?.candidate ?? null;
}

/** Number of `instances` that are in the rack or availability zone `name`. */
export function countInDomain(
  instances: readonly PlacedInstance[],
  domain: 'rack' | 'availabilityZone',
  name: string,
): number {
  return instances.filter((instance) => instance[domain] === name).length;
}
