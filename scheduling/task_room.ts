/** Room on the workers of a pool for long-running tasks that are to be moved there. */
import { addResources, fitsInto, NO_RESOURCES, subtractResources, type Resources } from '../model/resources';
import { occupiedBy, type StepDefinition } from './job_definition';
import type { PlanWorker } from './placement_planner';

/** A run that is stopped in favour of a long-running task of the same or a higher priority. */
export interface PreemptibleRun {
  /** Priority of its queue; a lower number is more urgent. */
  readonly priority: number;
  readonly occupied: Resources;
}

export type RoomWorker = Pick<PlanWorker, 'workerId' | 'labels' | 'free' | 'maxNewTasks'> & {
  readonly preemptible: readonly PreemptibleRun[];
};

/** A long-running task that needs room. */
export interface RoomClaim {
  readonly stepKey: string;
  readonly definition: StepDefinition;
  readonly priority: number;
  /** Number of recorded runs of its step on a worker. */
  readonly runsOn: (workerId: string) => number;
}

/**
 * Assigns each claim to the first worker that has room for it besides the earlier claims.
 *
 * @example
 * ```ts
 * const room = new TaskRoom(workers);
 * if (room.claim(task)) stop(task);
 * ```
 */
export class TaskRoom {
  private readonly claimed = new Map<string, Resources>();
  private readonly claimCounts = new Map<string, number>();

  constructor(private readonly workers: readonly RoomWorker[]) {}

  /** Returns whether there is room for the task; if so, it counts as taken. */
  claim(task: RoomClaim): boolean {
    const worker = this.workers.find((candidate) => this.hasRoom(candidate, task));
    if (worker === undefined) return false;
    const { workerId } = worker;
    this.claimed.set(workerId, addResources(this.claimedOn(workerId), occupiedBy(task.definition)));
    const key = countKey(workerId, task);
    this.claimCounts.set(key, (this.claimCounts.get(key) ?? 0) + 1);
    return true;
  }

  private hasRoom(
    { workerId, labels, free, maxNewTasks, preemptible }: RoomWorker,
    task: RoomClaim,
  ): boolean {
    const { requiredLabel, maxPerWorker } = task.definition;
    if (maxNewTasks <= 0 || (requiredLabel !== null && !labels.includes(requiredLabel))) return false;
    const count = task.runsOn(workerId) + (this.claimCounts.get(countKey(workerId, task)) ?? 0);
    if (maxPerWorker !== null && count >= maxPerWorker) return false;
    const unclaimed = subtractResources(free, this.claimedOn(workerId));
    const demand = occupiedBy(task.definition);
    if (fitsInto(demand, unclaimed)) return true;
    const freed = preemptible
      .filter(({ priority }) => priority >= task.priority)
      .reduce((sum, { occupied }) => addResources(sum, occupied), unclaimed);
    return fitsInto(demand, freed);
  }

  private claimedOn(workerId: string): Resources {
    return this.claimed.get(workerId) ?? NO_RESOURCES;
  }
}

function countKey(workerId: string, { stepKey }: RoomClaim): string {
  return `${workerId} ${stepKey}`;
}
