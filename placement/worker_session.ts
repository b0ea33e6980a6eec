/** The holder's dealings with one incarnation of a worker. */
import type { Clock } from '../kernel/clock';
import type { TaskId } from '../scheduling/job_definition';
import type { WorkerEntry } from '../scheduling/worker_entry';
import {
  WorkerNotReachedError,
  WorkerOutcomeUnknownError,
  type EndedRun,
  type LeaseResponse,
  type Rejection,
  type ActiveRun,
  type WorkerAddress,
  type WorkerGateway,
} from '../scheduling/worker_gateway';
import type { SessionListener } from './session_listener';
import { isUnresolved, newSessionRun, runKey, type StartRequest, type SessionRun } from './session_run';
import { WorkerLease } from './worker_lease';

/** How long a lease call waits for an end, in milliseconds. */
const LEASE_WAIT_MS = 1_500;

/** Where load or the start of lasting tasks has to be known soon, a lease call waits only this long, in milliseconds. */
const FREQUENT_POLL_WAIT_MS = 300;

/** While it is open whether a run exists, a lease call waits only this long, in milliseconds. */
const UNRESOLVED_WAIT_MS = 40;

/** Longest wait for the record of an end before the next lease call, in milliseconds. */
const RECORD_WAIT_MS = 600;

/** Pause after a failed lease call, in milliseconds. */
const RETRY_MS = 250;

/** Ends that one answer names at most; a fuller one does not show what is missing. */
const MAX_ENDED_RUNS = 500;

export interface WorkerSessionOptions {
  readonly clock: Clock;
  readonly gateway: WorkerGateway;
  readonly listener: SessionListener;
  readonly entry: WorkerEntry;
  readonly fencingToken: number;
  readonly maxLeaseMs: number;
  /** Whether the holder may act; without it leases are extended and nothing else is done. */
  readonly mayAct: () => boolean;
  readonly inherited: readonly { readonly task: TaskId; readonly run: number }[];
}

/**
 * Extends the lease of what runs on a worker, hears ends, and settles orders
 * that were not answered.
 *
 * @example
 * ```ts
 * const session = new WorkerSession(options);
 * void session.run();
 * ```
 */
export class WorkerSession {
  readonly worker: WorkerAddress;
  private currentEntry: WorkerEntry;
  private readonly runs = new Map<string, SessionRun>();
  private readonly lease: WorkerLease;
  private hasAcceptedToken = false;
  private isClosed = false;
  private failures = 0;
  private lastReportedEnd = 0;
  private recordedEnd = 0;
  private acknowledgedEndNumber = 0;
  /** Runs here that no record names; they occupy room that the holder does not count. */
  private readonly unrecordedRuns = new Set<string>();
  private wakeUp: (() => void) | null = null;
  private failingSinceMs: number | null = null;
  private isPolledFrequently = false;

  constructor(private readonly options: WorkerSessionOptions) {
    const { entry, inherited, clock, maxLeaseMs } = options;
    this.currentEntry = entry;
    this.worker = { workerId: entry.workerId, address: entry.address };
    this.lease = new WorkerLease({ maxLeaseMs, nowMs: clock.monotonicMs() });
    for (const { task, run } of inherited) this.addRun({ task, run, phase: 'inherited' });
  }

  get entry(): WorkerEntry {
    return this.currentEntry;
  }

  update(entry: WorkerEntry): void {
    this.currentEntry = entry;
  }

  activeRuns(): readonly SessionRun[] {
    return [...this.runs.values()];
  }

  findRun(task: TaskId, run: number): SessionRun | undefined {
    return this.runs.get(runKey({ task, run }));
  }

  /** Asks for progress and load several times a second. */
  pollFrequently(isWatched: boolean): void {
    this.isPolledFrequently = isWatched;
  }

  /** Whether new tasks may be sent here. */
  isUsable(): boolean {
    return (
      this.hasAcceptedToken &&
      !this.isClosed &&
      this.failures === 0 &&
      this.currentEntry.state === 'ready' &&
      this.unrecordedRuns.size === 0
    );
  }

  isReachable(): boolean {
    return this.hasAcceptedToken && this.failures === 0;
  }

  /** Since when no call has been answered; `null` while the worker answers. */
  unreachableSinceMs(): number | null {
    return this.failingSinceMs;
  }

  /** Unix time by the worker's clocks; `null` before it has answered. Independent of this machine's time of day. */
  unixMs(): number | null {
    const clockMs = this.lease.workerClockMs(this.options.clock.monotonicMs());
    return clockMs === null || this.currentEntry.startedAtMs === 0
      ? null
      : this.currentEntry.startedAtMs + clockMs;
  }

  /** Ends up to this number are recorded in the store and may be acknowledged. */
  markRecorded(endNumber: number): void {
    this.recordedEnd = Math.max(this.recordedEnd, endNumber);
    this.wake();
  }

  /** Ends the session; runs are not touched. */
  close(): void {
    this.isClosed = true;
    this.wake();
    this.options.gateway.disconnect(this.worker);
  }

  /** Sends a start that has been recorded. */
  start(order: StartRequest): void {
    const run = this.addRun({ ...order, phase: 'starting' });
    void this.sendStart(order, run);
  }

  /** Orders the end of a run; it still occupies the worker until the end is heard. */
  stop(task: TaskId, runNumber: number): void {
    const run = this.findRun(task, runNumber);
    if (run === undefined || run.phase === 'stopping') return;
    this.updateRun(run, { phase: 'stopping', sinceMs: this.nowMs(), isStopConfirmed: false });
    void this.sendStop(task, runNumber);
  }

  /** Sets the part of its speed at which a run works. */
  throttle(task: TaskId, runNumber: number, percent: number): void {
    const run = this.findRun(task, runNumber);
    if (run?.phase !== 'running' || run.speedPercent === percent) return;
    this.updateRun(run, { speedPercent: percent });
    void this.sendThrottle(task, runNumber, percent);
  }

  /** Runs until {@link close}. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      if (this.isIdle()) await this.sleep(null);
      if (this.hasClosed()) return;
      const sentAtMs = this.nowMs();
      const isAnswered = await this.renewLease(sentAtMs);
      if (this.hasClosed()) return;
      if (!isAnswered) await this.sleep(RETRY_MS);
      else if (this.lastReportedEnd > this.recordedEnd) await this.sleep(RECORD_WAIT_MS);
    }
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
      this.acknowledgedEndNumber >= this.lastReportedEnd &&
      this.failures === 0
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

  private async sendStart(order: StartRequest, run: SessionRun): Promise<void> {
    const { gateway, fencingToken, listener } = this.options;
    try {
      const reply = await gateway.start(this.worker, {
        ...order,
        fencingToken,
        leaseUntilMs: this.lease.requestUntilMs(this.nowMs()),
      });
      if (reply.clockMs !== null) this.lease.recordClock(reply.clockMs, this.nowMs());
      if (reply.rejection === 'fenced') listener.onFenced();
      else if (reply.rejection === null) this.markRunning(run);
      else this.handleRejection(run, reply.rejection);
    } catch (error) {
      if (error instanceof WorkerNotReachedError) this.handleRejection(run, 'not_reached');
      else if (error instanceof WorkerOutcomeUnknownError) this.markUnconfirmed(run);
      else throw error;
    }
  }

  private markRunning(run: SessionRun): void {
    const current = this.runs.get(runKey(run));
    if (current?.phase !== 'starting') return;
    const nowMs = this.nowMs();
    this.updateRun(run, { phase: 'running', sinceMs: nowMs, startedAtMs: nowMs, progressAtMs: nowMs });
  }

  private markUnconfirmed(run: SessionRun): void {
    const current = this.runs.get(runKey(run));
    if (current?.phase === 'starting') this.updateRun(run, { phase: 'unsure', sinceMs: this.nowMs() });
    this.recordFailure();
  }

  private handleRejection(run: SessionRun, reason: Rejection | 'not_reached'): void {
    // No further tasks are sent until a lease call has been answered.
    if (reason === 'not_reached' || reason === 'unhealthy') this.recordFailure();
    if (!this.removeRun(runKey(run))) return;
    this.options.listener.onStartRejected(this, run, reason);
    if (reason === 'other_incarnation') this.options.listener.onReplaced(this);
  }

  private async sendStop(task: TaskId, run: number): Promise<void> {
    const { gateway, fencingToken, listener } = this.options;
    const key = runKey({ task, run });
    while (!this.hasClosed() && this.runs.has(key)) {
      if (!this.options.mayAct()) {
        await this.options.clock.delay(RETRY_MS);
        continue;
      }
      try {
        const reply = await gateway.stop(this.worker, { task, run, fencingToken });
        if (reply.rejection === 'fenced') listener.onFenced();
        if (reply.rejection === 'other_incarnation') listener.onReplaced(this);
        const current = this.runs.get(key);
        if (current !== undefined) this.updateRun(current, { isStopConfirmed: true, sinceMs: this.nowMs() });
        this.wake();
        return;
      } catch (error) {
        if (!(error instanceof WorkerNotReachedError || error instanceof WorkerOutcomeUnknownError))
          throw error;
        await this.options.clock.delay(RETRY_MS);
      }
    }
  }

  private async sendThrottle(task: TaskId, run: number, speedPercent: number): Promise<void> {
    const { gateway, fencingToken, listener } = this.options;
    try {
      const reply = await gateway.throttle(this.worker, { task, run, speedPercent, fencingToken });
      if (reply.rejection === 'fenced') listener.onFenced();
      if (reply.rejection === null) return;
    } catch (error) {
      if (!(error instanceof WorkerNotReachedError || error instanceof WorkerOutcomeUnknownError))
        throw error;
    }
    // Not carried out, as far as known: the next look at the load sets it again.
    const current = this.runs.get(runKey({ task, run }));
    if (current !== undefined) this.updateRun(current, { speedPercent: -1 });
  }

  /** One lease call. Returns whether it was answered by this incarnation. */
  private async renewLease(sentAtMs: number): Promise<boolean> {
    const { gateway, fencingToken } = this.options;
    const acknowledgedEndNumber = this.options.mayAct() ? this.recordedEnd : this.acknowledgedEndNumber;
    try {
      const reply = await gateway.renewLease(this.worker, {
        fencingToken,
        acknowledgedEndNumber,
        // Out of contact the lease is left to lapse, so that its end is known.
        leaseUntilMs: this.failures > 0 ? null : this.lease.requestUntilMs(sentAtMs),
        waitMs: this.waitMs(),
      });
      if (this.hasClosed()) return true;
      return this.handleResponse(reply, sentAtMs, acknowledgedEndNumber);
    } catch (error) {
      if (!(error instanceof WorkerNotReachedError || error instanceof WorkerOutcomeUnknownError))
        throw error;
      this.recordFailure();
      this.loseExpiredRuns();
      return false;
    }
  }

  private recordFailure(): void {
    this.failures += 1;
    this.failingSinceMs ??= this.nowMs();
    this.wake();
  }

  private waitMs(): number {
    if (!this.hasAcceptedToken || this.failures > 0 || this.runs.size === 0) return 0;
    if ([...this.runs.values()].some(isUnresolved)) return UNRESOLVED_WAIT_MS;
    return this.isPolledFrequently ? FREQUENT_POLL_WAIT_MS : LEASE_WAIT_MS;
  }

  private handleResponse(reply: LeaseResponse, sentAtMs: number, acknowledgedEndNumber: number): boolean {
    const { listener } = this.options;
    if (reply.rejection === 'fenced') {
      listener.onFenced();
      return false;
    }
    if (reply.rejection === 'other_incarnation' || this.isOtherIncarnation(reply)) {
      listener.onReplaced(this);
      return false;
    }
    if (reply.rejection !== null) {
      this.recordFailure();
      this.loseExpiredRuns();
      return false;
    }
    if (reply.clockMs !== null) this.lease.recordClock(reply.clockMs, this.nowMs());
    this.failures = 0;
    this.failingSinceMs = null;
    this.acknowledgedEndNumber = Math.max(this.acknowledgedEndNumber, acknowledgedEndNumber);
    this.handleActiveRuns(reply.running);
    this.handleEndedRuns(reply.ended);
    if (reply.ended.length < MAX_ENDED_RUNS) this.resolveMissingRuns(reply, sentAtMs);
    this.markReady();
    listener.onProgress(this, reply.running);
    return true;
  }

  private markReady(): void {
    if (this.hasAcceptedToken) return;
    this.hasAcceptedToken = true;
    this.options.listener.onReady(this);
  }

  private isOtherIncarnation({ workerStartedAtMs: startedAtMs }: LeaseResponse): boolean {
    return (
      startedAtMs !== null &&
      this.currentEntry.startedAtMs !== 0 &&
      startedAtMs !== this.currentEntry.startedAtMs
    );
  }

  private handleActiveRuns(running: readonly ActiveRun[]): void {
    const nowMs = this.nowMs();
    for (const seen of running) {
      const run = this.runs.get(runKey(seen));
      if (run === undefined) {
        this.stopUnrecordedRun(seen);
        continue;
      }
      const isFirst = run.startedAtMs === null;
      const phase = run.phase === 'stopping' ? 'stopping' : 'running';
      this.updateRun(run, {
        phase,
        startedAtMs: run.startedAtMs ?? nowMs,
        sinceMs: run.phase === phase ? run.sinceMs : nowMs,
        progressPercent: seen.progressPercent,
        progressAtMs: isFirst || seen.progressPercent > run.progressPercent ? nowMs : run.progressAtMs,
        load: seen.load,
      });
    }
  }

  /** A run that no record names is stopped: a start that arrived late, or one of a job that is gone. */
  private stopUnrecordedRun({ task, run }: ActiveRun): void {
    if (!this.options.mayAct()) return;
    this.addRun({ task, run, phase: 'running' });
    this.unrecordedRuns.add(runKey({ task, run }));
    this.stop(task, run);
  }

  private handleEndedRuns(ended: readonly EndedRun[]): void {
    const fresh = ended.filter(({ number }) => number > this.lastReportedEnd);
    if (fresh.length === 0) return;
    this.lastReportedEnd = Math.max(...fresh.map(({ number }) => number));
    const heard = fresh.map((end) => ({
      ...end,
      startedAtMs: this.runs.get(runKey(end))?.startedAtMs ?? null,
    }));
    for (const end of fresh) this.removeRun(runKey(end));
    this.options.listener.onRunsEnded(this, heard);
  }

  /** Settles runs that the worker names neither as running nor as ended. */
  private resolveMissingRuns({ running }: LeaseResponse, sentAtMs: number): void {
    const named = new Set(running.map(runKey));
    for (const [key, run] of this.runs) {
      if (named.has(key) || run.sinceMs >= sentAtMs) continue;
      if (run.phase === 'starting') continue;
      if (run.phase === 'unsure') {
        // The start may still arrive: a stop keeps it from taking effect.
        this.stop(run.task, run.run);
      } else if (run.phase !== 'stopping' || run.isStopConfirmed) {
        this.removeRun(key);
        this.options.listener.onRunLost(this, run);
      }
    }
  }

  /** Without contact, everything on the worker has ended once its lease has surely lapsed. */
  private loseExpiredRuns(): void {
    if (this.nowMs() < this.lease.expiredAtMs()) return;
    for (const [key, run] of this.runs) {
      this.removeRun(key);
      this.options.listener.onRunLost(this, run);
    }
  }
}
