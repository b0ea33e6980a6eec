/** Turns what runs, waits and arrives into the number of instances that each pool should have. */
import type { Clock } from '../kernel/clock';
import { addResources, dominantShare, fitsInto, NO_RESOURCES, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import { isLongRunning, occupiedBy } from '../scheduling/job_definition';
import { isEnded } from '../scheduling/job_progress';
import type { PlacementState } from './placement_state';
import { remainingUnder, type Candidate } from './plan_request';
import { ArrivalRateMeter } from './arrival_rate_meter';
import { totalWork } from './run_time_estimator';
import type { OpenJob } from './job_registry';

/** A pool gives instances up only after it has wanted fewer for this long, in milliseconds: two moves cost as much as about 2.3 s of an instance. */
const SHRINK_AFTER_MS = 1_500;

/** Instances that a pool keeps, so that the first jobs of a burst start before others arrive. */
const MIN_INSTANCES = 3;

/** Wanted beyond the demand, as a part of it: tasks do not fill workers without gaps. */
const HEADROOM = 0.15;

/** A step that would miss its target by this much calls for no further instances, in milliseconds: late jobs earn less than an instance costs. */
const MAX_LATENESS_SLACK_MS = -2_000;

/** Lasting tasks that find no room for this long in a pool of the wanted size call for one more instance, in milliseconds. */
const FRAGMENTED_AFTER_MS = 600;

/** Time between two such calls, in milliseconds: a move and the registration of its worker take about 2.5 s. */
const RAISE_INTERVAL_MS = 3_000;

/** Most calls for the same lasting jobs; what is missing then is no room, but a label or a healthy worker. */
const MAX_RAISES = 4;

/** What a pool needs because its lasting tasks do not fill instances without gaps. */
interface FragmentationAllowance {
  /** The lasting jobs for which {@link instances} was found; other jobs pack differently. */
  readonly jobIds: string;
  readonly instances: number;
  readonly raises: number;
  readonly raisedAtMs: number;
  /** Since when lasting tasks have been waiting; `null` if none waits. */
  readonly waitingSinceMs: number | null;
}

const NO_ALLOWANCE: FragmentationAllowance = {
  jobIds: '',
  instances: 0,
  raises: 0,
  raisedAtMs: -Infinity,
  waitingSinceMs: null,
};

/** What is known of the lasting jobs of a pool. */
interface LongRunningWork {
  readonly jobIds: string;
  /** Instances that a step needs because only so many of its tasks may share a worker. */
  readonly minWorkers: number;
}

const NO_LONG_RUNNING_WORK: LongRunningWork = { jobIds: '', minWorkers: 0 };

interface SizeSample {
  readonly atMs: number;
  readonly instances: number;
}

export interface PoolDemandTrackerOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
  readonly rules: () => FleetRules | null;
}

/** What a pool has and what runs there. */
export interface PoolUsage {
  readonly used: Resources;
  readonly workers: number;
}

const NO_USAGE: PoolUsage = { used: NO_RESOURCES, workers: 0 };

export class PoolDemandTracker {
  private readonly meters = new Map<string, ArrivalRateMeter>();
  /** Wishes of the last {@link SHRINK_AFTER_MS}, by pool. */
  private readonly recentSizes = new Map<string, readonly SizeSample[]>();
  private longRunning: ReadonlyMap<string, LongRunningWork> = new Map();
  private readonly allowances = new Map<string, FragmentationAllowance>();
  /** Pools in which a task of a lasting step waits. */
  private poolsWithWaitingLongRunning: ReadonlySet<string> = new Set();
  private readonly waiting = new Map<string, Resources>();

  constructor(private readonly options: PoolDemandTrackerOptions) {}

  /** Notes a job that has just been accepted. */
  recordArrival(job: OpenJob, poolId: string): void {
    const { definition, queueId } = job.record.job;
    const work = totalWork(definition, () => true);
    const meter = this.meters.get(poolId) ?? new ArrivalRateMeter();
    this.meters.set(poolId, meter);
    meter.recordArrival(
      this.options.clock.monotonicMs(),
      this.options.state.estimator.expectedMs(queueId, work),
    );
  }

  /** Notes the steps that wait in each pool. */
  recordWaiting(byPool: ReadonlyMap<string, readonly Candidate[]>): void {
    this.waiting.clear();
    this.poolsWithWaitingLongRunning = new Set(
      [...byPool]
        .filter(([, found]) => found.some((step) => this.waitsForCapacity(step)))
        .map(([poolId]) => poolId),
    );
    for (const [poolId, candidates] of byPool) {
      const demands = candidates
        .filter(({ slackMs, isLongRunning: lasts }) => lasts || slackMs > MAX_LATENESS_SLACK_MS)
        .map(({ readyStep: ready }) => multiply(occupiedBy(ready.definition), ready.waiting.length));
      this.waiting.set(poolId, demands.reduce(addResources, NO_RESOURCES));
    }
  }

  /** Whether a step that lasts waits for something else than its team's limit. */
  private waitsForCapacity({ isLongRunning: lasts, job, readyStep: ready }: Candidate): boolean {
    if (!lasts) return false;
    const { teamId } = job.record.job;
    const limit = teamId === null ? undefined : this.options.rules()?.teams.get(teamId)?.upperLimit;
    if (teamId === null || limit === undefined) return true;
    return fitsInto(
      ready.definition.demand,
      remainingUnder(limit, this.options.state.occupancy.ofTeam(teamId)),
    );
  }

  /** What waiting steps of a pool ask for, without those that are hopelessly late. */
  backlog(poolId: string): Resources {
    return this.waiting.get(poolId) ?? NO_RESOURCES;
  }

  /** Decides the sizes anew. `instance` says what one instance offers, on average. */
  update(rules: FleetRules, instance: Resources, pools: ReadonlyMap<string, PoolUsage>): void {
    const nowMs = this.options.clock.monotonicMs();
    this.longRunning = this.longRunningByPool(rules);
    for (const { poolId, spare } of rules.pools.values()) {
      if (spare) continue;
      const { used, workers } = pools.get(poolId) ?? NO_USAGE;
      this.updateAllowance(poolId, workers, nowMs);
      const arriving = this.meters.get(poolId)?.arrivingProcessors(nowMs) ?? 0;
      const present = addResources(used, this.backlog(poolId));
      const instances = Math.max(dominantShare(present, instance), arriving / instance.processors);
      // Infinite or not a number for what no instance offers, and before any worker is known.
      const desiredInstances = Number.isFinite(instances) ? Math.ceil(instances * (1 + HEADROOM)) : 0;
      this.recordSize(poolId, Math.max(this.minInstances(poolId), desiredInstances), nowMs);
    }
  }

  /** Raises the least size of a pool in which lasting tasks wait although it has its wanted size. */
  private updateAllowance(poolId: string, workers: number, nowMs: number): void {
    const { jobIds: jobs } = this.longRunning.get(poolId) ?? NO_LONG_RUNNING_WORK;
    const known = this.allowances.get(poolId);
    const before = known?.jobIds === jobs ? known : { ...NO_ALLOWANCE, jobIds: jobs };
    const waitingSinceMs = this.poolsWithWaitingLongRunning.has(poolId)
      ? (before.waitingSinceMs ?? nowMs)
      : null;
    const isUnpacked = waitingSinceMs !== null && nowMs - waitingSinceMs >= FRAGMENTED_AFTER_MS;
    const isSettled =
      workers >= this.desiredInstances(poolId) && nowMs - before.raisedAtMs >= RAISE_INTERVAL_MS;
    const { raises } = before;
    if (isUnpacked && isSettled && raises < MAX_RAISES)
      this.allowances.set(poolId, {
        jobIds: jobs,
        instances: workers + 1,
        raises: raises + 1,
        raisedAtMs: nowMs,
        waitingSinceMs,
      });
    else this.allowances.set(poolId, { ...before, waitingSinceMs });
  }

  private longRunningByPool(rules: FleetRules): ReadonlyMap<string, LongRunningWork> {
    const lasting = new Map<string, LongRunningWork>();
    for (const { record } of this.options.state.jobs.openJobs()) {
      const { definition, queueId, jobId } = record.job;
      const poolId = rules.queues.get(queueId)?.poolId;
      if (poolId === undefined || isEnded(record.state) || !isLongRunning(definition)) continue;
      const { jobIds: jobs, minWorkers: spread } = lasting.get(poolId) ?? NO_LONG_RUNNING_WORK;
      const needed = definition.steps.map(({ taskCount, maxPerWorker }) =>
        maxPerWorker === null ? 0 : Math.ceil(taskCount / Math.max(1, maxPerWorker)),
      );
      lasting.set(poolId, { jobIds: `${jobs} ${jobId}`, minWorkers: Math.max(spread, ...needed) });
    }
    return lasting;
  }

  /** Instances that the pool should have: the most that it has wanted lately. */
  desiredInstances(poolId: string): number {
    return Math.max(0, ...(this.recentSizes.get(poolId) ?? []).map(({ instances }) => instances));
  }

  /** Instances that the pool keeps whatever the others want. */
  minInstances(poolId: string): number {
    const { minWorkers: spread } = this.longRunning.get(poolId) ?? NO_LONG_RUNNING_WORK;
    return Math.max(MIN_INSTANCES, spread, this.allowances.get(poolId)?.instances ?? 0);
  }

  private recordSize(poolId: string, instances: number, nowMs: number): void {
    const recent = (this.recentSizes.get(poolId) ?? []).filter(({ atMs }) => nowMs - atMs < SHRINK_AFTER_MS);
    this.recentSizes.set(poolId, [...recent, { atMs: nowMs, instances }]);
  }
}

function multiply({ processors, memoryBytes, accelerators }: Resources, count: number): Resources {
  return {
    processors: processors * count,
    memoryBytes: memoryBytes * count,
    accelerators: accelerators * count,
  };
}
