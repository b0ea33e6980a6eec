/** A crash of a worker, as its fleet reports it. */
import type { TaskRun } from '../scheduling/job_record';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { WorkerSession } from './worker_session';

/**
 * How a crash was noticed. `restarted`: another incarnation runs under the worker's id.
 * `instance_stopped`: the platform lists its instance as down, or with another worker.
 * `takeover`: runs are recorded on an incarnation that had ended before its session began.
 */
export type CrashSign = 'restarted' | 'instance_stopped' | 'takeover';

export interface WorkerCrash {
  readonly sign: CrashSign;
  /** The entry of the incarnation that crashed; of its successor if there was no session. */
  readonly entry: WorkerEntry;
  /** The closed session with the incarnation that crashed; `null` if there was none. */
  readonly session: WorkerSession | null;
  /** The recorded runs that are lost. */
  readonly runs: readonly TaskRun[];
}
