/** The leader's session with one incarnation of a worker. */
import type { Clock } from '../kernel/clock';
import type { TaskId } from '../scheduling/job_definition';
import type { WorkerEntry } from '../scheduling/worker_entry';
import {
  WorkerUnreachableError,
  WorkerOutcomeUnknownError,
  type EndedRun,
  type LeaseResponse,
  type ActiveRun,
  type Rejection,
  type WorkerAddress,
  type WorkerGateway,
  type WorkerResponse,
} from '../scheduling/worker_gateway';
import type { SessionListener, StartFailure } from './session_listener';
import {
  isUnresolved,
  newSessionRun,
  runKey,
  withReport,
  type StartRequest,
  type SessionRun,
} from './session_run';
import { WorkerLease } from './worker_lease';

/** How long a lease call waits for a run to end, in milliseconds. */
const LEASE_WAIT_MS = 1_500;

/**
 * Wait of a lease call while the leader follows the load or the start of long-running
 * tasks, or may not request the lease yet, in milliseconds.
 */
const FREQUENT_POLL_WAIT_MS = 300;

/** Wait of a lease call while it is unknown whether some run exists, in milliseconds. */
const UNRESOLVED_WAIT_MS = 40;

/** Longest delay of the next lease call until the reported ended runs are recorded, in milliseconds. */
const RECORD_WAIT_MS = 600;

/** Pause after a failed lease call, in milliseconds. */
const RETRY_MS = 250;

/** Difference of the clocks in two responses that may have overtaken each other, in milliseconds. */
const MAX_REORDERING_MS = 1_000;

/**
 * Time after which a confirmed stop is sent again if the worker still lists the run, in
 * milliseconds. The platform gives a worker 0.2 s to stop one.
 */
const STOP_EFFECT_MS = 500;

/**
 * Maximum number of ended runs in one response. A full response may be incomplete, so
 * runs that it does not contain are not taken as lost.
 */
const MAX_ENDED_RUNS = 500;

export interface WorkerSessionOptions {
  readonly clock: Clock;
  readonly gateway: WorkerGateway;
  readonly listener: SessionListener;
  readonly entry: WorkerEntry;
  readonly fencingToken: number;
  readonly maxLeaseMs: number;
  /** Whether the leader may act; otherwise leases are renewed and nothing else is done. */
  readonly mayAct: () => boolean;
  /** {@link SoleLeadership.uncertainForMs}, which bounds the leases that are requested. */
  readonly uncertainForMs: () => number;
  /** Runs that earlier sessions have started and that this incarnation may have. */
  readonly inherited: readonly InheritedRun[];
  /** When the lease that an earlier leader stopped renewing has ended; `null` if that is not known. */
  readonly knownLeaseEndMs: number | null;
  /** Whether the lease may be requested: not while its end is stored, since a successor would rely on it. */
  readonly mayRequestLease: () => boolean;
  /** Called after each response while the lease may not be requested. */
  readonly onLeaseWithheld: () => void;
}

export interface InheritedRun {
  readonly task: TaskId;
  readonly run: number;
  /** `unconfirmed` if the start may still arrive. */
  readonly phase: 'inherited' | 'unconfirmed';
}

/**
 * Renews the lease of the runs on a worker, receives reports of ended runs, and
 * resolves commands whose outcome is unknown.
 *
 * @example
 * ```ts
 * const session = new WorkerSession(options);
 * void session.run();
 * ```
 */
export class WorkerSession {
  readonly worker: WorkerAddress;
  /** The worker's registry entry as last read. */
  private current: WorkerEntry;
  private readonly runs = new Map<string, SessionRun>();
  private readonly lease: WorkerLease;
  private hasAcceptedToken = false;
  /** Whether a clock has shown since the latest report that the worker has restarted. */
  private hasRestarted = false;
  /** {@link WorkerGateway.connectionChanges} at the latest report. */
  private reportedConnection = 0;
  private isClosed = false;
  /** Number of calls that have failed since the last successful lease call. */
  private failureCount = 0;
  /** Highest number of an ended run that the worker has reported. */
  private lastReportedEndNumber = 0;
  /** Ended runs up to this number are stored. */
  private recordedEndNumber = 0;
  /** Ended runs up to this number have been acknowledged to the worker. */
  private acknowledgedEndNumber = 0;
  /** Keys of runs on this worker that are not recorded; they use capacity that the leader does not account for. */
  private readonly unrecordedRuns = new Set<string>();
  /** Number of undecodable entries in the worker's latest report. */
  private unusableEntries = 0;
  private wakeUp: (() => void) | null = null;
  private failingSinceMs: number | null = null;
  private isPolledFrequently = false;
  private reportPauseMs = 0;

  constructor(private readonly options: WorkerSessionOptions) {
    const { entry, inherited, clock, maxLeaseMs, knownLeaseEndMs } = options;
    this.current = entry;
    this.worker = { workerId: entry.workerId, address: entry.address };
    this.lease = new WorkerLease({ maxLeaseMs, nowMs: clock.monotonicMs(), knownEndMs: knownLeaseEndMs });
    for (const run of inherited) this.addRun(run);
  }

  get entry(): WorkerEntry {
    return this.current;
  }

  update(entry: WorkerEntry): void {
    this.current = entry;
  }

  activeRuns(): readonly SessionRun[] {
    return [...this.runs.values()];
  }

  runCount(): number {
    return this.runs.size;
  }

  findRun(task: TaskId, run: number): SessionRun | undefined {
    return this.runs.get(runKey({ task, run }));
  }

  /** Finds a run by its {@link runKey}. */
  findRunByKey(key: string): SessionRun | undefined {
    return this.runs.get(key);
  }

  /** Sets whether progress and load are requested several times a second. */
  setFrequentPolling(isEnabled: boolean): void {
    this.isPolledFrequently = isEnabled;
  }

  /**
   * Sets the pause between a report of ended runs and the next lease call, in
   * milliseconds, so that one call reports the runs that end within it.
   */
  setReportPause(pauseMs: number): void {
    this.reportPauseMs = pauseMs;
  }

  /** Whether new tasks may be sent to this worker. */
  isUsable(): boolean {
    return (
      this.hasAcceptedToken &&
      !this.isClosed &&
      this.failureCount === 0 &&
      this.options.mayRequestLease() &&
      this.current.state === 'ready' &&
      this.unrecordedRuns.size === 0
    );
  }

  /** Whether the worker's latest report lists all of its runs. */
  isReportComplete(): boolean {
    return this.unusableEntries === 0;
  }

  isReachable(): boolean {
    return this.hasAcceptedToken && this.failureCount === 0;
  }

  /** Since when calls have been failing; `null` while the worker responds. */
  unreachableSinceMs(): number | null {
    return this.failingSinceMs;
  }

  /** When the lease was last requested and when it has ended, on the monotonic clock. */
  leaseTimes(): { readonly requestedAtMs: number; readonly endsAtMs: number } {
    return { requestedAtMs: this.lease.requestedAtMs(), endsAtMs: this.lease.expiredAtMs() };
  }

  /**
   * Unix time by the worker's clocks, independent of this machine's wall clock; `null`
   * before the first response, or if the start of the incarnation is unknown.
   */
  unixMs(): number | null {
    const clockMs = this.lease.workerClockMs(this.options.clock.monotonicMs());
    return clockMs === null || this.current.startedAtMs === 0 ? null : this.current.startedAtMs + clockMs;
  }

  /** Marks the ended runs up to this number as stored, so that they are acknowledged to the worker. */
  markRecorded(endNumber: number): void {
    this.recordedEndNumber = Math.max(this.recordedEndNumber, endNumber);
    this.wake();
  }

  /** Closes the session; the runs on the worker continue. */
  close(): void {
    this.isClosed = true;
    this.wake();
    this.options.gateway.disconnect(this.worker);
  }

  /** Sends the start of a run that has been recorded. */
  start(request: StartRequest): void {
    const run = this.addRun({ ...request, phase: 'starting' });
    void this.sendStart(request, run);
  }

  /** Sends a stop for a run; the run counts as occupying the worker until its end is reported. */
  stop(task: TaskId, runNumber: number): void {
    const run = this.findRun(task, runNumber);
    if (run === undefined || run.phase === 'stopping') return;
    this.updateRun(run, { phase: 'stopping', phaseSinceMs: this.nowMs(), isStopConfirmed: false });
    void this.sendStop(task, runNumber);
  }

  /** Sets the speed of a run, in percent of its full speed. */
  throttle(task: TaskId, runNumber: number, speedPercent: number): void {
    const run = this.findRun(task, runNumber);
    if (run?.phase !== 'running' || run.speedPercent === speedPercent) return;
    this.updateRun(run, { speedPercent });
    void this.sendThrottle(task, runNumber, speedPercent);
  }

  /** Makes lease calls until {@link close}. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      if (this.isIdle()) await this.sleep(null);
      if (this.hasClosed()) return;
      const sentAtMs = this.nowMs();
      const reportedBefore = this.lastReportedEndNumber;
      const hasResponded = await this.renewLease(sentAtMs);
      if (this.hasClosed()) return;
      if (!hasResponded) await this.sleep(RETRY_MS);
      else await this.waitBetweenReports(this.lastReportedEndNumber > reportedBefore);
    }
  }

  /** Waits until the reported ended runs are recorded, and after new ones at least for the pause. */
  private async waitBetweenReports(hasNewEnds: boolean): Promise<void> {
    if (hasNewEnds && this.reportPauseMs > 0) await this.options.clock.delay(this.reportPauseMs);
    if (this.hasClosed()) return;
    if (this.lastReportedEndNumber > this.recordedEndNumber) await this.sleep(RECORD_WAIT_MS);
    // Ended runs cannot be acknowledged without the lease, and a call without runs does not wait.
    else if (!this.options.mayAct() && this.runs.size === 0) await this.sleep(RETRY_MS);
  }

  private hasClosed(): boolean {
    return this.isClosed;
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private isIdle(): boolean {
    return (
      this.hasAcceptedToken &&
      this.runs.size === 0 &&
      this.acknowledgedEndNumber >= this.lastReportedEndNumber &&
      this.failureCount === 0
    );
  }

  private addRun(run: Pick<SessionRun, 'task' | 'run' | 'phase'>): SessionRun {
    const nowMs = this.nowMs();
    const tracked = newSessionRun(run, nowMs);
    this.runs.set(runKey(run), tracked);
    this.wake();
    return tracked;
  }

  private updateRun(run: SessionRun, fields: Partial<SessionRun>): void {
    const key = runKey(run);
    const current = this.runs.get(key);
    if (current !== undefined) this.runs.set(key, { ...current, ...fields });
  }

  private removeRun(key: string): boolean {
    this.unrecordedRuns.delete(key);
    return this.runs.delete(key);
  }

  private wake(): void {
    this.wakeUp?.();
  }

  private sleep(limitMs: number | null): Promise<void> {
    return new Promise((resolve) => {
      const timer = limitMs === null ? null : this.options.clock.schedule(limitMs, () => this.wakeUp?.());
      this.wakeUp = () => {
        this.wakeUp = null;
        timer?.cancel();
        resolve();
      };
    });
  }

  private async sendStart(request: StartRequest, run: SessionRun): Promise<void> {
    const { gateway, fencingToken, listener } = this.options;
    // A start requests the lease as well.
    if (!this.options.mayRequestLease()) {
      this.handleRejection(run, 'lease_withheld');
      return;
    }
    try {
      const sentAtMs = this.nowMs();
      const response = await gateway.start(this.worker, {
        ...request,
        fencingToken,
        leaseUntilMs: this.leaseUntilMs(sentAtMs),
      });
      this.observeClock(response, sentAtMs);
      if (response.rejection === 'fenced') listener.onFenced();
      else if (response.rejection === null) this.markRunning(run);
      else this.handleRejection(run, response.rejection);
    } catch (error) {
      if (error instanceof WorkerUnreachableError) this.handleRejection(run, 'not_reached');
      else if (error instanceof WorkerOutcomeUnknownError) this.markUnconfirmed(run);
      else throw error;
    }
  }

  /** Records the clock of a response, unless it is that of another incarnation. */
  private observeClock({ clockMs }: WorkerResponse, sentAtMs: number): void {
    if (clockMs === null) return;
    if (this.lease.isClockOfOtherIncarnation(clockMs, sentAtMs)) this.hasRestarted = true;
    else this.lease.recordClock(clockMs, this.nowMs());
  }

  private markRunning(run: SessionRun): void {
    const current = this.runs.get(runKey(run));
    if (current?.phase !== 'starting') return;
    const nowMs = this.nowMs();
    this.updateRun(run, { phase: 'running', phaseSinceMs: nowMs, startedAtMs: nowMs, progressAtMs: nowMs });
  }

  private markUnconfirmed(run: SessionRun): void {
    const current = this.runs.get(runKey(run));
    if (current?.phase === 'starting')
      this.updateRun(run, { phase: 'unconfirmed', phaseSinceMs: this.nowMs() });
    this.recordFailure();
  }

  private handleRejection(run: SessionRun, reason: StartFailure): void {
    // The recorded failure makes this worker unusable for new tasks until a lease call succeeds.
    if (reason === 'not_reached' || reason === 'unhealthy') this.recordFailure();
    if (!this.removeRun(runKey(run))) return;
    this.options.listener.onStartRejected(this, run, reason);
    if (reason === 'other_incarnation') this.options.listener.onReplaced(this);
  }

  /**
   * Sends a stop until the worker's report shows that the run is gone: any response but a
   * report leaves open whether the run has ended.
   */
  private async sendStop(task: TaskId, run: number): Promise<void> {
    const key = runKey({ task, run });
    for (let attempt = 1; this.isStopping(key); attempt += 1) {
      const failure = this.options.mayAct() ? await this.trySendStop(task, run) : null;
      const isConfirmed = this.runs.get(key)?.isStopConfirmed === true;
      await this.options.clock.delay(isConfirmed ? STOP_EFFECT_MS : RETRY_MS);
      const stopping = this.isStopping(key) ? this.runs.get(key) : undefined;
      if (stopping === undefined) return;
      const reason = failure ?? (isConfirmed && this.isReachable() ? 'no_effect' : null);
      if (reason !== null) this.options.listener.onStopFailed(this, stopping, reason, attempt);
    }
  }

  private isStopping(key: string): boolean {
    return !this.isClosed && this.runs.get(key)?.phase === 'stopping';
  }

  /**
   * Returns why the worker rejected the stop; `null` if it confirmed it or has not responded.
   * A superseded run cannot start any more, as after a confirmed stop.
   */
  private async trySendStop(task: TaskId, run: number): Promise<Rejection | null> {
    const { gateway, fencingToken, listener } = this.options;
    try {
      const { rejection } = await gateway.stop(this.worker, { task, run, fencingToken });
      if (rejection === 'fenced') listener.onFenced();
      if (rejection === 'other_incarnation') listener.onReplaced(this);
      const isConfirmed = rejection === null || rejection === 'superseded';
      if (isConfirmed) this.confirmStop(runKey({ task, run }));
      return isConfirmed ? null : rejection;
    } catch (error) {
      if (!(error instanceof WorkerUnreachableError || error instanceof WorkerOutcomeUnknownError))
        throw error;
      return null;
    }
  }

  private confirmStop(key: string): void {
    const run = this.runs.get(key);
    if (run === undefined || run.isStopConfirmed) return;
    this.updateRun(run, { isStopConfirmed: true, phaseSinceMs: this.nowMs() });
    this.wake();
  }

  private async sendThrottle(task: TaskId, run: number, speedPercent: number): Promise<void> {
    const { gateway, fencingToken, listener } = this.options;
    try {
      const response = await gateway.throttle(this.worker, { task, run, speedPercent, fencingToken });
      if (response.rejection === 'fenced') listener.onFenced();
      if (response.rejection === null) return;
    } catch (error) {
      if (!(error instanceof WorkerUnreachableError || error instanceof WorkerOutcomeUnknownError))
        throw error;
    }
    // The command may not have been applied. With an unknown speed, the next load report sets it again.
    const current = this.runs.get(runKey({ task, run }));
    if (current !== undefined) this.updateRun(current, { speedPercent: -1 });
  }

  /** Makes one lease call. Returns whether this incarnation responded. */
  private async renewLease(sentAtMs: number): Promise<boolean> {
    const { gateway, fencingToken } = this.options;
    const acknowledgedEndNumber = this.numberToAcknowledge();
    try {
      const response = await gateway.renewLease(this.worker, {
        fencingToken,
        acknowledgedEndNumber,
        // After a failed call the lease is not renewed, so that it is known when it expires at the latest.
        leaseUntilMs: this.mayRenew() ? this.leaseUntilMs(sentAtMs) : null,
        waitMs: this.waitMs(),
      });
      if (this.hasClosed()) return true;
      return this.handleResponse(response, sentAtMs, acknowledgedEndNumber);
    } catch (error) {
      if (!(error instanceof WorkerUnreachableError || error instanceof WorkerOutcomeUnknownError))
        throw error;
      this.recordFailure();
      this.loseExpiredRuns();
      return false;
    }
  }

  /**
   * The number up to which to acknowledge ended runs; 0 if there is nothing new, or if the
   * worker may have restarted since its latest report. It counts from 1 again then, and a
   * number of before would make it forget ends that it has not reported.
   */
  private numberToAcknowledge(): number {
    const hasNew = this.options.mayAct() && this.recordedEndNumber > this.acknowledgedEndNumber;
    return hasNew && this.isSurelySameIncarnation() ? this.recordedEndNumber : 0;
  }

  /** Whether the next call reaches the incarnation of the latest report or none. A restart breaks all connections. */
  private isSurelySameIncarnation(): boolean {
    const connection = this.options.gateway.connectionChanges(this.worker);
    return this.failureCount === 0 && !this.hasRestarted && connection === this.reportedConnection;
  }

  /** The end of the lease to request in a call that is sent now. */
  private leaseUntilMs(sentAtMs: number): number {
    return this.lease.requestUntilMs(sentAtMs, this.options.uncertainForMs());
  }

  private mayRenew(): boolean {
    return this.failureCount === 0 && this.options.mayRequestLease();
  }

  private recordFailure(): void {
    this.failureCount += 1;
    this.failingSinceMs ??= this.nowMs();
    this.wake();
  }

  private waitMs(): number {
    if (!this.hasAcceptedToken || this.failureCount > 0 || this.runs.size === 0) return 0;
    if (!this.options.mayRequestLease()) return FREQUENT_POLL_WAIT_MS;
    for (const run of this.runs.values()) if (isUnresolved(run)) return UNRESOLVED_WAIT_MS;
    return this.isPolledFrequently ? FREQUENT_POLL_WAIT_MS : LEASE_WAIT_MS;
  }

  private handleResponse(response: LeaseResponse, sentAtMs: number, acknowledgedEndNumber: number): boolean {
    const { listener } = this.options;
    if (response.rejection === 'fenced') {
      listener.onFenced();
      return false;
    }
    if (response.rejection === 'other_incarnation') {
      listener.onReplaced(this);
      return false;
    }
    if (this.isFromOtherIncarnation(response)) {
      listener.onRestarted(this, response.workerStartedAtMs ?? 0);
      return false;
    }
    if (response.rejection !== null) {
      this.recordFailure();
      this.loseExpiredRuns();
      return false;
    }
    if (response.clockMs !== null) this.lease.recordClock(response.clockMs, this.nowMs());
    this.recordIncarnation(response);
    this.failureCount = 0;
    this.failingSinceMs = null;
    this.hasRestarted = false;
    this.reportedConnection = this.options.gateway.connectionChanges(this.worker);
    this.acknowledgedEndNumber = Math.max(this.acknowledgedEndNumber, acknowledgedEndNumber);
    const reportedKeys = this.handleActiveRuns(response.running);
    this.handleEndedRuns(response.ended);
    this.recordUnusableEntries(response.unusableEntries);
    const isComplete = response.ended.length < MAX_ENDED_RUNS && response.unusableEntries === 0;
    if (!this.hasAcceptedToken) {
      const unlisted = isComplete ? this.activeRuns().filter((run) => !reportedKeys.has(runKey(run))) : [];
      listener.onFirstReport(this, unlisted);
    }
    if (isComplete) this.resolveMissingRuns(reportedKeys, sentAtMs);
    this.markReady();
    if (!this.options.mayRequestLease()) this.options.onLeaseWithheld();
    listener.onProgress(this, response.running);
    return true;
  }

  private recordUnusableEntries(count: number): void {
    if (count === this.unusableEntries) return;
    this.unusableEntries = count;
    this.options.listener.onUnusableEntries(this, count);
  }

  private markReady(): void {
    if (this.hasAcceptedToken) return;
    this.hasAcceptedToken = true;
    this.options.listener.onReady(this);
  }

  private isFromOtherIncarnation({ workerStartedAtMs: startedAtMs, clockMs }: LeaseResponse): boolean {
    if (startedAtMs !== null && this.current.startedAtMs !== 0)
      return startedAtMs !== this.current.startedAtMs;
    // Without its start, only a clock that has gone back shows a restart.
    return clockMs !== null && clockMs < (this.lease.lastWorkerClockMs() ?? 0) - MAX_REORDERING_MS;
  }

  /** Records the start of the incarnation if the entry does not contain it. */
  private recordIncarnation({ workerStartedAtMs: startedAtMs }: LeaseResponse): void {
    if (startedAtMs !== null && this.current.startedAtMs === 0)
      this.current = { ...this.current, startedAtMs };
  }

  /** Returns the keys of the reported runs. */
  private handleActiveRuns(activeRuns: readonly ActiveRun[]): ReadonlySet<string> {
    const nowMs = this.nowMs();
    const reportedKeys = new Set<string>();
    for (const activeRun of activeRuns) {
      const key = runKey(activeRun);
      reportedKeys.add(key);
      const run = this.runs.get(key);
      if (run === undefined) {
        this.stopUnrecordedRun(activeRun);
        continue;
      }
      this.runs.set(key, withReport(run, activeRun, nowMs));
    }
    return reportedKeys;
  }

  /** Stops a run that is not recorded: its start arrived late, or its job no longer exists. */
  private stopUnrecordedRun({ task, run }: ActiveRun): void {
    if (!this.options.mayAct()) return;
    this.addRun({ task, run, phase: 'running' });
    this.unrecordedRuns.add(runKey({ task, run }));
    this.stop(task, run);
  }

  private handleEndedRuns(ended: readonly EndedRun[]): void {
    const newlyEnded = ended.filter(({ sequenceNumber }) => sequenceNumber > this.lastReportedEndNumber);
    if (newlyEnded.length === 0) return;
    this.lastReportedEndNumber = Math.max(...newlyEnded.map(({ sequenceNumber }) => sequenceNumber));
    const observed = newlyEnded.map((endedRun) => ({
      ...endedRun,
      startedAtMs: this.runs.get(runKey(endedRun))?.startedAtMs ?? null,
    }));
    for (const endedRun of newlyEnded) this.removeRun(runKey(endedRun));
    this.options.listener.onRunsEnded(this, observed);
  }

  /** Resolves runs that the worker reports neither as active nor as ended. */
  private resolveMissingRuns(reportedKeys: ReadonlySet<string>, sentAtMs: number): void {
    for (const [key, run] of this.runs) {
      if (reportedKeys.has(key) || run.phase === 'starting') continue;
      // An inherited run was started before this session's first call.
      if (run.phase !== 'inherited' && run.phaseSinceMs >= sentAtMs) continue;
      if (run.phase === 'unconfirmed') {
        // The start may still arrive; after a stop the worker rejects it.
        this.stop(run.task, run.run);
      } else if (run.phase !== 'stopping' || run.isStopConfirmed || run.isListed) {
        this.removeRun(key);
        this.options.listener.onRunLost(this, run);
      }
    }
  }

  /** Reports all runs as lost once the lease has certainly expired, after which nothing runs on the worker. */
  private loseExpiredRuns(): void {
    if (this.nowMs() < this.lease.expiredAtMs() || this.runs.size === 0) return;
    this.options.listener.onLeaseExpired(this, this.activeRuns());
    for (const [key, run] of this.runs) {
      this.removeRun(key);
      this.options.listener.onRunLost(this, run);
    }
  }
}
