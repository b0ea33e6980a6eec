/** The placement leader: active from the acquisition of the lease until the lease is lost or released. */
import type { Timer } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import type { RunResult } from '../scheduling/job_record';
import { PLACEMENT_PARTITION, PROGRESS_TABLE } from '../scheduling/job_rows';
import { UnusableRowError } from '../scheduling/platform_row_codec';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { ActiveRun } from '../scheduling/worker_gateway';
import type { RowChange } from '../store/row_store';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { logCapacityChange } from './capacity_changes';
import { evacuate } from './evacuation';
import type { RefusedRow } from './fenced_writer';
import { createLeaderParts, type LeaderParts, type PlacementLeaderOptions } from './leader_parts';
import { meanCapacity, poolUsage } from './leader_reporter';
import {
  SessionListener,
  type ObservedEndedRun,
  type StartFailure,
  type StopFailure,
} from './session_listener';
import type { SessionRun } from './session_run';
import { observedRuns } from './straggler_detection';
import { stopStuckRuns } from './stuck_runs';
import { throttleFillers } from './throttle_control';
import type { WorkerSession } from './worker_session';

/**
 * Delay from an event to the planning pass, in milliseconds, so that one pass handles
 * several events. Transactions are batched for longer than this.
 */
const PLAN_DELAY_MS = 8;

/** Delay of the next planning pass while the number of starts is limited, in milliseconds. */
const LIMITED_PLAN_DELAY_MS = 25;

/**
 * Pause between two reports of ended runs from one worker while the number of starts is
 * limited, in milliseconds. A call costs the leader as much as a start; the runs that
 * end within the pause share one, and the targets of jobs are several times longer.
 */
const BUSY_REPORT_PAUSE_MS = 150;

/** Interval of the checks that depend only on the passage of time, in milliseconds. */
const TICK_MS = 250;

/**
 * Reads the jobs, sends its fencing token to all workers, and places tasks until
 * {@link PlacementLeader.release} or the loss of leadership.
 */
export class PlacementLeader extends SessionListener {
  private readonly parts: LeaderParts;
  private planTimer: Timer | null = null;
  private tickTimer: Timer | null = null;
  /** Pools to plan in the next pass; `null` for all. */
  private changedPoolIds: Set<string> | null = new Set();
  private isStopped = false;
  private isLoaded = false;

  constructor(private readonly options: PlacementLeaderOptions) {
    super();
    this.parts = createLeaderParts(options, {
      sessionListener: this,
      onFenced: (reason) => {
        this.loseLeadership(reason);
      },
      onRowRefused: (refused) => {
        this.handleRefusedRow(refused);
      },
      onRunLost: (result) => {
        this.handleLostRun(result);
      },
      onWorkerCrashed: (crash) => {
        if (!this.isStopped) this.parts.crashHandler.handle(crash);
      },
      onPlanNeeded: () => {
        this.schedulePlan();
      },
      onPoolChanged: (poolId) => {
        this.schedulePlanOf(poolId);
      },
      onWorkerChanges: (changes, isComplete) => {
        this.handleWorkerChanges(changes, isComplete);
      },
    });
  }

  /**
   * Loads what earlier leaders have recorded and starts to place tasks. Throws the
   * errors of {@link RowStore.read}.
   */
  async start(): Promise<void> {
    const { jobFollower, workerFollower, instanceController, burstMemory, interference } = this.parts;
    const { leaseEnds, workerAddresses, intake, state, fleet } = this.parts;
    // Only the leader writes progress, so that it does not change between these reads.
    const [progress, handleJobs, handleWorkers] = await Promise.all([
      this.options.store.read({ table: PROGRESS_TABLE, partition: PLACEMENT_PARTITION }),
      jobFollower.read(),
      workerFollower.read(),
      instanceController.load(),
      burstMemory.load(),
      interference.load(),
      leaseEnds.load(),
      workerAddresses.load(),
    ]);
    intake.inheritProgress(progress.rows);
    handleJobs();
    handleWorkers();
    if (this.hasStopped()) return;
    this.isLoaded = true;
    intake.finishLoading();
    for (const workerId of state.workerIdsWithRuns()) {
      const entry = workerAddresses.entryOf(workerId);
      if (entry !== null) fleet.openUnlisted(entry);
    }
    for (const { record } of state.jobs.openJobs()) this.parts.obsoleteRuns.add(record.obsoleteRuns());
    void jobFollower.run();
    void workerFollower.run();
    this.tick();
  }

  /** Whether all jobs are loaded and this process may act as the leader now. */
  isActive(): boolean {
    return this.isLoaded && !this.isStopped && this.parts.writer.isValid();
  }

  /**
   * Sends no further commands to instances, and returns the time for which the lease must
   * not be released yet, in milliseconds: a successor waits less for a lease that was
   * released than for one that has expired, and the platform requires a minimum time
   * between commands of two leaders.
   */
  holdInstanceCommands(): number {
    const lastCommandAtMs = this.parts.instanceController.holdCommands();
    return Math.max(0, lastCommandAtMs + this.options.leaseMs - this.options.clock.monotonicMs());
  }

  /** Releases the lease. */
  async release(): Promise<void> {
    this.stop();
    await this.parts.writer.release();
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
    this.parts.jobFollower.stop();
    this.parts.workerFollower.stop();
    this.parts.fleet.close();
  }

  /** Stops as the leader, in favour of another process that can reach the store. */
  resign(): void {
    this.loseLeadership('handed over because the store is unreachable');
  }

  /** Plans again with the changed rules, or with other closed zones. */
  onRulesChanged(): void {
    this.schedulePlan();
  }

  override onFenced(): void {
    this.loseLeadership('fenced by a later leader');
  }

  override onFirstReport(session: WorkerSession, unlisted: readonly SessionRun[]): void {
    this.parts.fleet.handleFirstReport(session, unlisted);
  }

  override onReady(session: WorkerSession): void {
    // Runs that a leader of an earlier version has recorded.
    if (session.runCount() > 0) this.parts.workerAddresses.record(session.entry);
    this.schedulePlanOf(session.entry.poolId);
  }

  override onRunsEnded(session: WorkerSession, endedRuns: readonly ObservedEndedRun[]): void {
    if (this.isStopped) return;
    const { workerId } = session.worker;
    for (const endedRun of endedRuns)
      this.parts.resultHandler.handleResult({ ...endedRun, workerId }, endedRun.startedAtMs);
    const lastEndNumber = endedRuns.at(-1)?.sequenceNumber ?? 0;
    this.parts.writer.afterCommit(() => {
      session.markRecorded(lastEndNumber);
    });
    this.schedulePlanOf(session.entry.poolId);
    for (const { task } of endedRuns) this.schedulePlanOfJob(task.jobId);
  }

  override onStartRejected(session: WorkerSession, run: SessionRun, reason: StartFailure): void {
    this.options.counters.increment('placement.start_rejected', reason);
    this.options.logger.warn(LOG_EVENTS.startRejected, {
      jobId: run.task.jobId,
      task: run.task,
      run: run.run,
      workerId: session.worker.workerId,
      reason,
    });
    if (reason === 'no_ticket') this.parts.advice.discardWorker(session.worker.workerId);
    this.onRunLost(session, run);
  }

  override onStopFailed(
    { worker: { workerId } }: WorkerSession,
    { task, run }: SessionRun,
    reason: StopFailure,
    attempt: number,
  ): void {
    this.options.counters.increment('workers.stop_failed', reason);
    if (attempt === 1)
      this.options.logger.warn(LOG_EVENTS.stopFailed, { jobId: task.jobId, task, run, workerId, reason });
  }

  override onLeaseExpired({ worker: { workerId } }: WorkerSession, runs: readonly SessionRun[]): void {
    this.parts.lostRunLog.record(workerId, 'lease expired', runs);
  }

  override onRunLost(session: WorkerSession, { task, run }: SessionRun): void {
    this.handleLostRun({ task, run, workerId: session.worker.workerId, outcome: 'lost', checkpoint: '' });
  }

  override onProgress(session: WorkerSession, activeRuns: readonly ActiveRun[]): void {
    if (this.isStopped) return;
    session.setFrequentPolling(this.mustPollFrequently(session));
    session.setReportPause(this.parts.limiter.isLimiting() ? BUSY_REPORT_PAUSE_MS : 0);
    for (const { task, run, checkpoint } of activeRuns) {
      const record = this.parts.state.jobs.get(task.jobId)?.record;
      if (record === undefined || checkpoint === '') continue;
      const isRecorded = record.task(task).runs.some(({ run: number }) => number === run);
      if (isRecorded) record.saveCheckpoint(task, checkpoint);
    }
  }

  /** Sets the speed of the fillers on a worker. Returns whether its load or progress must be polled frequently. */
  private mustPollFrequently(session: WorkerSession): boolean {
    const { workerId } = session.worker;
    if (this.parts.state.longRunningCountOn(workerId) === 0 && this.parts.state.fillerCountOn(workerId) === 0)
      return false;
    const { writer, state, interference } = this.parts;
    const mustPollLoad = writer.isValid() && throttleFillers(session, state, interference.model);
    return (
      mustPollLoad ||
      observedRuns(session, state).some(
        ([run, observed]) => run.record.step(run.task.step).isLongRunning && observed.progressPercent < 100,
      )
    );
  }

  override onUnusableEntries({ worker: { workerId } }: WorkerSession, count: number): void {
    this.options.counters.increment('workers.report_unusable');
    this.options.logger.warn(LOG_EVENTS.workerReportUnusable, { workerId, count });
  }

  override onRestarted(session: WorkerSession, startedAtMs: number): void {
    const { worker, entry } = session;
    this.options.counters.increment('workers.restart_reported');
    this.options.logger.info(LOG_EVENTS.workerRestarted, {
      workerId: worker.workerId,
      workerStartedAtMs: startedAtMs,
      earlierStartedAtMs: entry.startedAtMs,
      runs: session.runCount(),
    });
    this.parts.fleet.restart(session, startedAtMs);
    this.schedulePlan();
  }

  override onReplaced(session: WorkerSession): void {
    this.parts.fleet.remove(session);
    this.schedulePlan();
  }

  /** Whether this process has stopped acting as the leader. */
  hasStopped(): boolean {
    return this.isStopped;
  }

  private loseLeadership(reason: string): void {
    if (this.isStopped) return;
    this.stop();
    this.parts.writer.close();
    this.options.logger.warn(LOG_EVENTS.leadershipLost, { epoch: this.options.lease.row.epoch, reason });
    this.options.onLost();
  }

  private handleWorkerChanges(changes: readonly RowChange[], isComplete: boolean): void {
    if (isComplete) {
      const listedIds = new Set(changes.map(({ key }) => key));
      for (const { worker } of [...this.parts.fleet.all()]) {
        if (!listedIds.has(worker.workerId)) this.parts.fleet.update(worker.workerId, null);
      }
    }
    for (const { key, value } of changes) {
      const entry = this.decodeEntry(key, value);
      logCapacityChange(this.parts.fleet.get(key), entry, { ...this.options, state: this.parts.state });
      this.parts.fleet.update(key, entry);
    }
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
    if (!this.isStopped && this.parts.resultHandler.handleLostRun(result)) this.schedulePlan();
  }

  /** Fails the job whose progress cannot be stored, so that it does not stand still and the others go on. */
  private handleRefusedRow({ address, valueBytes }: RefusedRow): void {
    const { table, key } = address;
    this.options.counters.increment('placement.row_refused', table);
    this.options.logger.error(LOG_EVENTS.rowRefused, { table, rowKey: key, valueBytes });
    if (table !== PROGRESS_TABLE) return;
    const job = this.parts.state.failUnstorable(key);
    if (job !== null) this.parts.resultHandler.stopRuns(job);
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
    const poolId = this.parts.state.poolOf(jobId);
    if (poolId !== undefined) this.schedulePlanOf(poolId);
  }

  private startPlanTimer(delayMs = PLAN_DELAY_MS): void {
    if (this.planTimer !== null || this.isStopped || !this.isLoaded) return;
    const { clock } = this.options;
    const dueAtMs = clock.monotonicMs() + delayMs;
    this.planTimer = clock.schedule(delayMs, () => {
      this.planTimer = null;
      const nowMs = clock.monotonicMs();
      this.parts.limiter.recordDelay(nowMs - dueAtMs, nowMs);
      this.parts.loadReport.recordPass(nowMs - dueAtMs);
      this.runStep(() => {
        this.plan();
      });
    });
  }

  /**
   * Runs a step that a timer began. After an unexpected error the state may be incomplete;
   * this process stops as the leader, and the next leader reads the state again.
   */
  private runStep(step: () => void): void {
    try {
      step();
    } catch (error) {
      const reason = error instanceof Error ? error.stack : String(error);
      this.options.counters.increment('placement.step_failed');
      this.options.logger.error(LOG_EVENTS.leaderStepFailed, { epoch: this.options.lease.row.epoch, reason });
      this.loseLeadership('a step failed with an unexpected error');
    }
  }

  private tick(): void {
    if (this.isStopped) return;
    this.tickTimer = this.options.clock.schedule(TICK_MS, () => {
      this.runStep(() => {
        this.tick();
      });
    });
    if (this.parts.writer.isStoreUnreachable()) this.options.onStoreUnreachable();
    if (!this.parts.writer.isValid()) this.parts.writer.renewSoon();
    this.parts.soleLeadership.refresh();
    this.parts.fleet.settleUnreachableRestarts();
    this.parts.fleet.closeIdleSessions();
    this.parts.obsoleteRuns.tick();
    this.parts.unrenewedLeases.tick();
    if (this.isLoaded) this.parts.removeUnneededAddresses();
    this.parts.workerTime.refresh();
    this.parts.reporter.tick();
    if (this.parts.writer.isValid()) void this.parts.sweep.tick();
    const rules = this.options.rules();
    if (rules !== null && this.parts.writer.isValid()) this.supervise(rules);
    this.changedPoolIds = null;
    this.plan();
  }

  private plan(): void {
    const rules = this.options.rules();
    if (rules === null || this.isStopped || !this.parts.writer.isValid()) return;
    const { changedPoolIds } = this;
    this.changedPoolIds = new Set();
    if (this.parts.placer.plan(rules, this.parts.workerTime.unixMs(), changedPoolIds))
      this.startPlanTimer(LIMITED_PLAN_DELAY_MS);
  }

  /**
   * Handles everything that depends on the passage of time: worker health, waves, pool
   * sizes, draining workers, stuck runs and slow runs.
   */
  private supervise(rules: FleetRules): void {
    const { clock } = this.options;
    const nowMs = clock.monotonicMs();
    for (const workerId of this.parts.health.refresh(nowMs)) {
      this.options.counters.increment('workers.suspected');
      this.options.logger.warn(LOG_EVENTS.workerQuarantined, { workerId });
    }
    const waiting = this.parts.placer.recordWaiting(rules, this.parts.workerTime.unixMs());
    this.parts.pressure.publish(rules, waiting);
    this.parts.interference.tick();
    this.parts.burstMemory.update(this.parts.instanceController.instancesByPool(rules));
    const capacity = {
      meanCapacity: meanCapacity([...this.parts.fleet.all()]),
      instanceCount: this.parts.instanceController.instanceCount(),
    };
    this.parts.demand.update(
      rules,
      capacity,
      poolUsage(this.parts.fleet, this.parts.state, this.parts.zoneGate),
    );
    this.parts.instanceController.tick(rules);
    const drainingWorkerIds: string[] = [];
    for (const session of this.parts.fleet.all()) {
      const { workerId } = session.worker;
      if (session.entry.state === 'draining' || this.parts.instanceController.isDraining(session))
        drainingWorkerIds.push(workerId);
      stopStuckRuns(session, { ...this.options, state: this.parts.state, health: this.parts.health, nowMs });
    }
    evacuate(drainingWorkerIds, { state: this.parts.state, fleet: this.parts.fleet, nowMs });
    this.parts.zoneEvacuation.tick(rules, this.parts.workerTime.unixMs());
    this.parts.placer.startSpeculativeCopies(rules);
  }
}
