/** Chooses workers for the waiting tasks of one pool. */
import {
  addResources,
  dominantShare,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../model/resources';
import { occupiedBy, type StepDefinition } from './job_definition';

/** A worker that may take tasks. */
export interface PlanWorker {
  readonly workerId: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly free: Resources;
  /** Whether it is due for maintenance soon, which a lasting task would have to leave. */
  readonly isDueForMaintenance: boolean;
  /** Tasks that it may still take, fewer for a worker that has just failed some. */
  readonly maxNewTasks: number;
}

/** Waiting tasks of one step, in the order in which they should be placed. */
export interface PlanStep {
  readonly stepKey: string;
  readonly teamId: string | null;
  readonly definition: StepDefinition;
  readonly waiting: readonly number[];
  /** Runs of the step by worker. */
  readonly runsByWorker: ReadonlyMap<string, number>;
  /** Workers on which the step's tasks have failed. */
  readonly failedWorkerIds: ReadonlySet<string>;
  /** Workers that the queue's policy allows; `null` if it has none. */
  readonly allowedWorkerIds: ReadonlySet<string> | null;
  /** Whether the step has waited long enough to run far from its data. */
  readonly mayRunRemote: boolean;
  /** Tasks of the step that may start at once; limits how much of a pool one job takes. */
  readonly maxStarts: number;
}

/** What a team may still start; `null` if it has no limit. */
export type TeamHeadroom = ReadonlyMap<string, Resources>;

export interface PlanRequest {
  readonly workers: readonly PlanWorker[];
  readonly steps: readonly PlanStep[];
  readonly teamHeadroom: TeamHeadroom;
}

export interface Assignment {
  readonly stepKey: string;
  readonly index: number;
  readonly workerId: string;
}

export interface Plan {
  readonly assignments: readonly Assignment[];
  /** Steps of which a task found no worker with room. */
  readonly unplaced: readonly string[];
}

/**
 * Places the steps in their order, each task where it fits best.
 *
 * @example
 * ```ts
 * const { assignments } = planPool({ workers, steps, teamHeadroom: new Map() });
 * ```
 */
export function planPool(request: PlanRequest): Plan {
  const round = new PlanningPass(request);
  for (const step of request.steps) round.place(step);
  return round.result();
}

/** A place that a step has tentatively taken. */
interface TentativePlacement {
  readonly index: number;
  readonly workerId: string;
}

class PlanningPass {
  private readonly workers: Map<string, PlanWorker>;
  private readonly teamHeadroom: Map<string, Resources>;
  private readonly assignments: Assignment[] = [];
  private readonly unplaced: string[] = [];
  /** Demands that fitted nowhere, of steps without any wish: larger ones need not be tried. */
  private readonly unplaceableDemands: Resources[] = [];

  constructor({ workers, teamHeadroom: teamRoom }: PlanRequest) {
    this.workers = new Map(workers.map((worker) => [worker.workerId, worker]));
    this.teamHeadroom = new Map(teamRoom);
  }

  result(): Plan {
    return { assignments: this.assignments, unplaced: this.unplaced };
  }

  place(step: PlanStep): void {
    const needsAll = step.definition.isGang;
    const wanted = step.waiting.slice(0, needsAll ? undefined : step.maxStarts);
    const placed = this.placeTasks(step, wanted);
    if (placed.length < step.waiting.length) this.unplaced.push(step.stepKey);
    for (const { index, workerId } of placed)
      this.assignments.push({ stepKey: step.stepKey, index, workerId });
  }

  /** Places what fits; all tasks or none for a gang. A rack-sensitive step goes to one rack if it can. */
  private placeTasks(step: PlanStep, wanted: readonly number[]): readonly TentativePlacement[] {
    const { isRackSensitive, isGang } = step.definition;
    for (const rack of isRackSensitive ? this.racksByFreeCapacity(step) : []) {
      const placed = this.placeOnRack(step, wanted, rack);
      if (placed.length === wanted.length) return placed;
      this.undo(step, placed);
    }
    const placed = this.placeOnRack(step, wanted, null);
    if (!isGang || placed.length === wanted.length) return placed;
    this.undo(step, placed);
    return [];
  }

  private placeOnRack(
    step: PlanStep,
    wanted: readonly number[],
    rack: string | null,
  ): readonly TentativePlacement[] {
    const counts = new Map(step.runsByWorker);
    const placed: TentativePlacement[] = [];
    for (const index of wanted) {
      const workerId = this.chooseWorker(step, counts, rack);
      if (workerId === null) break;
      counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
      this.occupy(step, workerId, 1);
      placed.push({ index, workerId });
    }
    return placed;
  }

  private undo(step: PlanStep, placed: readonly TentativePlacement[]): void {
    for (const { workerId } of placed) this.occupy(step, workerId, -1);
    this.unplaceableDemands.length = 0;
  }

  private chooseWorker(
    step: PlanStep,
    counts: ReadonlyMap<string, number>,
    rack: string | null,
  ): string | null {
    const demand = occupiedBy(step.definition);
    if (!this.teamAllows(step)) return null;
    if (this.unplaceableDemands.some((misfit) => fitsInto(misfit, demand))) return null;
    let best: PlanWorker | null = null;
    let bestCost = Infinity;
    for (const worker of this.workers.values()) {
      if (rack !== null && worker.rack !== rack) continue;
      if (!this.canRun(worker, step, counts, demand)) continue;
      const cost = placementCost(worker, step, counts, demand);
      if (cost < bestCost) [best, bestCost] = [worker, cost];
    }
    if (best === null && rack === null && isUnrestricted(step)) this.unplaceableDemands.push(demand);
    return best?.workerId ?? null;
  }

  private canRun(
    worker: PlanWorker,
    step: PlanStep,
    counts: ReadonlyMap<string, number>,
    demand: Resources,
  ): boolean {
    const { requiredLabel, maxPerWorker, dataRack } = step.definition;
    if (worker.maxNewTasks <= 0 || !fitsInto(demand, worker.free)) return false;
    if (requiredLabel !== null && !worker.labels.includes(requiredLabel)) return false;
    if (maxPerWorker !== null && (counts.get(worker.workerId) ?? 0) >= maxPerWorker) return false;
    if (step.allowedWorkerIds !== null && !step.allowedWorkerIds.has(worker.workerId)) return false;
    return dataRack === null || step.mayRunRemote || worker.rack === dataRack;
  }

  private teamAllows({ teamId, definition }: PlanStep): boolean {
    const room = teamId === null ? undefined : this.teamHeadroom.get(teamId);
    return room === undefined || fitsInto(definition.demand, room);
  }

  private occupy({ teamId, definition }: PlanStep, workerId: string, sign: 1 | -1): void {
    const change = sign === 1 ? subtractResources : addResources;
    const worker = this.workers.get(workerId);
    if (worker !== undefined) {
      const free = change(worker.free, occupiedBy(definition));
      this.workers.set(workerId, { ...worker, free, maxNewTasks: worker.maxNewTasks - sign });
    }
    const room = teamId === null ? undefined : this.teamHeadroom.get(teamId);
    if (teamId !== null && room !== undefined) this.teamHeadroom.set(teamId, change(room, definition.demand));
  }

  private racksByFreeCapacity({ definition }: PlanStep): readonly (string | null)[] {
    const room = new Map<string, Resources>();
    for (const { rack, free } of this.workers.values()) {
      room.set(rack, addResources(room.get(rack) ?? NO_RESOURCES, free));
    }
    return [...room]
      .sort(([rackA, a], [rackB, b]) => {
        if (rackA === definition.dataRack) return -1;
        if (rackB === definition.dataRack) return 1;
        return b.processors - a.processors;
      })
      .map(([rack]) => rack);
  }
}

function isUnrestricted({ definition, allowedWorkerIds: allowed }: PlanStep): boolean {
  const { requiredLabel, maxPerWorker, dataRack } = definition;
  return requiredLabel === null && maxPerWorker === null && dataRack === null && allowed === null;
}

/** Cost of a run far from its data, and of a worker on which the step has failed: more than any difference in room. */
const REMOTE_COST = 10;
const FAILED_BEFORE_COST = 100;
/** Cost of another task of a long-running step on the same rack and worker, so that one failure takes few. */
const SAME_WORKER_COST = 4;
/** Cost of a lasting task on a worker that it would soon have to leave again: more than any difference in room. */
const MAINTENANCE_DUE_COST = 2;

/** Lower is better. Short tasks fill workers up, so that others become empty; lasting ones spread. */
function placementCost(
  worker: PlanWorker,
  { definition, failedWorkerIds: avoid, runsByWorker: placed }: PlanStep,
  counts: ReadonlyMap<string, number>,
  demand: Resources,
): number {
  if (definition.isFiller)
    return fillerCost(worker, counts) + (worker.isDueForMaintenance ? MAINTENANCE_DUE_COST : 0);
  const left = dominantShare(subtractResources(worker.free, demand), worker.capacity);
  const remote = definition.dataRack !== null && definition.dataRack !== worker.rack ? REMOTE_COST : 0;
  const failed = avoid.has(worker.workerId) ? FAILED_BEFORE_COST : 0;
  const together = definition.isLongRunning ? (counts.get(worker.workerId) ?? 0) * SAME_WORKER_COST : 0;
  const sibling = placed.size > 0 && definition.isLongRunning && placed.has(worker.workerId) ? 1 : 0;
  const due = definition.isLongRunning && worker.isDueForMaintenance ? MAINTENANCE_DUE_COST : 0;
  return left + remote + failed + together + sibling + due;
}

/** Fillers go where most processor time is left over, apart from each other. */
function fillerCost({ workerId, free, capacity }: PlanWorker, counts: ReadonlyMap<string, number>): number {
  return (counts.get(workerId) ?? 0) - dominantShare({ ...free, memoryBytes: 0 }, capacity);
}
