/** The placement leader: active from the acquisition of the lease until the lease is lost or released. */
import type { Clock, Timer } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import type { InstanceOperations } from '../scheduling/instance_operations';
import { isEnded, type JobProgress } from '../scheduling/job_progress';
import type { RunResult } from '../scheduling/job_record';
import {
  cancelledJobId,
  decodeJob,
  decodeProgress,
  JOB_PARTITIONS,
  JOB_TABLE,
  PLACEMENT_PARTITION,
  PROGRESS_TABLE,
  RowFormatError,
} from '../scheduling/job_rows';
import { UnusableRowError, type PlatformRowCodec } from '../scheduling/platform_row_codec';
import type { PlacementAdvice } from '../scheduling/placement_advice';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { Rejection, ActiveRun, WorkerGateway } from '../scheduling/worker_gateway';
import type { RowChange, RowStore } from '../store/row_store';
import { TableFollower } from '../store/table_follower';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { AcquiredLease } from './leader_election';
import { FencedWriter } from './fenced_writer';
import { PlacementState } from './placement_state';
import { TaskPlacer } from './task_placer';
import { PoolDemandTracker } from './pool_demand';
import { RunResultHandler } from './run_result_handler';
import { isStuck, observedRuns } from './straggler_detection';
import { AdaptiveStartLimiter } from '../scheduling/start_limiter';
import { BurstForecast } from '../scheduling/burst_forecast';
import { BurstMemoryKeeper } from './burst_memory';
import { WorkerHealth } from './worker_health';
import { AdviceCache } from './advice_cache';
import { EndedJobSweep } from './ended_job_sweep';
import { evacuate } from './evacuation';
import { LeaderReporter, meanCapacity, poolUsage } from './leader_reporter';
import { InstanceController } from './instance_controller';
import { throttleFillers } from './throttle_control';
import { WorkerFleet } from './worker_fleet';
import { SessionListener, type ObservedEndedRun } from './session_listener';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/** How long one call for changed jobs waits, in milliseconds. A broken connection is detected within this time. */
const JOB_FEED_WAIT_MS = 2_000;

/**
 * Pause between two calls for changed workers, in milliseconds. Each worker writes its
 * entry every 1.5 s, and calls cost money.
 */
const WORKER_FEED_PAUSE_MS = 100;
const WORKER_FEED_WAIT_MS = 1_000;

/**
 * Delay from an event to the planning pass, in milliseconds, so that one pass handles
 * several events. Transactions are batched for longer than this.
 */
const PLAN_DELAY_MS = 8;

/** Delay of the next planning pass while the number of starts is limited, in milliseconds. */
const LIMITED_PLAN_DELAY_MS = 25;

/** Interval of the checks that depend only on the passage of time, in milliseconds. */
const TICK_MS = 250;

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
  readonly counters: Counters;
  readonly logger: Logger;
  /** Called several times a second while this process's transactions fail. */
  readonly onStoreUnreachable: () => void;
  /** Called once when leadership is lost. */
  readonly onLost: () => void;
}

/**
 * Reads the jobs, sends its fencing token to all workers, and places tasks until
 * {@link PlacementLeader.release} or the loss of leadership.
 */
export class PlacementLeader extends SessionListener {
  private readonly writer: FencedWriter;
  private readonly state: PlacementState;
  private readonly fleet: WorkerFleet;
  private readonly health = new WorkerHealth();
  private readonly resultHandler: RunResultHandler;
  private readonly demand: PoolDemandTracker;
  private readonly burstMemory: BurstMemoryKeeper;
  private readonly instanceController: InstanceController;
  private readonly placer: TaskPlacer;
  private readonly limiter: AdaptiveStartLimiter;
  private readonly jobFollower: TableFollower;
  private readonly workerFollower: TableFollower;
  /** Progress that earlier leaders stored, by job, until all jobs are loaded. */
  private readonly inheritedProgress = new Map<string, JobProgress>();
  /** Jobs of which a row cannot be decoded. */
  private readonly unusableJobIds = new Set<string>();
  private readonly reporter: LeaderReporter;
  private readonly sweep: EndedJobSweep;
  /** See {@link readUnixOffset}; read again on each tick. */
  private unixOffsetMs: number | null = null;
  private planTimer: Timer | null = null;
  private tickTimer: Timer | null = null;
  /** Pools to plan in the next pass; `null` for all. */
  private changedPoolIds: Set<string> | null = new Set();
  private isStopped = false;
  private isLoaded = false;

  constructor(private readonly options: PlacementLeaderOptions) {
    super();
    const { store, clock, lease, leaseMs, gateway, counters, maxWorkerLeaseMs, rules } = options;
    this.writer = new FencedWriter({
      store,
      clock,
      lease,
      leaseMs,
      onLost: () => {
        this.loseLeadership('another process acquired the lease');
      },
    });
    this.state = new PlacementState({ clock, writer: this.writer, counters, rules });
    this.fleet = new WorkerFleet({
      clock,
      gateway,
      listener: this,
      fencingToken: lease.row.epoch,
      maxLeaseMs: maxWorkerLeaseMs,
      mayAct: () => this.writer.isValid(),
      recordedRuns: (workerId) => this.state.runsOn(workerId),
      onRunLost: (result) => {
        this.handleLostRun(result);
      },
    });
    this.resultHandler = new RunResultHandler({
      ...options,
      state: this.state,
      fleet: this.fleet,
      health: this.health,
    });
    this.limiter = new AdaptiveStartLimiter(options.processors);
    const forecast = new BurstForecast();
    this.burstMemory = new BurstMemoryKeeper({ store, writer: this.writer, forecast });
    this.demand = new PoolDemandTracker({ clock, state: this.state, rules, forecast });
    this.reporter = new LeaderReporter({
      ...options,
      limiter: this.limiter,
      writer: this.writer,
      state: this.state,
      fleet: this.fleet,
      demand: this.demand,
    });
    this.sweep = new EndedJobSweep({ ...options, writer: this.writer, jobs: this.state.jobs });
    this.instanceController = new InstanceController({
      ...options,
      operations: options.instances,
      writer: this.writer,
      state: this.state,
      fleet: this.fleet,
      demand: this.demand,
      issuer: {
        leader: lease.row.nodeName,
        fencingToken: lease.row.epoch,
        mayCommand: () => this.writer.isValid(),
      },
      commandsFromMs: lease.sentAt.monotonicMs + options.instanceCommandDelayMs,
      onFenced: () => {
        this.loseLeadership('a command to an instance was fenced');
      },
    });
    this.placer = new TaskPlacer({
      ...options,
      writer: this.writer,
      state: this.state,
      fleet: this.fleet,
      health: this.health,
      instanceController: this.instanceController,
      demand: this.demand,
      limiter: this.limiter,
      advice: new AdviceCache({
        clock,
        advice: options.advice,
        counters,
        onResponse: () => {
          this.schedulePlan();
        },
      }),
      onNotSent: (result) => {
        this.handleLostRun(result);
      },
    });
    this.jobFollower = new TableFollower({
      store,
      clock,
      table: JOB_TABLE,
      partitions: JOB_PARTITIONS,
      waitMs: JOB_FEED_WAIT_MS,
      onChanges: (changes) => {
        this.handleJobChanges(changes);
      },
    });
    this.workerFollower = new TableFollower({
      store,
      clock,
      table: options.rowCodec.workerTable,
      partitions: [options.rowCodec.partition],
      waitMs: WORKER_FEED_WAIT_MS,
      pauseMs: WORKER_FEED_PAUSE_MS,
      onChanges: (changes, isComplete) => {
        this.handleWorkerChanges(changes, isComplete);
      },
    });
  }

  /**
   * Loads what earlier leaders have recorded and starts to place tasks. Throws the
   * errors of {@link RowStore.read}.
   */
  async start(): Promise<void> {
    const { store } = this.options;
    // Only the leader writes progress, so that it does not change between these reads.
    const [progress, handleJobs, handleWorkers] = await Promise.all([
      store.read({ table: PROGRESS_TABLE, partition: PLACEMENT_PARTITION }),
      this.jobFollower.read(),
      this.workerFollower.read(),
      this.instanceController.load(),
      this.burstMemory.load(),
    ]);
    for (const { key, value } of progress.rows) {
      const decoded = this.decodeRow(key, () => decodeProgress(value));
      if (decoded !== null) this.inheritedProgress.set(key, decoded);
    }
    handleJobs();
    handleWorkers();
    if (this.hasStopped()) return;
    this.isLoaded = true;
    this.recordEndedJobs();
    this.inheritedProgress.clear();
    this.fleet.expireOrphans([...this.state.jobs.openJobs()].flatMap(({ record }) => record.runs()));
    for (const job of this.state.jobs.openJobs())
      if (isEnded(job.record.state)) this.resultHandler.stopRuns(job);
    void this.jobFollower.run();
    void this.workerFollower.run();
    this.tick();
  }

  /** Whether all jobs are loaded and this process may act as the leader now. */
  isActive(): boolean {
    return this.isLoaded && !this.isStopped && this.writer.isValid();
  }

  /** Releases the lease. */
  async release(): Promise<void> {
    this.stop();
    await this.writer.release();
    this.options.logger.info(LOG_EVENTS.leadershipLost, {
      epoch: this.options.lease.row.epoch,
      reason: 'released',
    });
  }

  /** Stops at once without releasing the lease; another process acquires it once it has expired. */
  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.planTimer?.cancel();
    this.tickTimer?.cancel();
    this.jobFollower.stop();
    this.workerFollower.stop();
    this.fleet.close();
  }

  /** Stops as the leader, in favour of another process that can reach the store. */
  resign(): void {
    this.loseLeadership('handed over because the store is unreachable');
  }

  /** Plans again with the changed rules. */
  onRulesChanged(): void {
    this.schedulePlan();
  }

  override onFenced(): void {
    this.loseLeadership('fenced by a later leader');
  }

  override onReady(session: WorkerSession): void {
    this.schedulePlanOf(session.entry.poolId);
  }

  override onRunsEnded(session: WorkerSession, endedRuns: readonly ObservedEndedRun[]): void {
    if (this.isStopped) return;
    const { workerId } = session.worker;
    for (const endedRun of endedRuns)
      this.resultHandler.handleResult({ ...endedRun, workerId }, endedRun.startedAtMs);
    const lastEndNumber = endedRuns.at(-1)?.sequenceNumber ?? 0;
    this.writer.afterCommit(() => {
      session.markRecorded(lastEndNumber);
    });
    this.schedulePlanOf(session.entry.poolId);
    for (const { task } of endedRuns) this.schedulePlanOfJob(task.jobId);
  }

  override onStartRejected(session: WorkerSession, run: SessionRun, reason: Rejection | 'not_reached'): void {
    this.options.counters.increment('placement.start_rejected', reason);
    this.options.logger.warn(LOG_EVENTS.startRejected, {
      jobId: run.task.jobId,
      task: run.task,
      run: run.run,
      workerId: session.worker.workerId,
      reason,
    });
    this.onRunLost(session, run);
  }

  override onRunLost(session: WorkerSession, { task, run }: SessionRun): void {
    this.handleLostRun({ task, run, workerId: session.worker.workerId, outcome: 'lost', checkpoint: '' });
  }

  override onProgress(session: WorkerSession, activeRuns: readonly ActiveRun[]): void {
    if (this.isStopped) return;
    session.setFrequentPolling(this.mustPollFrequently(session));
    for (const { task, run, checkpoint } of activeRuns) {
      const record = this.state.jobs.get(task.jobId)?.record;
      if (record === undefined || checkpoint === '') continue;
      const isRecorded = record.task(task).runs.some(({ run: number }) => number === run);
      if (isRecorded) record.saveCheckpoint(task, checkpoint);
    }
  }

  /** Sets the speed of the fillers on a worker. Returns whether its load or progress must be polled frequently. */
  private mustPollFrequently(session: WorkerSession): boolean {
    const { workerId } = session.worker;
    if (this.state.longRunningCountOn(workerId) === 0 && this.state.fillerCountOn(workerId) === 0)
      return false;
    const mustPollLoad = this.writer.isValid() && throttleFillers(session, this.state);
    return (
      mustPollLoad ||
      observedRuns(session, this.state).some(
        ([run, observed]) => run.record.step(run.task.step).isLongRunning && observed.progressPercent < 100,
      )
    );
  }

  override onUnusableEntries({ worker: { workerId } }: WorkerSession, count: number): void {
    this.options.counters.increment('workers.report_unusable');
    this.options.logger.warn(LOG_EVENTS.workerReportUnusable, { workerId, count });
  }

  override onReplaced(session: WorkerSession): void {
    this.fleet.remove(session);
    this.schedulePlan();
  }

  /** Whether this process has stopped acting as the leader. */
  hasStopped(): boolean {
    return this.isStopped;
  }

  /** Registers ended jobs whose own rows have been removed, so that their progress is removed later. */
  private recordEndedJobs(): void {
    for (const [jobId, { state }] of this.inheritedProgress) {
      if (isEnded(state) && !this.state.jobs.has(jobId)) this.state.jobs.recordEnded(jobId);
    }
  }

  private loseLeadership(reason: string): void {
    if (this.isStopped) return;
    this.stop();
    this.writer.close();
    this.options.logger.warn(LOG_EVENTS.leadershipLost, { epoch: this.options.lease.row.epoch, reason });
    this.options.onLost();
  }

  private handleJobChanges(changes: readonly RowChange[]): void {
    const cancelled: string[] = [];
    for (const { key, value } of changes) {
      const jobId = cancelledJobId(key);
      // Only the leader removes rows, and by then it has recorded that the job ended.
      if (value === null) continue;
      if (jobId !== null) cancelled.push(jobId);
      else this.handleJob(key, value);
    }
    for (const jobId of cancelled) {
      const job = this.state.cancel(jobId);
      if (job !== null) this.resultHandler.stopRuns(job);
    }
  }

  private handleJob(key: string, value: string): void {
    const { clock, logger } = this.options;
    const accepted = this.decodeRow(key, () => decodeJob(value));
    if (accepted === null || this.unusableJobIds.has(key)) return;
    const ageMs = this.isLoaded ? 0 : Math.max(0, clock.wallMs() - accepted.acceptedAtMs);
    const progress = this.inheritedProgress.get(accepted.jobId);
    const job = this.state.jobs.add(accepted, progress, clock.monotonicMs() - ageMs);
    if (job === null) return;
    this.state.addInheritedRuns(job);
    const poolId = this.options.rules()?.queues.get(accepted.queueId)?.poolId;
    if (poolId !== undefined && this.isLoaded) {
      this.demand.recordArrival(job, poolId);
      this.schedulePlanOf(poolId);
    }
    if (progress === undefined) {
      logger.info(LOG_EVENTS.jobDiscovered, {
        jobId: accepted.jobId,
        queueId: accepted.queueId,
        teamId: accepted.teamId,
      });
    }
  }

  /** Decodes a row of a job; returns `null` for one that a later version wrote or that is corrupted. */
  private decodeRow<T>(jobId: string, decode: () => T): T | null {
    try {
      return decode();
    } catch (error) {
      if (!(error instanceof RowFormatError)) throw error;
      // Without its progress the job might run again; the next version of this system can read it.
      this.unusableJobIds.add(jobId);
      this.options.counters.increment('placement.job_row_unusable');
      this.options.logger.warn(LOG_EVENTS.jobRowUnusable, { jobId, reason: error.message });
      return null;
    }
  }

  private handleWorkerChanges(changes: readonly RowChange[], isComplete: boolean): void {
    if (isComplete) {
      const listedIds = new Set(changes.map(({ key }) => key));
      for (const { worker } of [...this.fleet.all()]) {
        if (!listedIds.has(worker.workerId)) this.fleet.update(worker.workerId, null);
      }
    }
    for (const { key, value } of changes) this.fleet.update(key, this.decodeEntry(key, value));
    this.schedulePlan();
  }

  private decodeEntry(workerId: string, value: string | null): WorkerEntry | null {
    if (value === null) return null;
    try {
      return this.options.rowCodec.decodeWorkerEntry(workerId, value);
    } catch (error) {
      if (!(error instanceof UnusableRowError)) throw error;
      this.options.counters.increment('placement.worker_entry_unusable');
      this.options.logger.info(LOG_EVENTS.workerEntryUnusable, { workerId, reason: error.message });
      return null;
    }
  }

  private handleLostRun(result: RunResult): void {
    if (!this.isStopped && this.resultHandler.handleLostRun(result)) this.schedulePlan();
  }

  /** Schedules a planning pass over all pools. */
  private schedulePlan(): void {
    this.changedPoolIds = null;
    this.startPlanTimer();
  }

  /** Schedules a planning pass over a pool, besides those that are already scheduled. */
  private schedulePlanOf(poolId: string): void {
    this.changedPoolIds?.add(poolId);
    this.startPlanTimer();
  }

  private schedulePlanOfJob(jobId: string): void {
    const queueId = this.state.jobs.get(jobId)?.record.job.queueId;
    const poolId = queueId === undefined ? undefined : this.options.rules()?.queues.get(queueId)?.poolId;
    if (poolId !== undefined) this.schedulePlanOf(poolId);
  }

  private startPlanTimer(delayMs = PLAN_DELAY_MS): void {
    if (this.planTimer !== null || this.isStopped || !this.isLoaded) return;
    const { clock } = this.options;
    const dueAtMs = clock.monotonicMs() + delayMs;
    this.planTimer = clock.schedule(delayMs, () => {
      this.planTimer = null;
      const nowMs = clock.monotonicMs();
      this.limiter.recordDelay(nowMs - dueAtMs, nowMs);
      this.plan();
    });
  }

  private tick(): void {
    if (this.isStopped) return;
    this.tickTimer = this.options.clock.schedule(TICK_MS, () => {
      this.tick();
    });
    if (this.writer.isStoreUnreachable()) this.options.onStoreUnreachable();
    if (!this.writer.isValid()) this.writer.renewSoon();
    this.fleet.closeIdleSessions();
    this.unixOffsetMs = this.readUnixOffset();
    this.reporter.tick();
    if (this.writer.isValid()) void this.sweep.tick();
    const rules = this.options.rules();
    if (rules !== null && this.writer.isValid()) this.supervise(rules);
    this.changedPoolIds = null;
    this.plan();
  }

  private plan(): void {
    const rules = this.options.rules();
    if (rules === null || this.isStopped || !this.writer.isValid()) return;
    const { changedPoolIds } = this;
    this.changedPoolIds = new Set();
    if (this.placer.plan(rules, this.unixMs(), changedPoolIds)) this.startPlanTimer(LIMITED_PLAN_DELAY_MS);
  }

  /**
   * Handles everything that depends on the passage of time: worker health, waves, pool
   * sizes, draining workers, stuck runs and slow runs.
   */
  private supervise(rules: FleetRules): void {
    const { clock } = this.options;
    const nowMs = clock.monotonicMs();
    for (const workerId of this.health.refresh(nowMs)) {
      this.options.counters.increment('workers.suspected');
      this.options.logger.warn(LOG_EVENTS.workerQuarantined, { workerId });
    }
    this.placer.recordWaiting(rules, this.unixMs());
    this.burstMemory.update(this.instanceController.instancesByPool(rules));
    const capacity = {
      meanCapacity: meanCapacity(this.fleet),
      instanceCount: this.instanceController.instanceCount(),
    };
    this.demand.update(rules, capacity, poolUsage(this.fleet, this.state));
    this.instanceController.tick(rules);
    const drainingWorkerIds: string[] = [];
    for (const session of this.fleet.all()) {
      const { workerId } = session.worker;
      if (session.entry.state === 'draining' || this.instanceController.isDraining(session))
        drainingWorkerIds.push(workerId);
      this.stopStuckRuns(session, nowMs);
    }
    evacuate(drainingWorkerIds, { state: this.state, fleet: this.fleet, nowMs });
    this.placer.startSpeculativeCopies(rules);
  }

  private stopStuckRuns(session: WorkerSession, nowMs: number): void {
    const { workerId } = session.worker;
    if (!session.isReachable() || !session.isReportComplete()) return;
    for (const [run, observed] of observedRuns(session, this.state)) {
      if (!isStuck(run, observed, this.state, nowMs)) continue;
      this.health.recordResult(workerId, run.task.jobId, true, nowMs);
      this.options.counters.increment('placement.stuck');
      this.options.logger.info(LOG_EVENTS.runReplaced, {
        ...run.task,
        run: run.run,
        workerId,
        reason: 'no progress',
      });
      session.stop(run.task, run.run);
    }
  }

  /**
   * Unix time by the workers' clocks (their median), which jumps of this machine's wall
   * clock do not affect; the wall clock before any worker has responded.
   */
  private unixMs(): number {
    this.unixOffsetMs ??= this.readUnixOffset();
    const { clock } = this.options;
    return this.unixOffsetMs === null ? clock.wallMs() : clock.monotonicMs() + this.unixOffsetMs;
  }

  /** Median difference between the workers' Unix time and the monotonic clock; `null` before any has responded. */
  private readUnixOffset(): number | null {
    const nowMs = this.options.clock.monotonicMs();
    const offsets: number[] = [];
    for (const session of this.fleet.all()) {
      const reading = session.unixMs();
      if (reading !== null) offsets.push(reading - nowMs);
    }
    offsets.sort((a, b) => a - b);
    return offsets[Math.floor(offsets.length / 2)] ?? null;
  }
}
