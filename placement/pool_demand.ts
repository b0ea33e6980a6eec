/** Computes the desired number of instances of each pool from running work, backlog and arrival rate. */
import type { Clock } from '../kernel/clock';
import {
  addResources,
  dominantShare,
  fitsInto,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../model/resources';
import type { DemandLevels } from '../scheduling/demand_levels';
import type { FleetRules } from '../scheduling/fleet_rules';
import { isLongRunning, occupiedBy } from '../scheduling/job_definition';
import { queueOf } from '../scheduling/job_queue';
import { isEnded } from '../scheduling/job_progress';
import type { PlacementState } from './placement_state';
import type { DemandForecast } from '../scheduling/burst_forecast';
import { isOfUse, isOnTime } from '../scheduling/queue_order';
import { NO_OVERDUE_WORK, overdueWorkByPool } from './overdue_work';
import { remainingUnder, type Candidate } from './plan_request';
import { ArrivalRateMeter } from './arrival_rate_meter';
import { totalWork } from './run_time_estimator';
import type { OpenJob } from './job_registry';

/**
 * A pool shrinks only after it has needed fewer instances for this long, in
 * milliseconds. An instance that is moved away and back serves no caller for more than
 * twice that time.
 */
const SHRINK_AFTER_MS = 1_500;

/** Minimum number of instances in a pool, so that the first jobs of a burst start before more instances arrive. */
const MIN_INSTANCES = 3;

/** Headroom above the demand, as a fraction of it, because tasks do not fill workers completely. */
const HEADROOM = 0.15;

/**
 * A pool that has its desired size grows by one instance once long-running tasks have
 * fitted on none of its workers for this long, in milliseconds.
 */
const FRAGMENTED_AFTER_MS = 600;

/**
 * Minimum time between two such increases, in milliseconds. Moving an instance and
 * registering its worker take about 2.5 s.
 */
const RAISE_INTERVAL_MS = 3_000;

/**
 * Maximum number of such increases for the same long-running jobs. Tasks that still
 * wait then lack a label or a healthy worker rather than capacity.
 */
const MAX_RAISES = 4;

/**
 * Minimum size of a pool in which no instance has enough free capacity for a further
 * long-running task, although all of them together have.
 */
interface FragmentationAllowance {
  /**
   * Ids of the long-running jobs for which {@link instances} was determined. Other jobs
   * fragment the capacity differently.
   */
  readonly jobIds: string;
  readonly instances: number;
  readonly raiseCount: number;
  readonly lastRaisedAtMs: number;
  /** Since when long-running tasks have been waiting; `null` if none waits. */
  readonly waitingSinceMs: number | null;
}

const NO_ALLOWANCE: FragmentationAllowance = {
  jobIds: '',
  instances: 0,
  raiseCount: 0,
  lastRaisedAtMs: -Infinity,
  waitingSinceMs: null,
};

/** The long-running jobs of a pool. */
interface LongRunningWork {
  readonly jobIds: string;
  /** Number of workers that the steps need because of their limits on the tasks on one worker. */
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
  readonly forecast: DemandForecast;
}

/** Number of workers of a pool in open zones, and the resources that are used on all of its workers. */
export interface PoolUsage {
  readonly used: Resources;
  readonly workers: number;
}

/** The instances of all pools together. */
export interface FleetCapacity {
  /** Mean capacity of an instance. */
  readonly meanCapacity: Resources;
  /** Number of instances, those of spare pools included; `Infinity` before they are known. */
  readonly instanceCount: number;
}

/** Resources that the waiting steps of a pool need. */
interface WaitingDemand {
  /** For jobs that may still meet their target, and for long-running ones. */
  readonly onTime: Resources;
  /** For these and for jobs whose result is still of use. */
  readonly useful: Resources;
}

const NOTHING_WAITS: WaitingDemand = { onTime: NO_RESOURCES, useful: NO_RESOURCES };

const NO_DEMAND: DemandLevels = {
  minInstances: MIN_INSTANCES,
  onTimeInstances: 0,
  expectedInstances: 0,
  neededInstances: 0,
};

const NO_USAGE: PoolUsage = { used: NO_RESOURCES, workers: 0 };

export class PoolDemandTracker {
  private readonly meters = new Map<string, ArrivalRateMeter>();
  /** Sizes that were computed within the last {@link SHRINK_AFTER_MS}, by pool. */
  private readonly recentSizes = new Map<string, readonly SizeSample[]>();
  private longRunning: ReadonlyMap<string, LongRunningWork> = new Map();
  private readonly allowances = new Map<string, FragmentationAllowance>();
  /** Pools in which a task of a long-running step waits for capacity. */
  private poolsWithWaitingLongRunning: ReadonlySet<string> = new Set();
  private readonly waitingDemand = new Map<string, WaitingDemand>();
  private readonly levels = new Map<string, DemandLevels>();

  constructor(private readonly options: PoolDemandTrackerOptions) {}

  /** Records a job that has just been accepted. */
  recordArrival(job: OpenJob, poolId: string): void {
    const { definition, queueId } = job.record.job;
    const work = totalWork(definition, () => true);
    const meter = this.meters.get(poolId) ?? new ArrivalRateMeter();
    this.meters.set(poolId, meter);
    // Long-running jobs are few, and their demand lasts.
    if (!isLongRunning(definition))
      this.options.forecast.recordArrival(poolId, this.options.clock.monotonicMs());
    meter.recordArrival(
      this.options.clock.monotonicMs(),
      this.options.state.estimator.expectedMs(queueId, work),
    );
  }

  /** Records the steps that wait in each pool. */
  recordWaiting(byPool: ReadonlyMap<string, readonly Candidate[]>): void {
    this.waitingDemand.clear();
    this.poolsWithWaitingLongRunning = new Set(
      [...byPool]
        .filter(([, found]) => found.some((step) => this.waitsForCapacity(step)))
        .map(([poolId]) => poolId),
    );
    for (const [poolId, candidates] of byPool) {
      // Tasks that lost their workers are late for that reason, and need more workers to start apart.
      const useful = candidates.filter(
        (step) => step.isLongRunning || isOfUse(step) || step.job.record.hasCrashes(),
      );
      const onTime = useful.filter((step) => step.isLongRunning || isOnTime(step));
      this.waitingDemand.set(poolId, { onTime: waitingResources(onTime), useful: waitingResources(useful) });
    }
  }

  /** Whether a step is long-running and waits for capacity, not because of its team's limit. */
  private waitsForCapacity({ isLongRunning: isLongRunningStep, job, readyStep }: Candidate): boolean {
    if (!isLongRunningStep) return false;
    const { teamId } = job.record.job;
    const limit = teamId === null ? undefined : this.options.rules()?.teams.get(teamId)?.upperLimit;
    if (teamId === null || limit === undefined) return true;
    return fitsInto(
      readyStep.definition.demand,
      remainingUnder(limit, this.options.state.occupancy.ofTeam(teamId)),
    );
  }

  /** Resources that the waiting steps of a pool need, without those of jobs whose result is of no use any more. */
  backlog(poolId: string): Resources {
    return (this.waitingDemand.get(poolId) ?? NOTHING_WAITS).useful;
  }

  /** Computes the desired sizes again. */
  update(
    rules: FleetRules,
    { meanCapacity, instanceCount }: FleetCapacity,
    usageByPool: ReadonlyMap<string, PoolUsage>,
  ): void {
    const nowMs = this.options.clock.monotonicMs();
    this.longRunning = this.longRunningByPool(rules);
    const overdueWork = overdueWorkByPool(this.options.state, rules, nowMs);
    for (const { poolId, spare } of rules.pools.values()) {
      if (spare) continue;
      const { used, workers } = usageByPool.get(poolId) ?? NO_USAGE;
      this.updateAllowance(poolId, workers, nowMs);
      const arrivingProcessors = this.meters.get(poolId)?.arrivingProcessors(nowMs) ?? 0;
      const { late, useless } = overdueWork.get(poolId) ?? NO_OVERDUE_WORK;
      const waiting = this.waitingDemand.get(poolId) ?? NOTHING_WAITS;
      const instancesFor = (inUse: Resources, queued: Resources): number =>
        withHeadroom(dominantShare(addResources(inUse, queued), meanCapacity));
      // Callers who return together after an outage arrive at a rate that no fleet serves.
      const arrivingInstances = Math.min(
        withHeadroom(arrivingProcessors / meanCapacity.processors),
        instanceCount,
      );
      const minInstances = this.minInstances(poolId);
      const onTimeInstances = Math.max(
        minInstances,
        arrivingInstances,
        instancesFor(subtractResources(used, addResources(late, useless)), waiting.onTime),
      );
      const { forecast } = this.options;
      const onTime = { instances: onTimeInstances, arrivingInstances };
      const expectedInstances = forecast.expectedInstances(poolId, onTime, nowMs);
      const neededInstances = Math.max(expectedInstances, instancesFor(used, waiting.useful));
      this.levels.set(poolId, { minInstances, onTimeInstances, expectedInstances, neededInstances });
      this.recordSize(poolId, neededInstances, nowMs);
    }
  }

  /** Raises the minimum size of a pool in which long-running tasks wait although it has its desired size. */
  private updateAllowance(poolId: string, workers: number, nowMs: number): void {
    const { jobIds } = this.longRunning.get(poolId) ?? NO_LONG_RUNNING_WORK;
    const known = this.allowances.get(poolId);
    const previous = known?.jobIds === jobIds ? known : { ...NO_ALLOWANCE, jobIds };
    const waitingSinceMs = this.poolsWithWaitingLongRunning.has(poolId)
      ? (previous.waitingSinceMs ?? nowMs)
      : null;
    const isFragmented = waitingSinceMs !== null && nowMs - waitingSinceMs >= FRAGMENTED_AFTER_MS;
    const mayRaise =
      workers >= this.desiredInstances(poolId) && nowMs - previous.lastRaisedAtMs >= RAISE_INTERVAL_MS;
    const { raiseCount } = previous;
    if (isFragmented && mayRaise && raiseCount < MAX_RAISES)
      this.allowances.set(poolId, {
        jobIds,
        instances: workers + 1,
        raiseCount: raiseCount + 1,
        lastRaisedAtMs: nowMs,
        waitingSinceMs,
      });
    else this.allowances.set(poolId, { ...previous, waitingSinceMs });
  }

  private longRunningByPool(rules: FleetRules): ReadonlyMap<string, LongRunningWork> {
    const longRunning = new Map<string, LongRunningWork>();
    for (const { record } of this.options.state.jobs.openJobs()) {
      const { definition, jobId } = record.job;
      const poolId = queueOf(rules, record.job)?.poolId;
      if (poolId === undefined || isEnded(record.state) || !isLongRunning(definition)) continue;
      const { jobIds, minWorkers } = longRunning.get(poolId) ?? NO_LONG_RUNNING_WORK;
      const needed = definition.steps.map(({ taskCount, maxPerWorker }) =>
        maxPerWorker === null ? 0 : Math.ceil(taskCount / Math.max(1, maxPerWorker)),
      );
      longRunning.set(poolId, { jobIds: `${jobIds} ${jobId}`, minWorkers: Math.max(minWorkers, ...needed) });
    }
    return longRunning;
  }

  /** Number of instances that the pool should have: the largest recently computed size. */
  desiredInstances(poolId: string): number {
    return Math.max(0, ...(this.recentSizes.get(poolId) ?? []).map(({ instances }) => instances));
  }

  /** What the demand needs now, by how much it serves callers. */
  levelsOf(poolId: string): DemandLevels {
    return this.levels.get(poolId) ?? NO_DEMAND;
  }

  /** Number of instances that the pool keeps whatever other pools need. */
  private minInstances(poolId: string): number {
    const { minWorkers } = this.longRunning.get(poolId) ?? NO_LONG_RUNNING_WORK;
    return Math.max(MIN_INSTANCES, minWorkers, this.allowances.get(poolId)?.instances ?? 0);
  }

  private recordSize(poolId: string, instances: number, nowMs: number): void {
    const recent = (this.recentSizes.get(poolId) ?? []).filter(({ atMs }) => nowMs - atMs < SHRINK_AFTER_MS);
    this.recentSizes.set(poolId, [...recent, { atMs: nowMs, instances }]);
  }
}

function waitingResources(candidates: readonly Candidate[]): Resources {
  return candidates
    .map(({ readyStep }) => multiply(occupiedBy(readyStep.definition), readyStep.waiting.length))
    .reduce(addResources, NO_RESOURCES);
}

/** 0 if the number is infinite or NaN: for a resource that no instance offers, and before any worker is known. */
function withHeadroom(instances: number): number {
  return Number.isFinite(instances) ? Math.ceil(instances * (1 + HEADROOM)) : 0;
}

function multiply({ processors, memoryBytes, accelerators }: Resources, count: number): Resources {
  return {
    processors: processors * count,
    memoryBytes: memoryBytes * count,
    accelerators: accelerators * count,
  };
}
