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

/** Why a stop has to be sent again. `no_effect`: it was confirmed, and the run is still listed. */
export type StopFailure = Rejection | 'no_effect';

/** Receives the events of worker sessions. */
export abstract class SessionListener {
  /** A worker rejected a command because a later leader has sent it a higher fencing token. */
  abstract onFenced(): void;
  /**
   * The incarnation has reported its runs for the first time; `unlisted` are the runs that
   * were started before and that it does not list, empty if the report is incomplete.
   */
  abstract onFirstReport(session: WorkerSession, unlisted: readonly SessionRun[]): void;
  /** The worker has accepted this leader's fencing token and reported its runs. */
  abstract onReady(session: WorkerSession): void;
  abstract onRunsEnded(session: WorkerSession, endedRuns: readonly ObservedEndedRun[]): void;
  /** A start was rejected, or not sent; the run does not exist. */
  abstract onStartRejected(session: WorkerSession, run: SessionRun, reason: StartFailure): void;
  /** A stop was rejected or had no effect; it is sent again. `attempt` counts from 1. */
  abstract onStopFailed(session: WorkerSession, run: SessionRun, reason: StopFailure, attempt: number): void;
  /** All runs of the worker count as ended because its lease has certainly expired; reported before each of them. */
  abstract onLeaseExpired(session: WorkerSession, runs: readonly SessionRun[]): void;
  /** The run no longer exists, and its outcome will never be known. */
  abstract onRunLost(session: WorkerSession, run: SessionRun): void;
  abstract onProgress(session: WorkerSession, activeRuns: readonly ActiveRun[]): void;
  /** A worker's report contains entries that cannot be decoded; called when their number changes. */
  abstract onUnusableEntries(session: WorkerSession, count: number): void;
  /**
   * A later incarnation responds under the worker's id. It may have accepted starts that were
   * meant for the earlier one. `startedAtMs` is 0 if the response does not contain it.
   */
  abstract onRestarted(session: WorkerSession, startedAtMs: number): void;
  /** Another worker responds at the address. */
  abstract onReplaced(session: WorkerSession): void;
}
