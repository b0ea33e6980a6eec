/** Wires the parts of a placement leader. */
import type { Clock } from '../kernel/clock';
import { BurstForecast } from '../scheduling/burst_forecast';
import type { ClosedZones } from '../scheduling/closed_zones';
import type { FleetRules } from '../scheduling/fleet_rules';
import type { InstanceOperations } from '../scheduling/instance_operations';
import type { RunResult } from '../scheduling/job_record';
import { JOB_PARTITIONS, JOB_TABLE } from '../scheduling/job_rows';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import type { PlacementAdvice } from '../scheduling/placement_advice';
import type { PlatformRowCodec } from '../scheduling/platform_row_codec';
import { AdaptiveStartLimiter, type StartLimiter } from '../scheduling/start_limiter';
import type { WorkerGateway } from '../scheduling/worker_gateway';
import type { RowChange, RowStore } from '../store/row_store';
import { StoreClock } from '../store/store_clock';
import { TableFollower } from '../store/table_follower';
import type { Counters } from '../telemetry/counters';
import { logFollowerFailures } from '../telemetry/follower_failures';
import type { Logger } from '../telemetry/logger';
import { AdviceCache } from './advice_cache';
import { BurstMemoryKeeper } from './burst_memory';
import { EndedJobSweep } from './ended_job_sweep';
import { FencedWriter, type RefusedRow } from './fenced_writer';
import { InstanceController } from './instance_controller';
import { InterferenceTracker } from './interference_tracker';
import { JobIntake } from './job_intake';
import type { AcquiredLease } from './leader_election';
import { LeaderReporter } from './leader_reporter';
import { LeaseEndKeeper } from './lease_end_keeper';
import { LostRunLog } from './lost_run_log';
import { LoadReport } from './load_report';
import { ObsoleteRuns } from './obsolete_runs';
import { PlacementState } from './placement_state';
import { PoolDemandTracker } from './pool_demand';
import { PoolShortage } from './pool_shortage';
import { PressurePublisher } from './pressure_publisher';
import { RunResultHandler } from './run_result_handler';
import { SoleLeadership, type SoleLeadershipOptions } from './sole_leadership';
import { SuspectIsolation } from './suspect_isolation';
import type { SessionListener } from './session_listener';
import { TaskPlacer } from './task_placer';
import { UnrenewedLeases } from './unrenewed_leases';
import type { WorkerCrash } from './worker_crash';
import { WorkerAddressKeeper } from './worker_address_keeper';
import { WorkerCrashHandler } from './worker_crash_handler';
import { WorkerFleet } from './worker_fleet';
import { WorkerHealth } from './worker_health';
import { WorkerTime } from './worker_time';
import { ZoneEvacuation } from './zone_evacuation';
import { ZoneGate } from './zone_gate';

/** How long one call for changed jobs waits, in milliseconds. A broken connection is detected within this time. */
const JOB_FEED_WAIT_MS = 2_000;

/**
 * Pause between two calls for changed workers, in milliseconds. Each worker writes its
 * entry every 1.5 s, and calls cost money.
 */
const WORKER_FEED_PAUSE_MS = 100;
const WORKER_FEED_WAIT_MS = 1_000;

export interface PlacementLeaderOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly rowCodec: PlatformRowCodec;
  readonly gateway: WorkerGateway;
  readonly instances: InstanceOperations;
  readonly advice: PlacementAdvice | null;
  readonly rules: () => FleetRules | null;
  readonly lease: AcquiredLease;
  /** Maintenance waves that the operator has requested, by number. */
  readonly waves: () => ReadonlyMap<number, MaintenanceWave>;
  /** Zones that the operator has closed. */
  readonly closedZones: () => ClosedZones;
  /** Whether fillers are kept apart from the serving tasks that they disturb. */
  readonly avoidsInterference: boolean;
  readonly leaseMs: number;
  readonly maxWorkerLeaseMs: number;
  /** Minimum time for which the state of an ended job can be read, in milliseconds. */
  readonly retentionMs: number;
  /**
   * Time after the acquisition of the lease before commands to instances are sent, in
   * milliseconds. It keeps the minimum time that the platform requires between commands
   * of two leaders.
   */
  readonly instanceCommandDelayMs: number;
  /** Number of processor cores that this process may use; may be a fraction. */
  readonly processors: number;
  /** Commands to instances that the platform accepts per second. */
  readonly instanceCommandsPerSecond: number;
  /** As in {@link PressurePublisherOptions}. */
  readonly processCount: (() => number) | null;
  readonly counters: Counters;
  readonly logger: Logger;
  /** As in {@link SoleLeadershipOptions}. */
  readonly ruleOutSuccessor: SoleLeadershipOptions['ruleOutSuccessor'];
  /** Called several times a second while this process's transactions fail. */
  readonly onStoreUnreachable: () => void;
  /** Called once when leadership is lost. */
  readonly onLost: () => void;
}

/** What the parts tell the leader. */
export interface LeaderHooks {
  readonly sessionListener: SessionListener;
  readonly onFenced: (reason: string) => void;
  readonly onRowRefused: (refused: RefusedRow) => void;
  /** A run no longer exists, or its start was not sent. */
  readonly onRunLost: (result: RunResult) => void;
  /** A worker has crashed; its runs are reported as lost after this. */
  readonly onWorkerCrashed: (crash: WorkerCrash) => void;
  /** All pools have to be planned again. */
  readonly onPlanNeeded: () => void;
  /** A pool has to be planned again. */
  readonly onPoolChanged: (poolId: string) => void;
  readonly onWorkerChanges: (changes: readonly RowChange[], isComplete: boolean) => void;
}

export interface LeaderParts {
  readonly writer: FencedWriter;
  readonly state: PlacementState;
  readonly soleLeadership: SoleLeadership;
  readonly fleet: WorkerFleet;
  readonly advice: AdviceCache;
  readonly lostRunLog: LostRunLog;
  readonly leaseEnds: LeaseEndKeeper;
  readonly workerAddresses: WorkerAddressKeeper;
  readonly removeUnneededAddresses: () => void;
  readonly unrenewedLeases: UnrenewedLeases;
  readonly health: WorkerHealth;
  readonly obsoleteRuns: ObsoleteRuns;
  readonly resultHandler: RunResultHandler;
  readonly crashHandler: WorkerCrashHandler;
  readonly limiter: StartLimiter;
  readonly loadReport: LoadReport;
  readonly demand: PoolDemandTracker;
  readonly burstMemory: BurstMemoryKeeper;
  readonly interference: InterferenceTracker;
  readonly reporter: LeaderReporter;
  readonly pressure: PressurePublisher;
  readonly sweep: EndedJobSweep;
  readonly instanceController: InstanceController;
  readonly placer: TaskPlacer;
  readonly intake: JobIntake;
  readonly workerTime: WorkerTime;
  readonly zoneGate: ZoneGate;
  readonly zoneEvacuation: ZoneEvacuation;
  readonly jobFollower: TableFollower;
  readonly workerFollower: TableFollower;
}

/**
 * Creates all parts; none of them acts before the leader starts.
 *
 * @example
 * ```ts
 * const { intake, jobFollower } = createLeaderParts(options, hooks);
 * ```
 */
export function createLeaderParts(options: PlacementLeaderOptions, hooks: LeaderHooks): LeaderParts {
  const { store, clock, lease, leaseMs, gateway, counters, maxWorkerLeaseMs, rules } = options;
  const { onRunLost, onPlanNeeded, onPoolChanged, onWorkerChanges } = hooks;
  const storeClock = new StoreClock();
  const writer = new FencedWriter({
    store,
    clock,
    storeClock,
    lease,
    leaseMs,
    onRowRefused: hooks.onRowRefused,
    onLost: () => {
      hooks.onFenced('another process acquired the lease');
    },
  });
  const state = new PlacementState({ clock, writer, counters, rules });
  const lostRunLog = new LostRunLog(options);
  const workerAddresses = new WorkerAddressKeeper({ store, writer });
  const leaseEnds = new LeaseEndKeeper({ store, clock, storeClock, writer });
  const advice = new AdviceCache({ clock, advice: options.advice, counters, onResponse: onPlanNeeded });
  const soleLeadership = new SoleLeadership({ ...options, writer });
  const fleet = new WorkerFleet({
    lostRunLog,
    leaseEnds,
    clock,
    gateway,
    listener: hooks.sessionListener,
    fencingToken: lease.row.epoch,
    maxLeaseMs: maxWorkerLeaseMs,
    mayAct: () => writer.isValid(),
    uncertainForMs: () => soleLeadership.uncertainForMs(),
    recordedRuns: (workerId) => state.runsOn(workerId),
    onCrash: hooks.onWorkerCrashed,
    onIncarnationReplaced: (workerId) => {
      advice.discardWorker(workerId);
    },
    onRunLost,
  });
  const health = new WorkerHealth();
  const loadReport = new LoadReport();
  const obsoleteRuns = new ObsoleteRuns({ ...options, state, fleet });
  const resultHandler = new RunResultHandler({ ...options, state, obsoleteRuns, health, loadReport });
  const limiter = new AdaptiveStartLimiter(options.processors);
  const forecast = new BurstForecast();
  const burstMemory = new BurstMemoryKeeper({ store, writer, forecast });
  const demand = new PoolDemandTracker({ clock, state, rules, forecast });
  const zoneGate = new ZoneGate(options);
  const reporter = new LeaderReporter({
    ...options,
    limiter,
    loadReport,
    writer,
    state,
    fleet,
    demand,
    zoneGate,
  });
  const sweep = new EndedJobSweep({ ...options, writer, jobs: state.jobs });
  const instanceController = new InstanceController({
    ...options,
    operations: options.instances,
    writer,
    state,
    fleet,
    demand,
    issuer: {
      leader: lease.row.nodeName,
      fencingToken: lease.row.epoch,
      mayCommand: () => writer.isValid(),
    },
    commandsFromMs: lease.sentAt.monotonicMs + options.instanceCommandDelayMs,
    onFenced: () => {
      hooks.onFenced('a command to an instance was fenced');
    },
  });
  const unrenewedLeases = new UnrenewedLeases({
    clock,
    state,
    fleet,
    leaseEnds,
    lostRunLog,
    maxLeaseMs: maxWorkerLeaseMs,
    checkWorkerAbsent: (workerId, sinceMs) => instanceController.checkWorkerAbsent(workerId, sinceMs),
    onRunLost,
  });
  const isolation = new SuspectIsolation({ state, fleet });
  const crashHandler = new WorkerCrashHandler({
    ...options,
    state,
    fleet,
    isolation,
    isBeingStopped: (session) => instanceController.isDraining(session),
  });
  const shortage = new PoolShortage();
  const pressure = new PressurePublisher({
    ...options,
    writer,
    state,
    fleet,
    demand,
    instanceController,
    limiter,
    shortage,
  });
  const interference = new InterferenceTracker({ ...options, writer, state, fleet });
  const placer = new TaskPlacer({
    ...options,
    shortage,
    writer,
    state,
    fleet,
    health,
    instanceController,
    demand,
    limiter,
    loadReport,
    advice,
    workerAddresses,
    isolation,
    zoneGate,
    interference,
    onNotSent: onRunLost,
  });
  const intake = new JobIntake({
    ...options,
    state,
    onArrival: (job, poolId) => {
      demand.recordArrival(job, poolId);
      pressure.recordArrival(job, poolId);
      onPoolChanged(poolId);
    },
    onCancelled: (job) => {
      resultHandler.stopRuns(job);
    },
  });
  const onFailure = logFollowerFailures(options);
  const jobFollower = new TableFollower({
    store,
    clock,
    table: JOB_TABLE,
    partitions: JOB_PARTITIONS,
    waitMs: JOB_FEED_WAIT_MS,
    onFailure,
    onChanges: (changes) => {
      intake.handleChanges(changes);
    },
  });
  const workerFollower = new TableFollower({
    store,
    clock,
    table: options.rowCodec.workerTable,
    partitions: [options.rowCodec.partition],
    waitMs: WORKER_FEED_WAIT_MS,
    pauseMs: WORKER_FEED_PAUSE_MS,
    onChanges: onWorkerChanges,
    onFailure,
  });
  return {
    writer,
    state,
    soleLeadership,
    fleet,
    advice,
    lostRunLog,
    leaseEnds,
    workerAddresses,
    removeUnneededAddresses: () => {
      workerAddresses.removeUnneeded((id) => fleet.get(id) !== undefined || state.runCountOn(id) > 0);
    },
    unrenewedLeases,
    health,
    obsoleteRuns,
    resultHandler,
    crashHandler,
    limiter,
    loadReport,
    demand,
    burstMemory,
    interference,
    reporter,
    pressure,
    sweep,
    instanceController,
    placer,
    intake,
    zoneGate,
    zoneEvacuation: new ZoneEvacuation({ ...options, state, fleet, placer, instanceController }),
    workerTime: new WorkerTime(clock, fleet),
    jobFollower,
    workerFollower,
  };
}
