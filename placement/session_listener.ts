/** Events that a worker session reports to its owner. */
import type { EndedRun, Rejection, ActiveRun } from '../scheduling/worker_gateway';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/**
 * An ended run with the time at which it was first observed to run, on the monotonic
 * clock; `null` if it never was.
 */
export interface ObservedEndedRun extends EndedRun {
  readonly startedAtMs: number | null;
}

/** Why a start did not take effect. `lease_withheld`: it would have requested a lease whose end is stored. */
export type StartFailure = Rejection | 'not_reached' | 'lease_withheld';

/** Receives the events of worker sessions. */
export abstract class SessionListener {
  /** A worker rejected a command because a later leader has sent it a higher fencing token. */
  abstract onFenced(): void;
  /** The worker has accepted this leader's fencing token and reported its runs. */
  abstract onReady(session: WorkerSession): void;
  abstract onRunsEnded(session: WorkerSession, endedRuns: readonly ObservedEndedRun[]): void;
  /** A start was rejected, or not sent; the run does not exist. */
  abstract onStartRejected(session: WorkerSession, run: SessionRun, reason: StartFailure): void;
  /** All runs of the worker count as ended because its lease has certainly expired; reported before each of them. */
  abstract onLeaseExpired(session: WorkerSession, runs: readonly SessionRun[]): void;
  /** The run no longer exists, and its outcome will never be known. */
  abstract onRunLost(session: WorkerSession, run: SessionRun): void;
  abstract onProgress(session: WorkerSession, activeRuns: readonly ActiveRun[]): void;
  /** A worker's report contains entries that cannot be decoded; called when their number changes. */
  abstract onUnusableEntries(session: WorkerSession, count: number): void;
  /** Another incarnation has replaced this one. */
  abstract onReplaced(session: WorkerSession): void;
}
