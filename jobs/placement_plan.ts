/** Decides which waiting jobs go to which workers, and what makes room for urgent ones. */
import {
  addResources,
  dominantShare,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../model/resources';
import { FairOrder, type TeamUse, type WaitingJob } from './fair_order';
import type { PlacementPolicy } from './placement_policy';
import { choosePreemption, type Preemption, type PreemptionCandidate } from './preemption';

/** Placements of one plan; the rest follows with the next. */
const MAX_PLACEMENTS = 64;

/** A job that has waited this long for a large block gets a worker reserved, in milliseconds. */
const STARVED_AFTER_MS = 30_000;

/** A worker as the plan sees it; `free` excludes what is reserved. */
export interface PlanWorker extends PreemptionCandidate {
  /** Further tasks that it may take: 1 for a probe, otherwise unlimited. */
  readonly tasksLeft: number;
}

export interface PlanInput {
  readonly waiting: readonly WaitingJob[];
  readonly workers: readonly PlanWorker[];
  readonly teams: readonly TeamUse[];
  readonly policy: PlacementPolicy;
  /** How long a job has waited here, in milliseconds. */
  readonly waitedMs: (jobId: string) => number;
}

export interface PlacementPlan {
  readonly placements: readonly { readonly jobId: string; readonly instanceId: string }[];
  readonly preemptions: readonly (Preemption & { readonly forJobId: string })[];
}

/**
 * Plans one round.
 *
 * @example
 * ```ts
 * const { placements, preemptions } = planPlacements({ waiting, workers, teams, policy, waitedMs });
 * ```
 */
export function planPlacements(input: PlanInput): PlacementPlan {
  const capacity = input.workers.reduce((sum, worker) => addResources(sum, worker.capacity), NO_RESOURCES);
  const order = new FairOrder(input.waiting, input.teams, capacity);
  const round = new Round(input);
  for (let job = order.next(); job !== undefined; job = order.next()) {
    if (round.tryJob(job)) order.placed(job);
    if (round.isFull()) break;
  }
  return round.plan();
}

class Round {
  private readonly workers: Map<string, PlanWorker>;
  private readonly placements: { readonly jobId: string; readonly instanceId: string }[] = [];
  private readonly preemptions: (Preemption & { readonly forJobId: string })[] = [];
  /** Demands that fitted nowhere: larger ones need not be tried. */
  private readonly misfits: Resources[] = [];

  constructor(private readonly input: PlanInput) {
    this.workers = new Map(input.workers.map((worker) => [worker.instanceId, worker]));
  }

  isFull(): boolean {
    return this.placements.length >= MAX_PLACEMENTS;
  }

  plan(): PlacementPlan {
    return { placements: this.placements, preemptions: this.preemptions };
  }

  /** Whether the job was placed or gets room made. */
  tryJob(job: WaitingJob): boolean {
    const demand = this.clipped(job.demand);
    const instanceId = this.choose(job, demand);
    if (instanceId !== null) {
      this.placements.push({ jobId: job.jobId, instanceId });
      this.occupy(instanceId, demand);
      return true;
    }
    if (job.priority === 'urgent') return this.preempt(job, demand);
    if (this.input.waitedMs(job.jobId) >= STARVED_AFTER_MS) this.reserveLargest(demand);
    return false;
  }

  private choose(job: WaitingJob, demand: Resources): string | null {
    if (this.misfits.some((misfit) => fitsInto(misfit, demand))) return null;
    const open = [...this.workers.values()].filter(({ tasksLeft }) => tasksLeft > 0);
    const preferred = open.filter(({ instanceId }) => !job.avoid.has(instanceId));
    const chosen = this.input.policy.choose(demand, preferred) ?? this.input.policy.choose(demand, open);
    if (chosen === null) this.misfits.push(demand);
    return chosen;
  }

  private preempt(job: WaitingJob, demand: Resources): boolean {
    const open = [...this.workers.values()].filter(({ tasksLeft }) => tasksLeft > 0);
    const preemption = choosePreemption(demand, open);
    if (preemption === null) return false;
    this.preemptions.push({ ...preemption, forJobId: job.jobId });
    // The room is made for this job: nothing else is planned there in this round.
    this.workers.delete(preemption.instanceId);
    return true;
  }

  /** Keeps later jobs off the worker that is closest to having room, so that its tasks run out. */
  private reserveLargest(demand: Resources): void {
    const able = [...this.workers.values()].filter(({ capacity }) => fitsInto(demand, capacity));
    const [first, ...others] = able;
    if (first === undefined) return;
    const freest = others.reduce(
      (best, worker) => (freePart(worker) > freePart(best) ? worker : best),
      first,
    );
    this.workers.delete(freest.instanceId);
  }

  /** An estimate above the largest worker must not keep a job from running that was accepted as fitting. */
  private clipped(demand: Resources): Resources {
    const capacities = this.input.workers.map(({ capacity }) => capacity);
    if (capacities.some((capacity) => fitsInto(demand, capacity))) return demand;
    const able = capacities.filter(({ accelerators }) => accelerators >= demand.accelerators);
    const [largest] = [...able].sort((a, b) => b.processors - a.processors || b.memoryBytes - a.memoryBytes);
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
    this.workers.set(instanceId, { ...worker, free, tasksLeft: worker.tasksLeft - 1 });
  }
}

function freePart({ free, capacity }: PlanWorker): number {
  return dominantShare(free, capacity);
}
