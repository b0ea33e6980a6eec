/** Turns what runs, waits and arrives into the number of instances that each pool should have. */
import type { Clock } from '../kernel/clock';
import { addResources, dominantShare, NO_RESOURCES, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import { isLongRunning, occupiedBy } from '../scheduling/job_definition';
import { isEnded } from '../scheduling/job_progress';
import type { PlacementState } from './placement_state';
import type { Candidate } from './plan_request';
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

interface Wish {
  readonly atMs: number;
  readonly instances: number;
}

export interface PoolDemandOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
}

export class PoolDemandTracker {
  private readonly meters = new Map<string, DemandMeter>();
  /** Wishes of the last {@link SHRINK_AFTER_MS}, by pool. */
  private readonly wishes = new Map<string, readonly Wish[]>();
  /** Instances that lasting steps need for their spread, by pool. */
  private spread: ReadonlyMap<string, number> = new Map();
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
    for (const [poolId, candidates] of byPool) {
      const demands = candidates
        .filter(({ slackMs, isLongRunning: lasts }) => lasts || slackMs > HOPELESS_MS)
        .map(({ ready }) => multiply(occupiedBy(ready.definition), ready.waiting.length));
      this.waiting.set(poolId, demands.reduce(addResources, NO_RESOURCES));
    }
  }

  /** What waiting steps of a pool ask for, without those that are hopelessly late. */
  waitingIn(poolId: string): Resources {
    return this.waiting.get(poolId) ?? NO_RESOURCES;
  }

  /** Decides the sizes anew. `instance` says what one instance offers, `used` what runs on each pool. */
  update(rules: FleetRules, instance: Resources, used: ReadonlyMap<string, Resources>): void {
    const nowMs = this.options.clock.monotonicMs();
    this.spread = this.spreadByPool(rules);
    for (const { poolId, spare } of rules.pools.values()) {
      if (spare) continue;
      const arriving = this.meters.get(poolId)?.arrivingProcessors(nowMs) ?? 0;
      const present = addResources(used.get(poolId) ?? NO_RESOURCES, this.waitingIn(poolId));
      const instances = Math.max(dominantShare(present, instance), arriving / instance.processors);
      // Infinite or not a number for what no instance offers, and before any worker is known.
      const wanted = Number.isFinite(instances) ? Math.ceil(instances * (1 + HEADROOM)) : 0;
      this.track(poolId, Math.max(this.least(poolId), wanted), nowMs);
    }
  }

  /** Instances that lasting steps need because only so many of their tasks may share a worker, by pool. */
  private spreadByPool(rules: FleetRules): ReadonlyMap<string, number> {
    const spread = new Map<string, number>();
    for (const { record } of this.options.state.book.jobs()) {
      const { definition, queueId } = record.job;
      const poolId = rules.queues.get(queueId)?.poolId;
      if (poolId === undefined || isEnded(record.state) || !isLongRunning(definition)) continue;
      for (const { taskCount, maxPerWorker } of definition.steps) {
        if (maxPerWorker === null) continue;
        const needed = Math.ceil(taskCount / Math.max(1, maxPerWorker));
        spread.set(poolId, Math.max(spread.get(poolId) ?? 0, needed));
      }
    }
    return spread;
  }

  /** Instances that the pool should have: the most that it has wanted lately. */
  wanted(poolId: string): number {
    return Math.max(0, ...(this.wishes.get(poolId) ?? []).map(({ instances }) => instances));
  }

  /** Instances that the pool keeps whatever the others want. */
  least(poolId: string): number {
    return Math.max(MIN_INSTANCES, this.spread.get(poolId) ?? 0);
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
