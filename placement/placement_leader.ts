/** Acts as the holder of the placement role: from its acquisition until it is lost or given back. */
import type { Clock, Timer } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import type { InstanceOperations } from '../scheduling/instance_operations';
import { isEnded, type JobProgress } from '../scheduling/job_progress';
import type { RunResult } from '../scheduling/job_record';
import {
  cancelledJobOf,
  decodeJob,
  decodeProgress,
  JOB_PARTITIONS,
  JOB_TABLE,
  PLACEMENT_PARTITION,
  PROGRESS_TABLE,
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

/** How long one call for changed jobs waits, in milliseconds; a silent connection is noticed after it. */
const JOB_FEED_WAIT_MS = 2_000;

/** Pause between two calls for changed workers, in milliseconds: each worker writes every 1.5 s, and calls are priced. */
const WORKER_FEED_PAUSE_MS = 400;
const WORKER_FEED_WAIT_MS = 1_000;

/** Events of this time are planned for together, in milliseconds; a transaction gathers for longer. */
const PLAN_DELAY_MS = 8;

/** How often work that depends on time alone is looked at, in milliseconds. */
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
  /** Maintenance waves that the operator has ordered, by number. */
  readonly waves: () => ReadonlyMap<number, MaintenanceWave>;
  readonly leaseMs: number;
  readonly maxWorkerLeaseMs: number;
  /** How long the state of an ended job can be read at least, in milliseconds. */
  readonly retentionMs: number;
  /** Time after the acquisition before instances get orders, in milliseconds: an earlier holder may have given some. */
  readonly instanceCommandDelayMs: number;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Called several times a second while the store does not take this process's transactions. */
  readonly onStoreUnreachable: () => void;
  /** Called once when the role is lost. */
  readonly onLost: () => void;
}

/**
 * Reads the jobs, fences all workers, and then places tasks until
 * {@link PlacementLeader.release} or the loss of the role.
 */
export class PlacementLeader extends SessionListener {
  private readonly writer: FencedWriter;
  private readonly state: PlacementState;
  private readonly fleet: WorkerFleet;
  private readonly health = new WorkerHealth();
  private readonly resultHandler: RunResultHandler;
  private readonly demand: PoolDemandTracker;
  private readonly instanceController: InstanceController;
  private readonly placer: TaskPlacer;
  private readonly jobFollower: TableFollower;
  private readonly workerFollower: TableFollower;
  /** Progress as read at the start, until the job's own row is read. */
  private readonly inheritedProgress = new Map<string, JobProgress>();
  private readonly reporter: LeaderReporter;
  private readonly sweep: EndedJobSweep;
  private planTimer: Timer | null = null;
  private tickTimer: Timer | null = null;
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
        this.loseRole('lease taken over');
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
      onRunLost: (end) => {
        this.handleLostRun(end);
      },
    });
    this.resultHandler = new RunResultHandler({
      ...options,
      state: this.state,
      fleet: this.fleet,
      health: this.health,
    });
    this.demand = new PoolDemandTracker({ clock, state: this.state, rules });
    this.reporter = new LeaderReporter({
      ...options,
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
      issuer: { leader: lease.row.nodeName, fencingToken: lease.row.epoch },
      commandsFromMs: lease.sentAtMs + options.instanceCommandDelayMs,
      onFenced: () => {
        this.loseRole('an order for an instance was fenced');
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
      advice: new AdviceCache({
        clock,
        advice: options.advice,
        counters,
        onResponse: () => {
          this.schedulePlan();
        },
      }),
      onNotSent: (end) => {
        this.handleLostRun(end);
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
      onChanges: (changes, complete) => {
        this.handleWorkerChanges(changes, complete);
      },
    });
  }

  /** Reads what earlier holders have recorded and begins to place. Throws as {@link RowStore.read}. */
  async start(): Promise<void> {
    const { store, clock } = this.options;
    const progress = await store.read({ table: PROGRESS_TABLE, partition: PLACEMENT_PARTITION });
    for (const { key, value } of progress.rows) this.inheritedProgress.set(key, decodeProgress(value));
    await this.instanceController.load();
    await this.jobFollower.load();
    await this.workerFollower.load();
    if (this.isOver()) return;
    this.isLoaded = true;
    this.recordEndedJobs();
    this.inheritedProgress.clear();
    this.fleet.expireOrphans([...this.state.jobs.openJobs()].flatMap(({ record }) => record.runs()));
    for (const job of this.state.jobs.openJobs())
      if (isEnded(job.record.state)) this.resultHandler.stopRuns(job);
    void this.jobFollower.run();
    void this.workerFollower.run();
    this.tickTimer = clock.schedule(TICK_MS, () => {
      this.tick();
    });
    this.schedulePlan();
  }

  /** Gives the role back. */
  async release(): Promise<void> {
    this.stop();
    await this.writer.release();
    this.options.logger.info(LOG_EVENTS.leadershipLost, {
      epoch: this.options.lease.row.epoch,
      reason: 'given back',
    });
  }

  /** Stops at once; others take the role over when the lease has run out. */
  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.planTimer?.cancel();
    this.tickTimer?.cancel();
    this.jobFollower.stop();
    this.workerFollower.stop();
    this.fleet.close();
  }

  /** Stops in favour of another process that reaches the store. */
  resign(): void {
    this.loseRole('handed over, since the store is out of reach');
  }

  /** Looks at the jobs again after a change of the rules. */
  onRulesChanged(): void {
    this.schedulePlan();
  }

  override onFenced(): void {
    this.loseRole('fenced by a later holder');
  }

  override onReady(): void {
    this.schedulePlan();
  }

  override onRunsEnded(session: WorkerSession, ends: readonly ObservedEndedRun[]): void {
    if (this.isStopped) return;
    const { workerId } = session.worker;
    for (const end of ends) this.resultHandler.handleResult({ ...end, workerId }, end.startedAtMs);
    const last = ends.at(-1)?.number ?? 0;
    this.writer.afterCommit(() => {
      session.markRecorded(last);
    });
    this.schedulePlan();
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

  override onProgress(session: WorkerSession, running: readonly ActiveRun[]): void {
    if (this.isStopped) return;
    const isPaced = this.writer.isValid() && throttleFillers(session, this.state);
    const isStarting = observedRuns(session, this.state).some(
      ([run, seen]) => run.record.step(run.task.step).isLongRunning && seen.progressPercent < 100,
    );
    session.pollFrequently(isPaced || isStarting);
    for (const { task, run, checkpoint } of running) {
      const record = this.state.jobs.get(task.jobId)?.record;
      if (record === undefined || checkpoint === '') continue;
      const isRecorded = record.task(task).runs.some(({ run: number }) => number === run);
      if (isRecorded) record.saveCheckpoint(task, checkpoint);
    }
  }

  override onReplaced(session: WorkerSession): void {
    this.fleet.remove(session);
    this.schedulePlan();
  }

  private isOver(): boolean {
    return this.isStopped;
  }

  /** Remembers jobs that have ended and whose own rows are gone, until their progress may be removed. */
  private recordEndedJobs(): void {
    for (const [jobId, { state }] of this.inheritedProgress) {
      if (isEnded(state) && !this.state.jobs.has(jobId)) this.state.jobs.recordEnded(jobId);
    }
  }

  private loseRole(reason: string): void {
    if (this.isStopped) return;
    this.stop();
    this.writer.close();
    this.options.logger.warn(LOG_EVENTS.leadershipLost, { epoch: this.options.lease.row.epoch, reason });
    this.options.onLost();
  }

  private handleJobChanges(changes: readonly RowChange[]): void {
    const cancelled: string[] = [];
    for (const { key, value } of changes) {
      const cancelledJob = cancelledJobOf(key);
      // The holder itself removes rows; it knows of the end by then.
      if (value === null) continue;
      if (cancelledJob !== null) cancelled.push(cancelledJob);
      else this.handleJob(value);
    }
    for (const jobId of cancelled) {
      const job = this.state.cancel(jobId);
      if (job !== null) this.resultHandler.stopRuns(job);
    }
    this.schedulePlan();
  }

  private handleJob(value: string): void {
    const { clock, logger } = this.options;
    const accepted = decodeJob(value);
    const ageMs = this.isLoaded ? 0 : Math.max(0, clock.wallMs() - accepted.acceptedAtMs);
    const progress = this.inheritedProgress.get(accepted.jobId);
    const job = this.state.jobs.add(accepted, progress, clock.monotonicMs() - ageMs);
    if (job === null) return;
    this.state.addInheritedRuns(job);
    const poolId = this.options.rules()?.queues.get(accepted.queueId)?.poolId;
    if (poolId !== undefined && this.isLoaded) this.demand.recordArrival(job, poolId);
    if (progress === undefined) {
      logger.info(LOG_EVENTS.jobDiscovered, {
        jobId: accepted.jobId,
        queueId: accepted.queueId,
        teamId: accepted.teamId,
      });
    }
  }

  private handleWorkerChanges(changes: readonly RowChange[], complete: boolean): void {
    if (complete) {
      const named = new Set(changes.map(({ key }) => key));
      for (const { worker } of [...this.fleet.all()]) {
        if (!named.has(worker.workerId)) this.fleet.update(worker.workerId, null);
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

  private handleLostRun(end: RunResult): void {
    if (!this.isStopped && this.resultHandler.handleLostRun(end)) this.schedulePlan();
  }

  private schedulePlan(): void {
    if (this.planTimer !== null || this.isStopped || !this.isLoaded) return;
    this.planTimer = this.options.clock.schedule(PLAN_DELAY_MS, () => {
      this.planTimer = null;
      this.plan();
    });
  }

  private tick(): void {
    if (this.isStopped) return;
    this.tickTimer = this.options.clock.schedule(TICK_MS, () => {
      this.tick();
    });
    if (this.writer.isStoreUnreachable()) this.options.onStoreUnreachable();
    this.fleet.closeIdleSessions();
    this.reporter.tick();
    if (this.writer.isValid()) void this.sweep.tick();
    const rules = this.options.rules();
    if (rules !== null && this.writer.isValid()) this.supervise(rules);
    this.plan();
  }

  private plan(): void {
    const rules = this.options.rules();
    if (rules === null || this.isStopped || !this.writer.isValid()) return;
    this.placer.plan(rules, this.unixMs());
  }

  /** Looks at what depends on time alone: waves, pool sizes, stuck runs, slow copies, pace. */
  private supervise(rules: FleetRules): void {
    const { clock } = this.options;
    const nowMs = clock.monotonicMs();
    for (const workerId of this.health.refresh(nowMs)) {
      this.options.counters.increment('workers.suspected');
      this.options.logger.warn(LOG_EVENTS.workerQuarantined, { workerId });
    }
    this.placer.recordWaiting(rules, this.unixMs());
    this.demand.update(rules, meanCapacity(this.fleet), poolUsage(this.fleet, this.state));
    this.instanceController.tick(rules);
    const leaving: string[] = [];
    for (const session of this.fleet.all()) {
      const { workerId } = session.worker;
      if (session.entry.state === 'draining' || this.instanceController.isDraining(session))
        leaving.push(workerId);
      this.stopStuckRuns(session, nowMs);
    }
    evacuate(leaving, { state: this.state, fleet: this.fleet, nowMs });
    this.placer.startSpeculativeCopies(rules);
  }

  private stopStuckRuns(session: WorkerSession, nowMs: number): void {
    const { workerId } = session.worker;
    if (!session.isReachable()) return;
    for (const [run, seen] of observedRuns(session, this.state)) {
      if (!isStuck(run, seen, this.state, nowMs)) continue;
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

  /** Unix time by the workers' clocks, which do not follow jumps of this machine's time of day. */
  private unixMs(): number {
    const readings: number[] = [];
    for (const session of this.fleet.all()) {
      const reading = session.unixMs();
      if (reading !== null) readings.push(reading);
    }
    readings.sort((a, b) => a - b);
    return readings[Math.floor(readings.length / 2)] ?? this.options.clock.wallMs();
  }
}
