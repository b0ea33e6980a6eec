/** First-fit placement, a baseline for comparisons. */
import { fitsInto, type Resources } from '../model/resources';
import { PlacementPolicy, type PlacementCandidate } from './placement_policy';

/** Chooses the first candidate into which the task fits. */
export class FirstFitPlacement extends PlacementPolicy {
  override choose(demand: Resources, candidates: readonly PlacementCandidate[]): string | null {
    return candidates.find(({ free }) => fitsInto(demand, free))?.instanceId ?? null;
  }
}
