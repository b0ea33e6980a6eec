/** What a session with a worker tells its owner. */
import type { EndedRun, Rejection, ActiveRun } from '../scheduling/worker_gateway';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/** An end with when the run was first known to run, on the steady clock; `null` if it never was. */
export interface ObservedEndedRun extends EndedRun {
  readonly startedAtMs: number | null;
}

/** Learns what happens on workers. */
export abstract class SessionListener {
  abstract onFenced(): void;
  /** The worker is under this holder's token and has said what runs there. */
  abstract onReady(session: WorkerSession): void;
  abstract onRunsEnded(session: WorkerSession, ends: readonly ObservedEndedRun[]): void;
  /** A start was refused; the run does not exist. */
  abstract onStartRejected(session: WorkerSession, run: SessionRun, reason: Rejection | 'not_reached'): void;
  /** The run exists no more, and how it ended will not be known. */
  abstract onRunLost(session: WorkerSession, run: SessionRun): void;
  abstract onProgress(session: WorkerSession, running: readonly ActiveRun[]): void;
  /** Another incarnation has taken the place of this one. */
  abstract onReplaced(session: WorkerSession): void;
}
