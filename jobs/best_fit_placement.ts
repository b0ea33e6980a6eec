/** Placement that keeps large free blocks together. */
import { dominantShare, fitsInto, subtractResources, type Resources } from '../model/resources';
import { PlacementPolicy, type PlacementCandidate } from './placement_policy';

/**
 * Takes the worker on which the least of its scarcest resource stays free.
 * Workers with accelerators are left to tasks that need them, because unused
 * accelerators count as free.
 *
 * @example
 * ```ts
 * const instanceId = new BestFitPlacement().choose(demand, candidates);
 * ```
 */
export class BestFitPlacement extends PlacementPolicy {
  override choose(demand: Resources, candidates: readonly PlacementCandidate[]): string | null {
    let best: { readonly instanceId: string; readonly left: number } | null = null;
    for (const { instanceId, capacity, free } of candidates) {
      if (!fitsInto(demand, free)) continue;
      const left = dominantShare(subtractResources(free, demand), capacity);
      if (best === null || left < best.left) best = { instanceId, left };
    }
    return best?.instanceId ?? null;
  }
}
