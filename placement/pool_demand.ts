/** Turns what runs, waits and arrives into the number of instances that each pool should have. */
import type { Clock } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import { occupiedBy } from '../scheduling/job_definition';
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
  private readonly waiting = new Map<string, number>();

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
      const processors = candidates
        .filter(({ slackMs, isLongRunning }) => isLongRunning || slackMs > HOPELESS_MS)
        .reduce((sum, { ready }) => sum + ready.waiting.length * occupiedBy(ready.definition).processors, 0);
      this.waiting.set(poolId, processors);
    }
  }

  /** Processors that waiting steps of a pool ask for, without those that are hopelessly late. */
  waitingProcessors(poolId: string): number {
    return this.waiting.get(poolId) ?? 0;
  }

  /** Decides the sizes anew. `processorsOf` says what one instance of the pool offers, `used` what runs on the pool. */
  update(rules: FleetRules, instanceProcessors: number, used: ReadonlyMap<string, number>): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const { poolId, spare } of rules.pools.values()) {
      if (spare) continue;
      const arriving = this.meters.get(poolId)?.arrivingProcessors(nowMs) ?? 0;
      const demand = Math.max((used.get(poolId) ?? 0) + (this.waiting.get(poolId) ?? 0), arriving);
      const wanted = Math.max(
        MIN_INSTANCES,
        Math.ceil((demand * (1 + HEADROOM)) / Math.max(1, instanceProcessors)),
      );
      this.track(poolId, wanted, nowMs);
    }
  }

  /** Instances that the pool should have: the most that it has wanted lately. */
  wanted(poolId: string): number {
    return Math.max(0, ...(this.wishes.get(poolId) ?? []).map(({ instances }) => instances));
  }

  private track(poolId: string, instances: number, nowMs: number): void {
    const recent = (this.wishes.get(poolId) ?? []).filter(({ atMs }) => nowMs - atMs < SHRINK_AFTER_MS);
    this.wishes.set(poolId, [...recent, { atMs: nowMs, instances }]);
  }
}
