/** Plans which waiting jobs start on which workers, and which tasks are preempted for urgent ones. */
import {
  addResources,
  dominantShare,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../model/resources';
import { FairOrder, type TeamUsage, type WaitingJob } from './fair_order';
import type { PlacementPolicy } from './placement_policy';
import { choosePreemption, type Preemption, type PreemptionCandidate } from './preemption';

/** Maximum number of placements in one plan; the next plan places further jobs. */
const MAX_PLACEMENTS_PER_PLAN = 64;

/** Waiting time after which a worker is reserved for a job that fits on none, in milliseconds. */
const STARVATION_THRESHOLD_MS = 30_000;

/** A worker as input of a plan; `free` excludes what running tasks and planned starts use. */
export interface PlanWorker extends PreemptionCandidate {
  /**
   * Number of further tasks that it may take: 0 while the worker is suspended, 1 to
   * probe a suspended worker, otherwise unlimited.
   */
  readonly maxNewTasks: number;
}

export interface PlanInput {
  readonly waiting: readonly WaitingJob[];
  readonly workers: readonly PlanWorker[];
  readonly teams: readonly TeamUsage[];
  readonly policy: PlacementPolicy;
  /** Time since this placement leader first read a job, in milliseconds. */
  readonly waitedMs: (jobId: string) => number;
}

export interface PlacementPlan {
  readonly placements: readonly { readonly jobId: string; readonly instanceId: string }[];
  readonly preemptions: readonly (Preemption & { readonly forJobId: string })[];
}

/**
 * Plans one round of placements and preemptions.
 *
 * @example
 * ```ts
 * const { placements, preemptions } = planPlacements({ waiting, workers, teams, policy, waitedMs });
 * ```
 */
export function planPlacements(input: PlanInput): PlacementPlan {
  const capacity = input.workers.reduce((sum, worker) => addResources(sum, worker.capacity), NO_RESOURCES);
  const order = new FairOrder(input.waiting, input.teams, capacity);
  const round = new PlanningRound(input);
  for (let job = order.next(); job !== undefined; job = order.next()) {
    if (round.tryPlace(job)) order.recordPlaced(job);
    if (round.isFull()) break;
  }
  return round.plan();
}

class PlanningRound {
  private readonly workers: Map<string, PlanWorker>;
  private readonly placements: { readonly jobId: string; readonly instanceId: string }[] = [];
  private readonly preemptions: (Preemption & { readonly forJobId: string })[] = [];
  /** Demands that fit no worker: larger ones need not be tried. */
  private readonly infeasibleDemands: Resources[] = [];

  constructor(private readonly input: PlanInput) {
    this.workers = new Map(input.workers.map((worker) => [worker.instanceId, worker]));
  }

  isFull(): boolean {
    return this.placements.length >= MAX_PLACEMENTS_PER_PLAN;
  }

  plan(): PlacementPlan {
    return { placements: this.placements, preemptions: this.preemptions };
  }

  /** Places a job or plans preemptions for it. Returns `false` if neither is possible. */
  tryPlace(job: WaitingJob): boolean {
    const demand = this.clampToLargestWorker(job.demand);
    const instanceId = this.choose(job, demand);
    if (instanceId !== null) {
      this.placements.push({ jobId: job.jobId, instanceId });
      this.occupy(instanceId, demand);
      return true;
    }
    if (job.priority === 'urgent') return this.preempt(job, demand);
    if (this.input.waitedMs(job.jobId) >= STARVATION_THRESHOLD_MS) this.reserveWorkerFor(demand);
    return false;
  }

  private choose(job: WaitingJob, demand: Resources): string | null {
    if (this.infeasibleDemands.some((infeasible) => fitsInto(infeasible, demand))) return null;
    const available = [...this.workers.values()].filter(({ maxNewTasks }) => maxNewTasks > 0);
    const preferred = available.filter(({ instanceId }) => !job.avoidedInstanceIds.has(instanceId));
    const chosen = this.input.policy.choose(demand, preferred) ?? this.input.policy.choose(demand, available);
    if (chosen === null) this.infeasibleDemands.push(demand);
    return chosen;
  }

  private preempt(job: WaitingJob, demand: Resources): boolean {
    const available = [...this.workers.values()].filter(({ maxNewTasks }) => maxNewTasks > 0);
    const preemption = choosePreemption(demand, available);
    if (preemption === null) return false;
    this.preemptions.push({ ...preemption, forJobId: job.jobId });
    // The freed resources are for this job: nothing else is planned on the worker in this round.
    this.workers.delete(preemption.instanceId);
    return true;
  }

  /**
   * Excludes the worker with the largest free share from the rest of the plan, so
   * that more of its resources become free as its tasks finish.
   */
  private reserveWorkerFor(demand: Resources): void {
    const candidates = [...this.workers.values()].filter(
      ({ capacity, maxNewTasks }) => maxNewTasks > 0 && fitsInto(demand, capacity),
    );
    const [first, ...others] = candidates;
    if (first === undefined) return;
    const freest = others.reduce(
      (best, worker) => (freeShare(worker) > freeShare(best) ? worker : best),
      first,
    );
    this.workers.delete(freest.instanceId);
  }

  /**
   * Limits an estimate to the size of the largest worker: the job was accepted
   * because its declared size fits, so an estimate that fits no worker must not keep
   * it waiting.
   */
  private clampToLargestWorker(demand: Resources): Resources {
    const capacities = this.input.workers.map(({ capacity }) => capacity);
    if (capacities.some((capacity) => fitsInto(demand, capacity))) return demand;
    const candidates = capacities.filter(({ accelerators }) => accelerators >= demand.accelerators);
    const [largest] = [...candidates].sort(
      (a, b) => b.processors - a.processors || b.memoryBytes - a.memoryBytes,
    );
    if (largest === undefined) return demand;
    return {
      processors: Math.min(demand.processors, largest.processors),
      memoryBytes: Math.min(demand.memoryBytes, largest.memoryBytes),
      accelerators: demand.accelerators,
    };
  }

  private occupy(instanceId: string, demand: Resources): void {
    const worker = this.workers.get(instanceId);
    if (worker === undefined) return;
    const free = subtractResources(worker.free, demand);
    this.workers.set(instanceId, { ...worker, free, maxNewTasks: worker.maxNewTasks - 1 });
  }
}

function freeShare({ free, capacity }: PlanWorker): number {
  return dominantShare(free, capacity);
}
