/** Resources that recorded runs occupy, by worker and by team. */
import { addResources, NO_RESOURCES, subtractResources, type Resources } from '../model/resources';
import { occupiedBy, type StepDefinition } from '../scheduling/job_definition';

export interface OccupyingRun {
  readonly workerId: string;
  readonly teamId: string | null;
  readonly step: StepDefinition;
}

/**
 * Counts a run from the time it is recorded until it is known to have ended, so
 * that starts whose outcome is unknown count too.
 *
 * @example
 * ```ts
 * occupancy.add({ workerId: 'w1', teamId: 'desk', step });
 * occupancy.onWorker('w1').processors;
 * ```
 */
export class Occupancy {
  private readonly resourcesByWorker = new Map<string, Resources>();
  private readonly resourcesByTeam = new Map<string, Resources>();

  add({ workerId, teamId, step }: OccupyingRun): void {
    this.resourcesByWorker.set(workerId, addResources(this.onWorker(workerId), occupiedBy(step)));
    if (teamId !== null) this.resourcesByTeam.set(teamId, addResources(this.ofTeam(teamId), step.demand));
  }

  remove({ workerId, teamId, step }: OccupyingRun): void {
    this.resourcesByWorker.set(workerId, subtractResources(this.onWorker(workerId), occupiedBy(step)));
    if (teamId !== null)
      this.resourcesByTeam.set(teamId, subtractResources(this.ofTeam(teamId), step.demand));
  }

  onWorker(workerId: string): Resources {
    return this.resourcesByWorker.get(workerId) ?? NO_RESOURCES;
  }

  ofTeam(teamId: string): Resources {
    return this.resourcesByTeam.get(teamId) ?? NO_RESOURCES;
  }
}
