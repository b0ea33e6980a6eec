/** The cost of interference between the tasks of one pool during a planning pass. */
import { InterferenceCost } from '../scheduling/interference_cost';
import type { StepDefinition } from '../scheduling/job_definition';
import type { InterferenceModel, OtherSample } from './interference_model';

export interface ServingOccupant {
  readonly image: string;
  /** Tail latency as a fraction of the target; 0 if it is not known. */
  readonly pressure: number;
}

/** The tasks on a worker that interfere with each other. */
export interface WorkerOccupants {
  readonly serving: readonly ServingOccupant[];
  /** Fillers, with the processors that they use at full speed. */
  readonly fillers: readonly OtherSample[];
}

const NO_OCCUPANTS: WorkerOccupants = { serving: [], fillers: [] };

/**
 * Knows the occupants of the workers, and those that the pass adds.
 *
 * @example
 * ```ts
 * new PassInterference(model, new Map([['w1', occupants]])).cost('w1', fillerStep); // 0.5
 * ```
 */
export class PassInterference extends InterferenceCost {
  private readonly occupants: Map<string, WorkerOccupants>;

  constructor(
    private readonly model: InterferenceModel,
    occupants: ReadonlyMap<string, WorkerOccupants>,
  ) {
    super();
    this.occupants = new Map(occupants);
  }

  override cost(workerId: string, { image, isFiller, targetMs, demand }: StepDefinition): number {
    const { serving, fillers } = this.occupants.get(workerId) ?? NO_OCCUPANTS;
    if (isFiller) {
      const filler = { image, processors: demand.processors };
      return Math.max(0, ...serving.map((occupant) => this.riskOf(occupant, filler)));
    }
    if (targetMs === null) return 0;
    const rise = fillers.reduce(
      (sum, filler) => sum + this.model.disturbance(filler.image, image) * filler.processors,
      0,
    );
    return Math.min(1, rise);
  }

  override record(workerId: string, definition: StepDefinition, sign: 1 | -1): void {
    const { image, isFiller, targetMs, demand } = definition;
    const { serving, fillers } = this.occupants.get(workerId) ?? NO_OCCUPANTS;
    if (isFiller) {
      const filler = { image, processors: demand.processors };
      this.occupants.set(workerId, { serving, fillers: changed(fillers, filler, sign) });
    } else if (targetMs !== null) {
      this.occupants.set(workerId, { serving: changed(serving, { image, pressure: 0 }, sign), fillers });
    }
  }

  /** Share of the distance to its target that a filler takes from a serving task. */
  private riskOf({ image, pressure }: ServingOccupant, filler: OtherSample): number {
    const rise = this.model.disturbance(filler.image, image) * filler.processors;
    if (rise === 0) return 0;
    return pressure >= 1 ? 1 : Math.min(1, rise / (1 - pressure));
  }
}

/** Adds an occupant at the end, or removes the latest one of its image. */
function changed<Occupant extends { readonly image: string }>(
  occupants: readonly Occupant[],
  occupant: Occupant,
  sign: 1 | -1,
): readonly Occupant[] {
  if (sign === 1) return [...occupants, occupant];
  const removed = occupants.map(({ image }) => image).lastIndexOf(occupant.image);
  return occupants.filter((_, index) => index !== removed);
}
