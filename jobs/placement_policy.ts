/** Policies that choose a worker for a task. */
import type { Resources } from '../model/resources';

/** A worker that may take a task. */
export interface PlacementCandidate {
  readonly instanceId: string;
  readonly capacity: Resources;
  readonly free: Resources;
}

/** Chooses one of the workers into which a task fits. */
export abstract class PlacementPolicy {
  /** Id of the chosen worker, `null` if the task fits nowhere. */
  abstract choose(demand: Resources, candidates: readonly PlacementCandidate[]): string | null;
}
