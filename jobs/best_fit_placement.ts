/** Best-fit placement, which keeps large blocks of free resources for large tasks. */
import { dominantShare, fitsInto, subtractResources, type Resources } from '../model/resources';
import { PlacementPolicy, type PlacementCandidate } from './placement_policy';

/**
 * Chooses the worker on which the task leaves the smallest dominant share free,
 * where the dominant share is the largest free fraction of any one resource.
 * Unused accelerators count as free, so that workers with accelerators are left to
 * tasks that need them.
 *
 * @example
 * ```ts
 * const instanceId = new BestFitPlacement().choose(demand, candidates);
 * ```
 */
export class BestFitPlacement extends PlacementPolicy {
  override choose(demand: Resources, candidates: readonly PlacementCandidate[]): string | null {
    let best: { readonly instanceId: string; readonly freeShare: number } | null = null;
    for (const { instanceId, capacity, free } of candidates) {
      if (!fitsInto(demand, free)) continue;
      const freeShare = dominantShare(subtractResources(free, demand), capacity);
      if (best === null || freeShare < best.freeShare) best = { instanceId, freeShare };
    }
    return best?.instanceId ?? null;
  }
}
