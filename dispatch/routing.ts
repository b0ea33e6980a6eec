/** Picks one of several targets by load and availability zone. Does no I/O. */

/** A target to which a request may be sent. */
export interface Candidate {
  readonly instanceId: string;
  readonly availabilityZone: string;
  /** Open attempts of this entry instance per slot of the target. */
  readonly load: number;
}

/** Returns a number in [0, 1). */
export type Random = () => number;

/**
 * Picks the less loaded of two random candidates; on a tie the one in
 * `availabilityZone`. Returns `undefined` if there is no candidate.
 *
 * @example
 * ```ts
 * const target = pickTarget(candidates, 'zone-1', Math.random);
 * ```
 */
export function pickTarget<T extends Candidate>(
  candidates: readonly T[],
  availabilityZone: string,
  random: Random,
): T | undefined {
  if (candidates.length <= 1) return candidates[0];
  const firstIndex = Math.floor(random() * candidates.length);
  const offset = 1 + Math.floor(random() * (candidates.length - 1));
  const first = candidates[firstIndex];
  const second = candidates[(firstIndex + offset) % candidates.length];
  if (first === undefined || second === undefined) return first ?? second;
  if (first.load !== second.load) return first.load < second.load ? first : second;
  return second.availabilityZone === availabilityZone && first.availabilityZone !== availabilityZone
    ? second
    : first;
}
