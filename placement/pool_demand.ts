/** Turns what runs, waits and arrives into the number of instances that each pool should have. */
import type { Clock } from '../kernel/clock';
import { addResources, dominantShare, fitsInto, NO_RESOURCES, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import { isLongRunning, occupiedBy } from '../scheduling/job_definition';
import { isEnded } from '../scheduling/job_progress';
import type { PlacementState } from './placement_state';
import { roomUnder, type Candidate } from './plan_request';
import { DemandMeter } from './demand_meter';
import { workOf } from './run_estimates';
import type { OpenJob } from './job_book';

/** A pool gives instances up only after it has wanted fewer for this long, in milliseconds: two moves cost as much as about 2.3 s of an instance. */
const SHRINK_AFTER_MS = 1_500;

/** Instances that a pool keeps, so that the first jobs of a burst start before others arrive. */
const MIN_INSTANCES = 3;

/** Wanted beyond the demand, as a part of it: tasks do not fill workers without gaps. */
const HEADROOM = 0.15;

/** A step that would miss its target by this much calls for no further instances, in milliseconds: late jobs earn less than an instance costs. */
const HOPELESS_MS = -2_000;

/** Lasting tasks that find no room for this long in a pool of the wanted size call for one more instance, in milliseconds. */
const UNPACKED_AFTER_MS = 600;

/** Time between two such calls, in milliseconds: a move and the registration of its worker take about 2.5 s. */
const PACKING_STEP_MS = 3_000;

/** Most calls for the same lasting jobs; what is missing then is no room, but a label or a healthy worker. */
const MAX_PACKING_STEPS = 4;

/** What a pool needs because its lasting tasks do not fill instances without gaps. */
interface Packing {
  /** The lasting jobs for which {@link instances} was found; other jobs pack differently. */
  readonly jobs: string;
  readonly instances: number;
  readonly raises: number;
  readonly raisedAtMs: number;
  /** Since when lasting tasks have been waiting; `null` if none waits. */
  readonly waitingSinceMs: number | null;
}

const NO_PACKING: Packing = {
  jobs: '',
  instances: 0,
  raises: 0,
  raisedAtMs: -Infinity,
  waitingSinceMs: null,
};

/** What is known of the lasting jobs of a pool. */
interface LastingWork {
  readonly jobs: string;
  /** Instances that a step needs because only so many of its tasks may share a worker. */
  readonly spread: number;
}

const NO_LASTING_WORK: LastingWork = { jobs: '', spread: 0 };

interface Wish {
  readonly atMs: number;
  readonly instances: number;
}

export interface PoolDemandOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
  readonly rules: () => FleetRules | null;
}

/** What a pool has and what runs there. */
export interface PoolUse {
  readonly used: Resources;
  readonly workers: number;
}

const UNUSED: PoolUse = { used: NO_RESOURCES, workers: 0 };

export class PoolDemandTracker {
  private readonly meters = new Map<string, DemandMeter>();
  /** Wishes of the last {@link SHRINK_AFTER_MS}, by pool. */
  private readonly wishes = new Map<string, readonly Wish[]>();
  private lasting: ReadonlyMap<string, LastingWork> = new Map();
  private readonly packing = new Map<string, Packing>();
  /** Pools in which a task of a lasting step waits. */
  private waitingLasting: ReadonlySet<string> = new Set();
  private readonly waiting = new Map<string, Resources>();

  constructor(private readonly options: PoolDemandOptions) {}

  /** Notes a job that has just been accepted. */
  noteArrival(job: OpenJob, poolId: string): void {
    const { definition, queueId } = job.record.job;
    const work = workOf(definition, () => true);
    const meter = this.meters.get(poolId) ?? new DemandMeter();
    this.meters.set(poolId, meter);
    meter.note(this.options.clock.monotonicMs(), this.options.state.estimates.expectedMs(queueId, work));
  }

  /** Notes the steps that wait in each pool. */
  noteWaiting(byPool: ReadonlyMap<string, readonly Candidate[]>): void {
    this.waiting.clear();
    this.waitingLasting = new Set(
      [...byPool]
        .filter(([, found]) => found.some((step) => this.lacksInstance(step)))
        .map(([poolId]) => poolId),
    );
    for (const [poolId, candidates] of byPool) {
      const demands = candidates
        .filter(({ slackMs, isLongRunning: lasts }) => lasts || slackMs > HOPELESS_MS)
        .map(({ ready }) => multiply(occupiedBy(ready.definition), ready.waiting.length));
      this.waiting.set(poolId, demands.reduce(addResources, NO_RESOURCES));
    }
  }

  /** Whether a step that lasts waits for something else than its team's limit. */
  private lacksInstance({ isLongRunning: lasts, job, ready }: Candidate): boolean {
    if (!lasts) return false;
    const { teamId } = job.record.job;
    const limit = teamId === null ? undefined : this.options.rules()?.teams.get(teamId)?.upperLimit;
    if (teamId === null || limit === undefined) return true;
    return fitsInto(ready.definition.demand, roomUnder(limit, this.options.state.occupancy.ofTeam(teamId)));
  }

  /** What waiting steps of a pool ask for, without those that are hopelessly late. */
  waitingIn(poolId: string): Resources {
    return this.waiting.get(poolId) ?? NO_RESOURCES;
  }

  /** Decides the sizes anew. `instance` says what one instance offers, on average. */
  update(rules: FleetRules, instance: Resources, pools: ReadonlyMap<string, PoolUse>): void {
    const nowMs = this.options.clock.monotonicMs();
    this.lasting = this.lastingByPool(rules);
    for (const { poolId, spare } of rules.pools.values()) {
      if (spare) continue;
      const { used, workers } = pools.get(poolId) ?? UNUSED;
      this.notePacking(poolId, workers, nowMs);
      const arriving = this.meters.get(poolId)?.arrivingProcessors(nowMs) ?? 0;
      const present = addResources(used, this.waitingIn(poolId));
      const instances = Math.max(dominantShare(present, instance), arriving / instance.processors);
      // Infinite or not a number for what no instance offers, and before any worker is known.
      const wanted = Number.isFinite(instances) ? Math.ceil(instances * (1 + HEADROOM)) : 0;
      this.track(poolId, Math.max(this.least(poolId), wanted), nowMs);
    }
  }

  /** Raises the least size of a pool in which lasting tasks wait although it has its wanted size. */
  private notePacking(poolId: string, workers: number, nowMs: number): void {
    const { jobs } = this.lasting.get(poolId) ?? NO_LASTING_WORK;
    const known = this.packing.get(poolId);
    const before = known?.jobs === jobs ? known : { ...NO_PACKING, jobs };
    const waitingSinceMs = this.waitingLasting.has(poolId) ? (before.waitingSinceMs ?? nowMs) : null;
    const isUnpacked = waitingSinceMs !== null && nowMs - waitingSinceMs >= UNPACKED_AFTER_MS;
    const isSettled = workers >= this.wanted(poolId) && nowMs - before.raisedAtMs >= PACKING_STEP_MS;
    const { raises } = before;
    if (isUnpacked && isSettled && raises < MAX_PACKING_STEPS)
      this.packing.set(poolId, {
        jobs,
        instances: workers + 1,
        raises: raises + 1,
        raisedAtMs: nowMs,
        waitingSinceMs,
      });
    else this.packing.set(poolId, { ...before, waitingSinceMs });
  }

  private lastingByPool(rules: FleetRules): ReadonlyMap<string, LastingWork> {
    const lasting = new Map<string, LastingWork>();
    for (const { record } of this.options.state.book.jobs()) {
      const { definition, queueId, jobId } = record.job;
      const poolId = rules.queues.get(queueId)?.poolId;
      if (poolId === undefined || isEnded(record.state) || !isLongRunning(definition)) continue;
      const { jobs, spread } = lasting.get(poolId) ?? NO_LASTING_WORK;
      const needed = definition.steps.map(({ taskCount, maxPerWorker }) =>
        maxPerWorker === null ? 0 : Math.ceil(taskCount / Math.max(1, maxPerWorker)),
      );
      lasting.set(poolId, { jobs: `${jobs} ${jobId}`, spread: Math.max(spread, ...needed) });
    }
    return lasting;
  }

  /** Instances that the pool should have: the most that it has wanted lately. */
  wanted(poolId: string): number {
    return Math.max(0, ...(this.wishes.get(poolId) ?? []).map(({ instances }) => instances));
  }

  /** Instances that the pool keeps whatever the others want. */
  least(poolId: string): number {
    const { spread } = this.lasting.get(poolId) ?? NO_LASTING_WORK;
    return Math.max(MIN_INSTANCES, spread, this.packing.get(poolId)?.instances ?? 0);
  }

  private track(poolId: string, instances: number, nowMs: number): void {
    const recent = (this.wishes.get(poolId) ?? []).filter(({ atMs }) => nowMs - atMs < SHRINK_AFTER_MS);
    this.wishes.set(poolId, [...recent, { atMs: nowMs, instances }]);
  }
}

function multiply({ processors, memoryBytes, accelerators }: Resources, count: number): Resources {
  return {
    processors: processors * count,
    memoryBytes: memoryBytes * count,
    accelerators: accelerators * count,
  };
}
