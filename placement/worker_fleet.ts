/** Sessions with all registered workers. */
import type { Clock } from '../kernel/clock';
import type { RunResult, TaskRun } from '../scheduling/job_record';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { WorkerGateway } from '../scheduling/worker_gateway';
import type { LeaseEndKeeper } from './lease_end_keeper';
import type { LostRunLog, LostRunReason } from './lost_run_log';
import type { SessionListener } from './session_listener';
import { runKey, type SessionRun } from './session_run';
import type { CrashSign, WorkerCrash } from './worker_crash';
import { isOfOtherIncarnation, runsAtRestart, type PendingRestart } from './worker_restart';
import { WorkerSession } from './worker_session';

/**
 * The registry entry of a stopped worker is ignored for this long, in
 * milliseconds. The entry of a stopped worker is removed after three missed
 * heartbeats of 1.5 s, so an entry that is still present after this time belongs to
 * a live worker.
 */
const IGNORE_ENTRY_MS = 6_000;

export interface WorkerFleetOptions {
  readonly clock: Clock;
  readonly gateway: WorkerGateway;
  readonly listener: SessionListener;
  readonly fencingToken: number;
  readonly maxLeaseMs: number;
  /** Whether the leader may act; see {@link WorkerSession}. */
  readonly mayAct: () => boolean;
  readonly uncertainForMs: () => number;
  /** Runs that are recorded for a worker. */
  readonly recordedRuns: (workerId: string) => readonly TaskRun[];
  /** Called when a worker has crashed, before its runs are reported as lost. */
  readonly onCrash: (crash: WorkerCrash) => void;
  /** Called when another incarnation of a worker has replaced the known one. */
  readonly onIncarnationReplaced: (workerId: string) => void;
  /** Called when a run no longer exists and its outcome will never be known. */
  readonly onRunLost: (result: RunResult) => void;
  readonly lostRunLog: LostRunLog;
  readonly leaseEnds: LeaseEndKeeper;
}

export class WorkerFleet {
  private readonly sessions = new Map<string, WorkerSession>();
  private readonly sessionsByInstance = new SessionIndex(({ instanceId }) => instanceId);
  private readonly sessionsByPool = new SessionIndex(({ poolId }) => poolId);
  /** Workers whose registry entry is missing while their session still has runs. */
  private readonly unlisted = new Set<string>();
  /** Sessions whose first report decides which runs were lost with an earlier incarnation. */
  private readonly pendingRestarts = new Map<WorkerSession, PendingRestart>();
  /** Incarnations that have stopped although their entry may still be listed, by worker. */
  private readonly retired = new Map<
    string,
    { readonly startedAtMs: number; readonly ignoredUntilMs: number }
  >();

  constructor(private readonly options: WorkerFleetOptions) {}

  get(workerId: string): WorkerSession | undefined {
    return this.sessions.get(workerId);
  }

  all(): Iterable<WorkerSession> {
    return this.sessions.values();
  }

  /** Sessions with the known workers of an instance. */
  onInstance(instanceId: string): readonly WorkerSession[] {
    return this.sessionsByInstance.find(instanceId);
  }

  /** Sessions with the workers of a pool. */
  inPool(poolId: string): readonly WorkerSession[] {
    return this.sessionsByPool.find(poolId);
  }

  /** Since when calls to a worker have failed; a restart counts until its lost runs are reported. */
  unreachableSinceMs(session: WorkerSession): number | null {
    return this.pendingRestarts.get(session)?.unreachableSinceMs ?? session.unreachableSinceMs();
  }

  isListed(workerId: string): boolean {
    return this.sessions.has(workerId) && !this.unlisted.has(workerId);
  }

  /** Applies the current registry entry of a worker; `null` if the entry is missing or unusable. */
  update(workerId: string, entry: WorkerEntry | null): void {
    const session = this.sessions.get(workerId);
    if (entry === null) {
      if (session !== undefined) this.unlisted.add(workerId);
      return;
    }
    if (this.isRetired(entry)) return;
    this.unlisted.delete(workerId);
    if (session === undefined) this.open(entry);
    else if (isSameIncarnation(session.entry, entry)) this.updateEntry(session, entry);
    else this.replace(session, entry, entry.startedAtMs > session.entry.startedAtMs);
  }

  /** Opens a session with a worker that has no registry entry and may have runs, by its last known entry. */
  openUnlisted(entry: WorkerEntry): void {
    if (this.sessions.has(entry.workerId)) return;
    this.open(entry);
    this.unlisted.add(entry.workerId);
  }

  /** Handles a response of a later incarnation, whose entry may not be stored yet. */
  restart(session: WorkerSession, startedAtMs: number): void {
    if (this.sessions.get(session.worker.workerId) !== session) return;
    this.replace(session, { ...session.entry, startedAtMs }, true);
  }

  /** Handles the first report of an incarnation; `unlisted` are the runs that it does not list. */
  handleFirstReport(session: WorkerSession, unlisted: readonly SessionRun[]): void {
    const restart = this.pendingRestarts.get(session);
    if (restart === undefined) return;
    const unlistedKeys = new Set(unlisted.map(runKey));
    const missing = restart.inDoubt.filter((run) => unlistedKeys.has(runKey(run)));
    this.settleRestart(session, restart, missing);
  }

  /** Reports the runs that a restart has certainly ended where the new incarnation does not respond. */
  settleUnreachableRestarts(): void {
    for (const [session, restart] of this.pendingRestarts)
      if (session.unreachableSinceMs() !== null) this.settleRestart(session, restart, []);
  }

  /**
   * Closes the session of an incarnation that no longer exists and reports its runs as
   * lost; `sign` is `null` if the incarnation was stopped as planned.
   */
  remove(session: WorkerSession, sign: CrashSign | null = 'restarted'): void {
    const { workerId } = session.worker;
    if (this.sessions.get(workerId) !== session) return;
    this.closeSession(session);
    const runs = this.options.recordedRuns(workerId);
    if (sign !== null) this.reportCrash({ sign, entry: session.entry, session, runs });
    this.reportLostRuns(
      runs,
      sign === 'restarted' ? 'replaced by another incarnation' : 'stopped according to the platform',
    );
  }

  /**
   * Closes the session of an incarnation that has certainly stopped and ignores its entry
   * from now on; `sign` is `null` if it was stopped as planned.
   */
  retire(session: WorkerSession, sign: CrashSign | null): void {
    const ignoredUntilMs = this.options.clock.monotonicMs() + IGNORE_ENTRY_MS;
    this.retired.set(session.worker.workerId, { startedAtMs: session.entry.startedAtMs, ignoredUntilMs });
    this.remove(session, sign);
  }

  private isRetired({ workerId, startedAtMs }: WorkerEntry): boolean {
    const retired = this.retired.get(workerId);
    if (retired === undefined) return false;
    if (retired.startedAtMs === startedAtMs && this.options.clock.monotonicMs() < retired.ignoredUntilMs)
      return true;
    this.retired.delete(workerId);
    return false;
  }

  /** Closes sessions with workers that are no longer registered and have no runs. */
  closeIdleSessions(): void {
    for (const workerId of this.unlisted) {
      const session = this.sessions.get(workerId);
      if (session !== undefined && session.runCount() > 0) continue;
      if (session !== undefined) this.closeSession(session);
      this.unlisted.delete(workerId);
    }
  }

  close(): void {
    for (const session of this.sessions.values()) session.close();
    this.sessions.clear();
    this.pendingRestarts.clear();
    this.sessionsByInstance.clear();
    this.sessionsByPool.clear();
  }

  private addSession(session: WorkerSession): void {
    this.sessions.set(session.worker.workerId, session);
    this.sessionsByInstance.add(session);
    this.sessionsByPool.add(session);
  }

  private deleteSession(session: WorkerSession): void {
    this.sessions.delete(session.worker.workerId);
    this.sessionsByInstance.remove(session);
    this.sessionsByPool.remove(session);
  }

  private closeSession(session: WorkerSession): void {
    this.deleteSession(session);
    session.close();
    const restart = this.pendingRestarts.get(session);
    if (restart !== undefined) this.settleRestart(session, restart, []);
  }

  private updateEntry(session: WorkerSession, entry: WorkerEntry): void {
    this.deleteSession(session);
    session.update({ ...entry, startedAtMs: entry.startedAtMs || session.entry.startedAtMs });
    this.addSession(session);
  }

  /**
   * Opens a session; `replaced` is the closed one with another incarnation, which `isLater`
   * says has certainly ended.
   */
  private open(entry: WorkerEntry, replaced: WorkerSession | null = null, isLater = false): void {
    const { clock, gateway, listener, fencingToken, maxLeaseMs, leaseEnds } = this.options;
    const { mayAct, uncertainForMs } = this.options;
    const { workerId, startedAtMs } = entry;
    const recorded = this.options.recordedRuns(workerId);
    const { inherited, ended, notSent } = runsAtRestart(recorded, replaced, isLater);
    const session = new WorkerSession({
      clock,
      gateway,
      listener,
      fencingToken,
      maxLeaseMs,
      mayAct,
      uncertainForMs,
      entry,
      inherited,
      knownLeaseEndMs: leaseEnds.endOf(workerId, startedAtMs),
      mayRequestLease: () => leaseEnds.mayRequest(workerId),
      onLeaseWithheld: () => {
        leaseEnds.release(workerId);
      },
    });
    this.addSession(session);
    for (const { task, run, phase } of replaced?.activeRuns() ?? [])
      if (phase === 'stopping') session.stop(task, run);
    const inheritedKeys = new Set(inherited.map(runKey));
    const inDoubt = recorded.filter(
      (run) =>
        inheritedKeys.has(runKey(run)) && (replaced !== null || isOfOtherIncarnation(run, startedAtMs)),
    );
    const restart = {
      sign: replaced === null ? 'takeover' : 'restarted',
      replaced,
      unreachableSinceMs: replaced?.unreachableSinceMs() ?? clock.monotonicMs(),
      ended,
      inDoubt,
    } as const;
    if (inDoubt.length > 0) this.pendingRestarts.set(session, restart);
    else this.settleRestart(session, restart, []);
    this.reportLostRuns(notSent, 'replaced by another incarnation');
    void session.run();
  }

  private replace(session: WorkerSession, entry: WorkerEntry, isLater: boolean): void {
    this.closeSession(session);
    this.options.onIncarnationReplaced(entry.workerId);
    this.open(entry, session, isLater);
  }

  /** Reports what a restart has ended; the session reports those that are `missing` as lost itself. */
  private settleRestart(
    session: WorkerSession,
    { sign, replaced, ended }: PendingRestart,
    missing: readonly TaskRun[],
  ): void {
    this.pendingRestarts.delete(session);
    const entry = replaced?.entry ?? session.entry;
    this.reportCrash({ sign, entry, session: replaced, runs: [...ended, ...missing] });
    this.reportLostRuns(ended, 'replaced by another incarnation');
  }

  private reportCrash(crash: WorkerCrash): void {
    if (crash.runs.length > 0 || crash.session !== null) this.options.onCrash(crash);
  }

  private reportLostRuns(runs: readonly TaskRun[], reason: LostRunReason): void {
    for (const workerId of new Set(runs.map((run) => run.workerId)))
      this.options.lostRunLog.record(
        workerId,
        reason,
        runs.filter((run) => run.workerId === workerId),
      );
    for (const { task, run, workerId } of runs) {
      this.options.onRunLost({ task, run, workerId, outcome: 'lost', checkpoint: '' });
    }
  }
}

/** Whether two entries may be of one incarnation; the start is 0 in an entry that does not contain it. */
function isSameIncarnation(known: WorkerEntry, entry: WorkerEntry): boolean {
  if (known.address !== entry.address) return false;
  return entry.startedAtMs === 0 || known.startedAtMs === 0 || known.startedAtMs === entry.startedAtMs;
}

/** Sessions by a property of their workers' entries. */
class SessionIndex {
  private readonly sessionsByKey = new Map<string, readonly WorkerSession[]>();

  constructor(private readonly keyOf: (entry: WorkerEntry) => string) {}

  find(key: string): readonly WorkerSession[] {
    return this.sessionsByKey.get(key) ?? [];
  }

  add(session: WorkerSession): void {
    const key = this.keyOf(session.entry);
    this.sessionsByKey.set(key, [...this.find(key), session]);
  }

  remove(session: WorkerSession): void {
    const key = this.keyOf(session.entry);
    const others = this.find(key).filter((other) => other !== session);
    if (others.length > 0) this.sessionsByKey.set(key, others);
    else this.sessionsByKey.delete(key);
  }

  clear(): void {
    this.sessionsByKey.clear();
  }
}
