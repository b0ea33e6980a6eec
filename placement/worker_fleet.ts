/** Sessions with all registered workers. */
import type { Clock } from '../kernel/clock';
import type { RunResult, TaskRun } from '../scheduling/job_record';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { WorkerGateway } from '../scheduling/worker_gateway';
import type { LeaseEndKeeper } from './lease_end_keeper';
import type { LostRunLog, LostRunReason } from './lost_run_log';
import { SessionListener } from './session_listener';
import type { CrashSign, WorkerCrash } from './worker_crash';
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
  /** Runs that are recorded for a worker. */
  readonly recordedRuns: (workerId: string) => readonly TaskRun[];
  /** Called when a worker has crashed, before its runs are reported as lost. */
  readonly onCrash: (crash: WorkerCrash) => void;
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
    else if (session.entry.startedAtMs === entry.startedAtMs && session.worker.address === entry.address)
      this.updateEntry(session, entry);
    else this.replace(session, entry);
  }

  /**
   * Closes the session of an incarnation that no longer exists and reports its runs as
   * lost; `sign` is `null` if the incarnation was stopped as planned.
   */
  remove(session: WorkerSession, sign: CrashSign | null = 'restarted'): void {
    const { workerId } = session.worker;
    if (this.sessions.get(workerId) !== session) return;
    this.deleteSession(session);
    session.close();
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
      session?.close();
      if (session !== undefined) this.deleteSession(session);
      this.unlisted.delete(workerId);
    }
  }

  close(): void {
    for (const session of this.sessions.values()) session.close();
    this.sessions.clear();
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

  private updateEntry(session: WorkerSession, entry: WorkerEntry): void {
    this.deleteSession(session);
    session.update(entry);
    this.addSession(session);
  }

  /** Opens a session; `replaced` is the closed one with an earlier incarnation. */
  private open(entry: WorkerEntry, replaced: WorkerSession | null = null): void {
    const { clock, gateway, listener, fencingToken, maxLeaseMs, mayAct, leaseEnds } = this.options;
    const { workerId, startedAtMs } = entry;
    const runs = this.options.recordedRuns(workerId);
    const isOfIncarnation = (run: TaskRun): boolean =>
      entry.startedAtMs === 0 || run.workerStartedAtMs === entry.startedAtMs;
    const session = new WorkerSession({
      clock,
      gateway,
      listener,
      fencingToken,
      maxLeaseMs,
      mayAct,
      entry,
      inherited: runs.filter(isOfIncarnation),
      knownLeaseEndMs: leaseEnds.endOf(workerId, startedAtMs),
      mayRequestLease: () => leaseEnds.mayRequest(workerId),
      onLeaseWithheld: () => {
        leaseEnds.release(workerId);
      },
    });
    this.addSession(session);
    // The runs of earlier incarnations under this id no longer exist.
    const lost = runs.filter((run) => !isOfIncarnation(run));
    const sign = replaced === null ? 'takeover' : 'restarted';
    this.reportCrash({ sign, entry: replaced?.entry ?? entry, session: replaced, runs: lost });
    this.reportLostRuns(lost, 'replaced by another incarnation');
    void session.run();
  }

  private replace(session: WorkerSession, entry: WorkerEntry): void {
    this.deleteSession(session);
    session.close();
    this.open(entry, session);
  }

  private reportCrash(crash: WorkerCrash): void {
    if (crash.runs.length > 0) this.options.onCrash(crash);
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
