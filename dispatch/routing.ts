/** Picks one of several targets. Decisions only. */

/** A target that may take a request. */
export interface Candidate {
  readonly instanceId: string;
  readonly availabilityZone: string;
  /** Open attempts of this entry instance relative to the target's slots. */
  readonly load: number;
}

/** Returns a number in [0, 1). */
export type Random = () => number;

/**
 * Takes the less loaded of two random candidates; on a tie the one in
 * `zone`. Returns `undefined` if there is no candidate.
 *
 * @example
 * ```ts
 * const target = pickTarget(candidates, 'zone-1', Math.random);
 * ```
 */
export function pickTarget<T extends Candidate>(
  candidates: readonly T[],
  zone: string,
  random: Random,
): T | undefined {
  if (candidates.length <= 1) return candidates[0];
  const firstIndex = Math.floor(random() * candidates.length);
  const offset = 1 + Math.floor(random() * (candidates.length - 1));
  const first = candidates[firstIndex];
  const second = candidates[(firstIndex + offset) % candidates.length];
  if (first === undefined || second === undefined) return first ?? second;
  if (first.load !== second.load) return first.load < second.load ? first : second;
  return second.availabilityZone === zone && first.availabilityZone !== zone ? second : first;
}
