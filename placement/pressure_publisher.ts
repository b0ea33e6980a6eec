/** Publishes what waits in the pools that are short of capacity, for the processes that take calls. */
import { groupArrivals } from '../admission_control/arrival_groups';
import { groupBacklog, scarcestResource } from '../admission_control/backlog_groups';
import { OverShareHistory } from '../admission_control/over_share_history';
import type { PoolPressure, PressureView, QueueOutlook } from '../admission_control/pool_pressure';
import { encodePressureView, PRESSURE_ADDRESS } from '../admission_control/pressure_rows';
import type { Clock } from '../kernel/clock';
import { subtractResources, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import type { StartLimiter } from '../scheduling/start_limiter';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { ARRIVAL_WINDOW_MS, ArrivalLog } from './arrival_log';
import type { FencedWriter } from './fenced_writer';
import type { OpenJob } from './job_registry';
import { meanWorkByQueue, type Candidate } from './plan_request';
import { obtainableCapacity, type PoolOutlookOptions } from './pool_outlook';
import type { PoolShortage, ShortPool } from './pool_shortage';
import { unplacedDemands, waitingWork } from './waiting_work';

/**
 * Interval between two views, in milliseconds. Two more follow before a view is too old, and
 * 300 processes read them with 400 calls a second, a fifth of what the smallest store takes.
 */
const PUBLISH_INTERVAL_MS = 750;

/**
 * A pool is published once it has been short for this long, in milliseconds: two views are
 * known before a job may be rejected, and shortages of a moment cost nothing.
 */
const PUBLISH_AFTER_MS = 1_000;

export interface PressurePublisherOptions extends PoolOutlookOptions {
  readonly clock: Clock;
  readonly writer: FencedWriter;
  readonly shortage: PoolShortage;
  readonly limiter: StartLimiter;
  /** Number of processes that take calls; `null` if no process rejects jobs for lack of capacity. */
  readonly processCount: (() => number) | null;
  readonly logger: Logger;
}

/**
 * Writes a view while a pool is short, and one without pools when none is any more.
 *
 * @example
 * ```ts
 * publisher.publish(rules, candidatesByPool(options));
 * ```
 */
export class PressurePublisher {
  private readonly arrivals = new ArrivalLog();
  private number = 0;
  private lastAtMs = -Infinity;
  private readonly overShareHistory = new OverShareHistory();
  private publishedPoolIds: ReadonlySet<string> = new Set();

  constructor(private readonly options: PressurePublisherOptions) {}

  /** Records a job that has just been accepted. */
  recordArrival(job: OpenJob, poolId: string): void {
    this.arrivals.record(job, poolId, this.options.clock.monotonicMs());
  }

  /** Publishes if it is due; `byPool` contains the waiting steps. Called several times a second. */
  publish(rules: FleetRules, byPool: ReadonlyMap<string, readonly Candidate[]>): void {
    const { clock, shortage, processCount, writer } = this.options;
    const nowMs = clock.monotonicMs();
    this.arrivals.refresh(nowMs);
    if (processCount === null || nowMs - this.lastAtMs < PUBLISH_INTERVAL_MS) return;
    const short = shortage.shortPools(nowMs).filter(({ sinceMs }) => nowMs - sinceMs >= PUBLISH_AFTER_MS);
    if (short.length === 0 && this.publishedPoolIds.size === 0) return;
    const pools = short.flatMap((pool) => this.pressureOf(pool, rules, byPool.get(pool.poolId) ?? [], nowMs));
    if (pools.length === 0 && this.publishedPoolIds.size === 0) return;
    this.lastAtMs = nowMs;
    this.number += 1;
    const poolIds = new Set(pools.map(({ poolId }) => poolId));
    const candidates = [...poolIds].flatMap((poolId) => byPool.get(poolId) ?? []);
    const view: PressureView = {
      epoch: writer.epoch,
      number: this.number,
      seconds: Math.round(nowMs / 100) / 10,
      processCount: Math.max(1, processCount()),
      overShareTeamIds: this.overShareHistory.record(overShareTeamIds(candidates)),
      queues: this.queueOutlooks(candidates),
      pools,
    };
    this.logChanges(pools, poolIds);
    writer.stage({ ...PRESSURE_ADDRESS, value: encodePressureView(view) });
  }

  /** The pressure of a pool; empty if what waits there does not wait for room or starts. */
  private pressureOf(
    pool: ShortPool,
    rules: FleetRules,
    candidates: readonly Candidate[],
    nowMs: number,
  ): readonly PoolPressure[] {
    const { limiter, state } = this.options;
    const unplaced = unplacedDemands(candidates, new Set(pool.unplaced), this.freeAmounts(pool.poolId));
    const startsPerMs = pool.isStartLimited && limiter.isLimiting() ? limiter.limitPerSecond() / 1_000 : null;
    if (unplaced.length === 0 && startsPerMs === null) return [];
    const capacity = obtainableCapacity(pool.poolId, rules, this.options);
    if (!Object.values(capacity).every(Number.isFinite)) return [];
    const teamLimits = new Map([...rules.teams].map(([teamId, { upperLimit }]) => [teamId, upperLimit]));
    const work = waitingWork(candidates, state.estimator);
    const backlog = groupBacklog(work, { capacity, teamLimits });
    const { poolId, sinceMs } = pool;
    const arrived = this.arrivals.arrivedWork(poolId, {
      rules,
      estimator: state.estimator,
      meanWorkByQueue: meanWorkByQueue(candidates),
      overShareTeamIds: overShareTeamIds(candidates),
    });
    const arrivals = groupArrivals(arrived, {
      resource: scarcestResource(work, capacity),
      capacity,
      windowMs: ARRIVAL_WINDOW_MS,
      teamLimits,
    });
    return [
      {
        poolId,
        shortForMs: nowMs - sinceMs,
        startsPerMs,
        capacity,
        unplacedDemands: unplaced,
        backlog,
        arrivals,
      },
    ];
  }

  /** What is free on each worker of the pool that takes tasks. */
  private freeAmounts(poolId: string): readonly Resources[] {
    const { fleet, instanceController, state } = this.options;
    return fleet
      .inPool(poolId)
      .filter(
        (session) =>
          session.isReachable() && session.entry.state === 'ready' && !instanceController.isDraining(session),
      )
      .map(({ entry, worker }) =>
        subtractResources(entry.capacity, state.occupancy.onWorker(worker.workerId)),
      );
  }

  private queueOutlooks(candidates: readonly Candidate[]): readonly QueueOutlook[] {
    return [...meanWorkByQueue(candidates)].map(([queueId, meanWork]) => ({
      queueId,
      runTimeFactor: this.options.state.estimator.expectedMs(queueId, 1),
      meanWork,
    }));
  }

  private logChanges(pools: readonly PoolPressure[], poolIds: ReadonlySet<string>): void {
    const { logger } = this.options;
    for (const { poolId, shortForMs, capacity, backlog } of pools) {
      if (this.publishedPoolIds.has(poolId)) continue;
      const backlogMs = Math.round(backlog.reduce((sum, { workMs }) => sum + workMs, 0));
      const { processors } = capacity;
      logger.info(LOG_EVENTS.poolShort, { poolId, isShort: true, shortForMs, backlogMs, processors });
    }
    for (const poolId of this.publishedPoolIds)
      if (!poolIds.has(poolId)) logger.info(LOG_EVENTS.poolShort, { poolId, isShort: false });
    this.publishedPoolIds = poolIds;
  }
}

function overShareTeamIds(candidates: readonly Candidate[]): ReadonlySet<string> {
  const teamIds = candidates.filter(({ isOverShare }) => isOverShare).map(({ job }) => job.record.job.teamId);
  return new Set(teamIds.filter((teamId) => teamId !== null));
}
