/** Sessions with all registered workers, and the runs of workers that are not registered. */
import type { Clock } from '../kernel/clock';
import type { RunResult, TaskRun } from '../scheduling/job_record';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { WorkerGateway } from '../scheduling/worker_gateway';
import { WorkerLease } from './worker_lease';
import { SessionListener } from './session_listener';
import { WorkerSession } from './worker_session';

/**
 * The entry of a worker that has ended is ignored for this long, in
 * milliseconds. Entries stay for three heartbeats of 1.5 s; one that is written
 * after that belongs to a worker that is alive.
 */
const IGNORE_ENTRY_MS = 6_000;

export interface WorkerFleetOptions {
  readonly clock: Clock;
  readonly gateway: WorkerGateway;
  readonly listener: SessionListener;
  readonly fencingToken: number;
  readonly maxLeaseMs: number;
  readonly mayAct: () => boolean;
  /** Runs that are recorded for a worker's incarnation when its session begins. */
  readonly recordedRuns: (workerId: string) => readonly TaskRun[];
  /** The run exists no more, and how it ended will not be known. */
  readonly onRunLost: (end: RunResult) => void;
}

export class WorkerFleet {
  private readonly sessions = new Map<string, WorkerSession>();
  /** Workers whose entry is missing while their session settles what runs there. */
  private readonly unlisted = new Set<string>();
  /** Incarnations that have ended although their entry may still be listed, by worker. */
  private readonly retired = new Map<string, { readonly bornMs: number; readonly untilMs: number }>();

  constructor(private readonly options: WorkerFleetOptions) {}

  get(workerId: string): WorkerSession | undefined {
    return this.sessions.get(workerId);
  }

  all(): Iterable<WorkerSession> {
    return this.sessions.values();
  }

  isListed(workerId: string): boolean {
    return this.sessions.has(workerId) && !this.unlisted.has(workerId);
  }

  /** Takes a worker's entry as it reads now; `null` when the entry is gone or names no usable worker. */
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
      session.update(entry);
    else this.replace(session, entry);
  }

  /** Ends a session whose incarnation is gone, and all that ran there. */
  remove(session: WorkerSession): void {
    const { workerId } = session.worker;
    if (this.sessions.get(workerId) !== session) return;
    this.sessions.delete(workerId);
    session.close();
    this.reportLostRuns(this.options.recordedRuns(workerId));
  }

  /** Ends a session whose incarnation has surely ended, and ignores its entry from now on. */
  retire(session: WorkerSession): void {
    const untilMs = this.options.clock.monotonicMs() + IGNORE_ENTRY_MS;
    this.retired.set(session.worker.workerId, { bornMs: session.entry.startedAtMs, untilMs });
    this.remove(session);
  }

  private isRetired({ workerId, startedAtMs }: WorkerEntry): boolean {
    const retired = this.retired.get(workerId);
    if (retired === undefined) return false;
    if (retired.bornMs === startedAtMs && this.options.clock.monotonicMs() < retired.untilMs) return true;
    this.retired.delete(workerId);
    return false;
  }

  /** Closes sessions with workers that are no longer registered and run nothing. */
  closeIdleSessions(): void {
    for (const workerId of this.unlisted) {
      const session = this.sessions.get(workerId);
      if (session !== undefined && session.activeRuns().length > 0) continue;
      session?.close();
      this.sessions.delete(workerId);
      this.unlisted.delete(workerId);
    }
  }

  /** Gives up runs whose worker is not registered, once their lease has surely lapsed. */
  expireOrphans(runs: readonly TaskRun[]): void {
    const { clock, maxLeaseMs } = this.options;
    const nowMs = clock.monotonicMs();
    const lease = new WorkerLease({ maxLeaseMs, nowMs });
    const orphans = runs.filter(({ workerId }) => !this.sessions.has(workerId));
    if (orphans.length === 0) return;
    clock.schedule(lease.expiredAtMs() - nowMs, () => {
      this.reportLostRuns(orphans.filter(({ workerId }) => !this.sessions.has(workerId)));
    });
  }

  close(): void {
    for (const session of this.sessions.values()) session.close();
    this.sessions.clear();
  }

  private open(entry: WorkerEntry): void {
    const { clock, gateway, listener, fencingToken, maxLeaseMs, mayAct } = this.options;
    const runs = this.options.recordedRuns(entry.workerId);
    const isThis = (run: TaskRun): boolean =>
      entry.startedAtMs === 0 || run.workerStartedAtMs === entry.startedAtMs;
    const session = new WorkerSession({
      clock,
      gateway,
      listener,
      fencingToken,
      maxLeaseMs,
      mayAct,
      entry,
      inherited: runs.filter(isThis),
    });
    this.sessions.set(entry.workerId, session);
    // An earlier incarnation under this id runs nothing any more.
    this.reportLostRuns(runs.filter((run) => !isThis(run)));
    void session.run();
  }

  private replace(session: WorkerSession, entry: WorkerEntry): void {
    this.sessions.delete(entry.workerId);
    session.close();
    this.open(entry);
  }

  private reportLostRuns(runs: readonly TaskRun[]): void {
    for (const { task, run, workerId } of runs) {
      this.options.onRunLost({ task, run, workerId, outcome: 'lost', checkpoint: '' });
    }
  }
}
