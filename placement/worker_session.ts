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
import { isSettling, newSessionRun, runKey, type NewRun, type SessionRun } from './session_run';
import { WorkerLease } from './worker_lease';

/** How long a lease call waits for an end, in milliseconds. */
const LEASE_WAIT_MS = 1_500;

/** Where load or the start of lasting tasks has to be known soon, a lease call waits only this long, in milliseconds. */
const CLOSE_WATCH_MS = 300;

/** While it is open whether a run exists, a lease call waits only this long, in milliseconds. */
const SETTLE_WAIT_MS = 40;

/** Longest wait for the record of an end before the next lease call, in milliseconds. */
const RECORD_WAIT_MS = 600;

/** Pause after a failed lease call, in milliseconds. */
const RETRY_MS = 250;

/** Ends that one answer names at most; a fuller one does not show what is missing. */
const MAX_ENDS = 500;

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
  private current: WorkerEntry;
  private readonly runs = new Map<string, SessionRun>();
  private readonly lease: WorkerLease;
  private isFenced = false;
  private isClosed = false;
  private failures = 0;
  private lastHeardEnd = 0;
  private recordedEnd = 0;
  private acknowledgedEndNumber = 0;
  /** Runs here that no record names; they occupy room that the holder does not count. */
  private readonly strangers = new Set<string>();
  private wakeUp: (() => void) | null = null;
  private failingSinceMs: number | null = null;
  private isWatchedClosely = false;

  constructor(private readonly options: WorkerSessionOptions) {
    const { entry, inherited, clock, maxLeaseMs } = options;
    this.current = entry;
    this.worker = { workerId: entry.workerId, address: entry.address };
    this.lease = new WorkerLease({ maxLeaseMs, nowMs: clock.monotonicMs() });
    for (const { task, run } of inherited) this.track({ task, run, phase: 'inherited' });
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

  findRun(task: TaskId, run: number): SessionRun | undefined {
    return this.runs.get(runKey({ task, run }));
  }

  /** Asks for progress and load several times a second. */
  watchClosely(isWatched: boolean): void {
    this.isWatchedClosely = isWatched;
  }

  /** Whether new tasks may be sent here. */
  isUsable(): boolean {
    return (
      this.isFenced &&
      !this.isClosed &&
      this.failures === 0 &&
      this.current.state === 'ready' &&
      this.strangers.size === 0
    );
  }

  isReachable(): boolean {
    return this.isFenced && this.failures === 0;
  }

  /** Since when no call has been answered; `null` while the worker answers. */
  outOfContactSinceMs(): number | null {
    return this.failingSinceMs;
  }

  /** Unix time by the worker's clocks; `null` before it has answered. Independent of this machine's time of day. */
  unixMs(): number | null {
    const clockMs = this.lease.workerClockMs(this.options.clock.monotonicMs());
    return clockMs === null || this.current.startedAtMs === 0 ? null : this.current.startedAtMs + clockMs;
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
  start(order: NewRun): void {
    const run = this.track({ ...order, phase: 'starting' });
    void this.sendStart(order, run);
  }

  /** Orders the end of a run; it still occupies the worker until the end is heard. */
  stop(task: TaskId, runNumber: number): void {
    const run = this.findRun(task, runNumber);
    if (run === undefined || run.phase === 'stopping') return;
    this.change(run, { phase: 'stopping', sinceMs: this.nowMs(), isStopAnswered: false });
    void this.sendStop(task, runNumber);
  }

  /** Sets the part of its speed at which a run works. */
  pace(task: TaskId, runNumber: number, percent: number): void {
    const run = this.findRun(task, runNumber);
    if (run?.phase !== 'running' || run.pace === percent) return;
    this.change(run, { pace: percent });
    void this.sendPace(task, runNumber, percent);
  }

  /** Runs until {@link close}. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      if (this.isIdle()) await this.sleep(null);
      if (this.isOver()) return;
      const sentAtMs = this.nowMs();
      const isAnswered = await this.extend(sentAtMs);
      if (this.isOver()) return;
      if (!isAnswered) await this.sleep(RETRY_MS);
      else if (this.lastHeardEnd > this.recordedEnd) await this.sleep(RECORD_WAIT_MS);
    }
  }

  private isOver(): boolean {
    return this.isClosed;
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private isIdle(): boolean {
    return (
      this.isFenced &&
      this.runs.size === 0 &&
      this.acknowledgedEndNumber >= this.lastHeardEnd &&
      this.failures === 0
    );
  }

  private track(run: Pick<SessionRun, 'task' | 'run' | 'phase'>): SessionRun {
    const nowMs = this.nowMs();
    const tracked = newSessionRun(run, nowMs);
    this.runs.set(runKey(run), tracked);
    this.wake();
    return tracked;
  }

  private change(run: SessionRun, fields: Partial<SessionRun>): void {
    const key = runKey(run);
    const current = this.runs.get(key);
    if (current !== undefined) this.runs.set(key, { ...current, ...fields });
  }

  private remove(key: string): boolean {
    this.strangers.delete(key);
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

  private async sendStart(order: NewRun, run: SessionRun): Promise<void> {
    const { gateway, fencingToken, listener } = this.options;
    try {
      const reply = await gateway.start(this.worker, {
        ...order,
        fencingToken,
        leaseUntilMs: this.lease.request(this.nowMs()),
      });
      if (reply.clockMs !== null) this.lease.heard(reply.clockMs, this.nowMs());
      if (reply.rejection === 'fenced') listener.onFenced();
      else if (reply.rejection === null) this.markRunning(run);
      else this.reject(run, reply.rejection);
    } catch (error) {
      if (error instanceof WorkerNotReachedError) this.reject(run, 'not_reached');
      else if (error instanceof WorkerOutcomeUnknownError) this.markUnsure(run);
      else throw error;
    }
  }

  private markRunning(run: SessionRun): void {
    const current = this.runs.get(runKey(run));
    if (current?.phase !== 'starting') return;
    const nowMs = this.nowMs();
    this.change(run, { phase: 'running', sinceMs: nowMs, startedAtMs: nowMs, progressAtMs: nowMs });
  }

  private markUnsure(run: SessionRun): void {
    const current = this.runs.get(runKey(run));
    if (current?.phase === 'starting') this.change(run, { phase: 'unsure', sinceMs: this.nowMs() });
    this.noteFailure();
  }

  private reject(run: SessionRun, reason: Rejection | 'not_reached'): void {
    // No further tasks are sent until a lease call has been answered.
    if (reason === 'not_reached' || reason === 'unhealthy') this.noteFailure();
    if (!this.remove(runKey(run))) return;
    this.options.listener.onRejected(this, run, reason);
    if (reason === 'other_incarnation') this.options.listener.onReplaced(this);
  }

  private async sendStop(task: TaskId, run: number): Promise<void> {
    const { gateway, fencingToken, listener } = this.options;
    const key = runKey({ task, run });
    while (!this.isOver() && this.runs.has(key)) {
      if (!this.options.mayAct()) {
        await this.options.clock.delay(RETRY_MS);
        continue;
      }
      try {
        const reply = await gateway.stop(this.worker, { task, run, fencingToken });
        if (reply.rejection === 'fenced') listener.onFenced();
        if (reply.rejection === 'other_incarnation') listener.onReplaced(this);
        const current = this.runs.get(key);
        if (current !== undefined) this.change(current, { isStopAnswered: true, sinceMs: this.nowMs() });
        this.wake();
        return;
      } catch (error) {
        if (!(error instanceof WorkerNotReachedError || error instanceof WorkerOutcomeUnknownError))
          throw error;
        await this.options.clock.delay(RETRY_MS);
      }
    }
  }

  private async sendPace(task: TaskId, run: number, speedPercent: number): Promise<void> {
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
    if (current !== undefined) this.change(current, { pace: -1 });
  }

  /** One lease call. Returns whether it was answered by this incarnation. */
  private async extend(sentAtMs: number): Promise<boolean> {
    const { gateway, fencingToken } = this.options;
    const acknowledgedEndNumber = this.options.mayAct() ? this.recordedEnd : this.acknowledgedEndNumber;
    try {
      const reply = await gateway.renewLease(this.worker, {
        fencingToken,
        acknowledgedEndNumber,
        // Out of contact the lease is left to lapse, so that its end is known.
        leaseUntilMs: this.failures > 0 ? null : this.lease.request(sentAtMs),
        waitMs: this.waitMs(),
      });
      if (this.isOver()) return true;
      return this.take(reply, sentAtMs, acknowledgedEndNumber);
    } catch (error) {
      if (!(error instanceof WorkerNotReachedError || error instanceof WorkerOutcomeUnknownError))
        throw error;
      this.noteFailure();
      this.dropLapsed();
      return false;
    }
  }

  private noteFailure(): void {
    this.failures += 1;
    this.failingSinceMs ??= this.nowMs();
    this.wake();
  }

  private waitMs(): number {
    if (!this.isFenced || this.failures > 0 || this.runs.size === 0) return 0;
    if ([...this.runs.values()].some(isSettling)) return SETTLE_WAIT_MS;
    return this.isWatchedClosely ? CLOSE_WATCH_MS : LEASE_WAIT_MS;
  }

  private take(reply: LeaseResponse, sentAtMs: number, acknowledgedEndNumber: number): boolean {
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
      this.noteFailure();
      this.dropLapsed();
      return false;
    }
    if (reply.clockMs !== null) this.lease.heard(reply.clockMs, this.nowMs());
    this.failures = 0;
    this.failingSinceMs = null;
    this.acknowledgedEndNumber = Math.max(this.acknowledgedEndNumber, acknowledgedEndNumber);
    this.hearRunning(reply.running);
    this.hearEnds(reply.ended);
    if (reply.ended.length < MAX_ENDS) this.dropMissing(reply, sentAtMs);
    this.becomeReady();
    listener.onProgress(this, reply.running);
    return true;
  }

  private becomeReady(): void {
    if (this.isFenced) return;
    this.isFenced = true;
    this.options.listener.onReady(this);
  }

  private isOtherIncarnation({ workerStartedAtMs: startedAtMs }: LeaseResponse): boolean {
    return startedAtMs !== null && this.current.startedAtMs !== 0 && startedAtMs !== this.current.startedAtMs;
  }

  private hearRunning(running: readonly ActiveRun[]): void {
    const nowMs = this.nowMs();
    for (const seen of running) {
      const run = this.runs.get(runKey(seen));
      if (run === undefined) {
        this.stopUnknown(seen);
        continue;
      }
      const isFirst = run.startedAtMs === null;
      const phase = run.phase === 'stopping' ? 'stopping' : 'running';
      this.change(run, {
        phase,
        startedAtMs: run.startedAtMs ?? nowMs,
        sinceMs: run.phase === phase ? run.sinceMs : nowMs,
        percent: seen.progressPercent,
        progressAtMs: isFirst || seen.progressPercent > run.percent ? nowMs : run.progressAtMs,
        load: seen.load,
      });
    }
  }

  /** A run that no record names is stopped: a start that arrived late, or one of a job that is gone. */
  private stopUnknown({ task, run }: ActiveRun): void {
    if (!this.options.mayAct()) return;
    this.track({ task, run, phase: 'running' });
    this.strangers.add(runKey({ task, run }));
    this.stop(task, run);
  }

  private hearEnds(ended: readonly EndedRun[]): void {
    const fresh = ended.filter(({ number }) => number > this.lastHeardEnd);
    if (fresh.length === 0) return;
    this.lastHeardEnd = Math.max(...fresh.map(({ number }) => number));
    const heard = fresh.map((end) => ({
      ...end,
      startedAtMs: this.runs.get(runKey(end))?.startedAtMs ?? null,
    }));
    for (const end of fresh) this.remove(runKey(end));
    this.options.listener.onEnds(this, heard);
  }

  /** Settles runs that the worker names neither as running nor as ended. */
  private dropMissing({ running }: LeaseResponse, sentAtMs: number): void {
    const named = new Set(running.map(runKey));
    for (const [key, run] of this.runs) {
      if (named.has(key) || run.sinceMs >= sentAtMs) continue;
      if (run.phase === 'starting') continue;
      if (run.phase === 'unsure') {
        // The start may still arrive: a stop keeps it from taking effect.
        this.stop(run.task, run.run);
      } else if (run.phase !== 'stopping' || run.isStopAnswered) {
        this.remove(key);
        this.options.listener.onLost(this, run);
      }
    }
  }

  /** Without contact, everything on the worker has ended once its lease has surely lapsed. */
  private dropLapsed(): void {
    if (this.nowMs() < this.lease.lapsedAtMs()) return;
    for (const [key, run] of this.runs) {
      this.remove(key);
      this.options.listener.onLost(this, run);
    }
  }
}
