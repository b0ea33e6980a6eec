/** Assigns the waiting tasks of one pool to workers. */
import {
  addResources,
  dominantShare,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../model/resources';
import { occupiedBy, type StepDefinition } from './job_definition';

/** A worker that may run tasks. */
export interface PlanWorker {
  readonly workerId: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly free: Resources;
  /** Whether the worker's instance is due for maintenance, before which a long-running task would have to move. */
  readonly isDueForMaintenance: boolean;
  /** Maximum number of further tasks to place on it; limited for a worker on which tasks have recently failed. */
  readonly maxNewTasks: number;
}

/** A step with waiting tasks. */
export interface PlanStep {
  readonly stepKey: string;
  readonly teamId: string | null;
  readonly definition: StepDefinition;
  /** Indexes of the waiting tasks, in the order in which they are placed. */
  readonly waiting: readonly number[];
  /** Number of runs of the step, by worker. */
  readonly runsByWorker: ReadonlyMap<string, number>;
  /** Workers on which the step's tasks have failed. */
  readonly failedWorkerIds: ReadonlySet<string>;
  /** Workers on which the queue's policy permits the step; `null` if the queue has no policy. */
  readonly allowedWorkerIds: ReadonlySet<string> | null;
  /** Whether the step has waited long enough to run on a rack other than that of its data. */
  readonly mayRunRemote: boolean;
  /** Class of the step, see `QueueOrder.rank`. */
  readonly rank: number;
}

/** Resources that each team may still use, by team; a team without an entry has no limit. */
export type TeamHeadroom = ReadonlyMap<string, Resources>;

/** Some waiting tasks of a step that are placed together: those from position `from` to before `to`. */
export interface PlanTurn {
  readonly step: PlanStep;
  readonly from: number;
  readonly to: number;
}

/** Chooses what is placed next, depending on what has been placed. */
export abstract class PlanTurns {
  /** The next tasks to place; `null` once there are none. */
  abstract next(): PlanTurn | null;

  /** Records how many tasks of the latest turn were placed. */
  abstract recordPlaced(count: number): void;
}

/**
 * A task that finds no room keeps one worker from the tasks after it, so that smaller ones
 * do not take each piece of room as it appears.
 */
export interface WorkerHolds {
  /** Maximum number of workers that are kept in one pass. */
  readonly maxWorkers: number;
  /** Whether what runs on a worker ends soon. */
  readonly mayHold: (workerId: string) => boolean;
}

export interface PlanRequest {
  readonly workers: readonly PlanWorker[];
  readonly steps: readonly PlanStep[];
  /** Order in which the tasks are placed; the order of {@link steps} if absent. */
  readonly turns?: PlanTurns;
  /** Workers that are kept free for tasks without room; see {@link WorkerHolds}. None if absent. */
  readonly holds?: WorkerHolds;
  readonly teamHeadroom: TeamHeadroom;
  /** Maximum number of tasks to place, without limit if absent; gangs and long-running steps are exempt. */
  readonly maxStarts?: number;
  /** Whether tasks are spread over the workers, instead of packed on few, so that a crash takes few with it. */
  readonly spreadsTasks?: boolean;
}

export interface Assignment {
  readonly stepKey: string;
  readonly index: number;
  readonly workerId: string;
}

export interface Plan {
  readonly assignments: readonly Assignment[];
  /** Keys of the steps that have tasks which were not placed. */
  readonly unplaced: readonly string[];
  /** Whether a step was not placed because its team has reached its limit. */
  readonly isLimitReached: boolean;
  /** Whether tasks were left out because of {@link PlanRequest.maxStarts}. */
  readonly isStartLimited: boolean;
}

/**
 * Places the steps in the requested order, each task on the worker with the lowest cost.
 *
 * @example
 * ```ts
 * const { assignments } = planPool({ workers, steps, teamHeadroom: new Map() });
 * ```
 */
export function planPool(request: PlanRequest): Plan {
  const pass = new PlanningPass(request);
  const { steps, turns } = request;
  if (turns === undefined) for (const step of steps) pass.place(step, 0, step.waiting.length);
  else
    for (let turn = turns.next(); turn !== null; turn = turns.next())
      turns.recordPlaced(pass.place(turn.step, turn.from, turn.to));
  return pass.result();
}

/** A task that is assigned to a worker unless the assignment is undone. */
interface TentativePlacement {
  readonly index: number;
  readonly workerId: string;
}

class PlanningPass {
  private readonly workers: Map<string, PlanWorker>;
  private readonly teamHeadroom: Map<string, Resources>;
  private readonly assignments: Assignment[] = [];
  private readonly unplaced: string[] = [];
  /**
   * Demands for which no worker had enough free capacity; demands that are at least as
   * large need not be tried.
   */
  private readonly unplaceableDemands: Resources[] = [];
  private isLimitReached = false;
  private isStartLimited = false;
  private remainingStarts: number;
  private remainingHolds: number;
  private readonly spreadsTasks: boolean;

  constructor(private readonly request: PlanRequest) {
    const { workers, teamHeadroom, holds, maxStarts = Infinity, spreadsTasks = false } = request;
    this.remainingStarts = maxStarts;
    this.remainingHolds = holds?.maxWorkers ?? 0;
    this.spreadsTasks = spreadsTasks;
    this.workers = new Map(workers.map((worker) => [worker.workerId, worker]));
    this.teamHeadroom = new Map(teamHeadroom);
  }

  result(): Plan {
    const { assignments, unplaced, isLimitReached, isStartLimited } = this;
    return { assignments, unplaced, isLimitReached, isStartLimited };
  }

  /** Places the waiting tasks of a step from position `from` to before `to`. Returns how many were placed. */
  place(step: PlanStep, from: number, to: number): number {
    const { isGang, isLongRunning } = step.definition;
    const isExempt = isGang || isLongRunning;
    const maxTasks = isExempt ? to - from : Math.min(to - from, this.remainingStarts);
    if (maxTasks < to - from) this.isStartLimited = true;
    if (maxTasks <= 0) return 0;
    const placements = this.placeTasks(step, step.waiting.slice(from, from + maxTasks));
    if (!isExempt) this.remainingStarts -= placements.length;
    if (placements.length < to - from) this.unplaced.push(step.stepKey);
    if (placements.length < maxTasks) this.hold(step);
    for (const { index, workerId } of placements)
      this.assignments.push({ stepKey: step.stepKey, index, workerId });
    return placements.length;
  }

  /**
   * Keeps the worker with the most free processors that can run a task of the step from all
   * steps after it. Long-running tasks preempt others instead, and one worker is no help for
   * a gang.
   */
  private hold(step: PlanStep): void {
    const { holds } = this.request;
    const { isGang, isLongRunning, isFiller } = step.definition;
    if (holds === undefined || this.remainingHolds <= 0 || isGang || isLongRunning || isFiller) return;
    if (!this.isWithinTeamLimit(step)) return;
    const demand = occupiedBy(step.definition);
    let best: PlanWorker | null = null;
    for (const worker of this.workers.values()) {
      if (best !== null && worker.free.processors <= best.free.processors) continue;
      if (worker.maxNewTasks <= 0 || !fitsInto(demand, worker.capacity)) continue;
      if (canRun(worker, step, step.runsByWorker) && holds.mayHold(worker.workerId)) best = worker;
    }
    if (best === null) return;
    this.remainingHolds -= 1;
    this.workers.delete(best.workerId);
  }

  /** Places the tasks that fit; for a gang, all or none. Prefers a single rack for a rack-sensitive step. */
  private placeTasks(step: PlanStep, taskIndexes: readonly number[]): readonly TentativePlacement[] {
    const { isRackSensitive, isGang } = step.definition;
    for (const rack of isRackSensitive ? this.racksByFreeCapacity(step) : []) {
      const placements = this.placeOnRack(step, taskIndexes, rack);
      if (placements.length === taskIndexes.length) return placements;
      this.undo(step, placements);
    }
    const placements = this.placeOnRack(step, taskIndexes, null);
    if (!isGang || placements.length === taskIndexes.length) return placements;
    this.undo(step, placements);
    return [];
  }

  private placeOnRack(
    step: PlanStep,
    taskIndexes: readonly number[],
    rack: string | null,
  ): readonly TentativePlacement[] {
    const counts = new Map(step.runsByWorker);
    const placements: TentativePlacement[] = [];
    for (const index of taskIndexes) {
      const workerId = this.chooseWorker(step, counts, rack);
      if (workerId === null) break;
      counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
      this.occupy(step, workerId, 1);
      placements.push({ index, workerId });
    }
    return placements;
  }

  private undo(step: PlanStep, placements: readonly TentativePlacement[]): void {
    for (const { workerId } of placements) this.occupy(step, workerId, -1);
    this.unplaceableDemands.length = 0;
  }

  private chooseWorker(
    step: PlanStep,
    counts: ReadonlyMap<string, number>,
    rack: string | null,
  ): string | null {
    const demand = occupiedBy(step.definition);
    if (!this.isWithinTeamLimit(step)) {
      this.isLimitReached = true;
      return null;
    }
    if (this.unplaceableDemands.some((unplaceable) => fitsInto(unplaceable, demand))) return null;
    let best: PlanWorker | null = null;
    let bestCost = Infinity;
    let hasFreeWorker = false;
    for (const worker of this.workers.values()) {
      if (worker.maxNewTasks <= 0 || !fitsInto(demand, worker.free)) continue;
      hasFreeWorker = true;
      if (rack !== null && worker.rack !== rack) continue;
      if (!canRun(worker, step, counts)) continue;
      const cost = placementCost(worker, step, counts, demand, this.spreadsTasks);
      if (cost < bestCost) [best, bestCost] = [worker, cost];
    }
    if (!hasFreeWorker) this.unplaceableDemands.push(demand);
    return best?.workerId ?? null;
  }

  private isWithinTeamLimit({ teamId, definition }: PlanStep): boolean {
    const headroom = teamId === null ? undefined : this.teamHeadroom.get(teamId);
    return headroom === undefined || fitsInto(definition.demand, headroom);
  }

  private occupy({ teamId, definition }: PlanStep, workerId: string, sign: 1 | -1): void {
    const change = sign === 1 ? subtractResources : addResources;
    const worker = this.workers.get(workerId);
    if (worker !== undefined) {
      const free = change(worker.free, occupiedBy(definition));
      this.workers.set(workerId, { ...worker, free, maxNewTasks: worker.maxNewTasks - sign });
    }
    const headroom = teamId === null ? undefined : this.teamHeadroom.get(teamId);
    if (teamId !== null && headroom !== undefined)
      this.teamHeadroom.set(teamId, change(headroom, definition.demand));
  }

  private racksByFreeCapacity({ definition }: PlanStep): readonly (string | null)[] {
    const freeByRack = new Map<string, Resources>();
    for (const { rack, free } of this.workers.values()) {
      freeByRack.set(rack, addResources(freeByRack.get(rack) ?? NO_RESOURCES, free));
    }
    return [...freeByRack]
      .sort(([rackA, a], [rackB, b]) => {
        if (rackA === definition.dataRack) return -1;
        if (rackB === definition.dataRack) return 1;
        return b.processors - a.processors;
      })
      .map(([rack]) => rack);
  }
}

/** Whether the step's constraints other than its demand permit a worker. */
function canRun(worker: PlanWorker, step: PlanStep, counts: ReadonlyMap<string, number>): boolean {
  const { requiredLabel, maxPerWorker, dataRack } = step.definition;
  if (requiredLabel !== null && !worker.labels.includes(requiredLabel)) return false;
  if (maxPerWorker !== null && (counts.get(worker.workerId) ?? 0) >= maxPerWorker) return false;
  if (step.allowedWorkerIds !== null && !step.allowedWorkerIds.has(worker.workerId)) return false;
  return dataRack === null || step.mayRunRemote || worker.rack === dataRack;
}

/** Cost of a run on a rack other than that of its data. It exceeds any difference in free capacity. */
const REMOTE_COST = 10;
/** Cost of a run on a worker on which the step has failed. It exceeds the cost of a run on another rack. */
const FAILED_WORKER_COST = 100;
/**
 * Cost of each further task of a long-running step on the same worker, so that the
 * failure of a worker affects few of them.
 */
const SAME_WORKER_COST = 4;
/**
 * Cost of a long-running task on a worker that it would soon have to leave. It exceeds
 * any difference in free capacity.
 */
const MAINTENANCE_DUE_COST = 2;

/**
 * Cost of a task on a worker; the worker with the lowest cost is chosen. Short tasks
 * are packed on few workers, so that others become idle, unless `spreadsTasks`;
 * long-running tasks are spread.
 */
function placementCost(
  worker: PlanWorker,
  { definition, failedWorkerIds, runsByWorker }: PlanStep,
  counts: ReadonlyMap<string, number>,
  demand: Resources,
  spreadsTasks: boolean,
): number {
  if (definition.isFiller)
    return fillerCost(worker, counts) + (worker.isDueForMaintenance ? MAINTENANCE_DUE_COST : 0);
  const remainingShare = dominantShare(subtractResources(worker.free, demand), worker.capacity);
  const remaining = spreadsTasks ? -remainingShare : remainingShare;
  const remote = definition.dataRack !== null && definition.dataRack !== worker.rack ? REMOTE_COST : 0;
  const failed = failedWorkerIds.has(worker.workerId) ? FAILED_WORKER_COST : 0;
  const together = definition.isLongRunning ? (counts.get(worker.workerId) ?? 0) * SAME_WORKER_COST : 0;
  const sibling =
    runsByWorker.size > 0 && definition.isLongRunning && runsByWorker.has(worker.workerId) ? 1 : 0;
  const due = definition.isLongRunning && worker.isDueForMaintenance ? MAINTENANCE_DUE_COST : 0;
  return remaining + remote + failed + together + sibling + due;
}

/** Spreads fillers, first by the number on each worker and then by free processor time. */
function fillerCost({ workerId, free, capacity }: PlanWorker, counts: ReadonlyMap<string, number>): number {
  return (counts.get(workerId) ?? 0) - dominantShare({ ...free, memoryBytes: 0 }, capacity);
}
