/** Writes the number of pending jobs of each queue to the store, and the state of the pools to the log. */
import type { Clock } from '../kernel/clock';
import { addResources, combineResources, NO_RESOURCES, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import type { StartLimiter } from '../scheduling/start_limiter';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { FencedWriter } from './fenced_writer';
import type { LoadReport } from './load_report';
import type { PlacementState } from './placement_state';
import type { PoolDemandTracker, PoolUsage } from './pool_demand';
import { encodeQueueStatus, queueStatusAddress } from './queue_status';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerSession } from './worker_session';
import type { ZoneGate } from './zone_gate';

/**
 * Interval at which changed numbers of pending jobs are written, in milliseconds.
 * Readers may be shown numbers that are at most 2 s old.
 */
const QUEUE_STATUS_INTERVAL_MS = 750;

/** Interval at which the state of the pools is logged, in milliseconds. */
const SUMMARY_INTERVAL_MS = 1_000;

export interface LeaderReporterOptions {
  readonly clock: Clock;
  readonly writer: FencedWriter;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly demand: PoolDemandTracker;
  readonly limiter: StartLimiter;
  readonly zoneGate: ZoneGate;
  readonly loadReport: LoadReport;
  readonly rules: () => FleetRules | null;
  readonly logger: Logger;
}

export class LeaderReporter {
  private readonly writtenPending = new Map<string, number>();
  private lastQueueStatusAtMs = 0;
  private lastSummaryAtMs = 0;

  constructor(private readonly options: LeaderReporterOptions) {}

  /** Writes the reports that are due; called several times a second. */
  tick(): void {
    this.writeQueueStatus();
    this.logSummary();
  }

  private logSummary(): void {
    const { clock, demand, fleet, state, limiter, loadReport, logger, zoneGate } = this.options;
    const nowMs = clock.monotonicMs();
    const rules = this.options.rules();
    if (rules === null || nowMs - this.lastSummaryAtMs < SUMMARY_INTERVAL_MS) return;
    this.lastSummaryAtMs = nowMs;
    const usageByPool = poolUsage(fleet, state, zoneGate);
    const pools = [...rules.pools.values()]
      .filter(({ spare }) => !spare)
      .map(({ poolId }) => ({
        poolId,
        usable: usageByPool.get(poolId)?.workers ?? 0,
        wanted: demand.desiredInstances(poolId),
        used: Math.round(usageByPool.get(poolId)?.used.processors ?? 0),
        waiting: Math.round(demand.backlog(poolId).processors),
      }));
    const teams = [...rules.teams.values()].map(({ teamId, upperLimit }) => [
      teamId,
      Math.round(state.occupancy.ofTeam(teamId).processors),
      Math.round(upperLimit.processors),
    ]);
    const startLimit = limiter.limitPerSecond();
    logger.info(LOG_EVENTS.poolSummary, {
      startLimitPerSecond: limiter.isLimiting() ? Math.round(startLimit) : null,
      pools,
      teams,
    });
    const { user, system } = process.cpuUsage();
    logger.info(LOG_EVENTS.placementLoad, loadReport.take((user + system) / 1_000, nowMs));
  }

  private writeQueueStatus(): void {
    const { clock, writer, state } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.lastQueueStatusAtMs < QUEUE_STATUS_INTERVAL_MS) return;
    this.lastQueueStatusAtMs = nowMs;
    for (const [queueId, pending] of state.jobs.pendingByQueue()) {
      if (this.writtenPending.get(queueId) === pending) continue;
      this.writtenPending.set(queueId, pending);
      writer.stage({ ...queueStatusAddress(queueId), value: encodeQueueStatus({ pending }) });
    }
  }
}

/**
 * Number of workers of each pool in open zones, and the resources that recorded runs occupy
 * on all of its workers. What runs in a closed zone counts as demand for open ones.
 */
export function poolUsage(
  fleet: WorkerFleet,
  state: PlacementState,
  zoneGate: ZoneGate,
): ReadonlyMap<string, PoolUsage> {
  const zones = zoneGate.current();
  const usageByPool = new Map<string, PoolUsage>();
  for (const { entry, worker } of fleet.all()) {
    const { used, workers } = usageByPool.get(entry.poolId) ?? { used: NO_RESOURCES, workers: 0 };
    const usedOnWorker = state.occupancy.onWorker(worker.workerId);
    usageByPool.set(entry.poolId, {
      used: addResources(used, usedOnWorker),
      workers: workers + (zoneGate.isOpen(entry, zones) ? 1 : 0),
    });
  }
  return usageByPool;
}

/**
 * Mean capacity of the workers that respond, or of all while none does. Entries of workers
 * that do not exist may claim any capacity.
 */
export function meanCapacity(sessions: readonly Pick<WorkerSession, 'entry' | 'isReachable'>[]): Resources {
  const reachable = sessions.filter((session) => session.isReachable());
  const capacities = (reachable.length > 0 ? reachable : sessions).map(({ entry }) => entry.capacity);
  const total = capacities.reduce(addResources, NO_RESOURCES);
  return combineResources(total, NO_RESOURCES, (sum) => sum / Math.max(1, capacities.length));
}
