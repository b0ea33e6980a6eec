/** Choice of the next instance that a wave takes. */

/** An instance and the failure domains it is in. */
export interface PlacedInstance {
  readonly instanceId: string;
  readonly rack: string;
  readonly availabilityZone: string;
}

/** Orders a wave; the availability budget decides how many instances are out at once. */
export abstract class WavePolicy {
  abstract readonly name: string;

  /**
   * The candidate to take next, `null` if there is none. `out` are the
   * instances of the pool that do not serve now.
   */
  abstract next(candidates: readonly PlacedInstance[], out: readonly PlacedInstance[]): PlacedInstance | null;
}

/** The first candidate by the numbers that `rank` gives, then by id. */
export function firstBy(
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

/** Number of instances in the same domain. */
export function countIn(
  instances: readonly PlacedInstance[],
  domain: 'rack' | 'availabilityZone',
  name: string,
): number {
  return instances.filter((instance) => instance[domain] === name).length;
}
