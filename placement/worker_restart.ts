/** Decides which runs a restarted worker may still have. */
import type { RunRecord } from '../scheduling/job_progress';
import type { TaskRun } from '../scheduling/job_record';
import type { SessionRun } from './session_run';
import type { CrashSign } from './worker_crash';
import type { InheritedRun, WorkerSession } from './worker_session';

/** Runs that are recorded for a worker when a session with one of its incarnations begins. */
export interface RunsAtRestart {
  /** Runs that the incarnation may have; its first report shows which. */
  readonly inherited: readonly InheritedRun[];
  /** Runs that have ended with an earlier incarnation. */
  readonly ended: readonly TaskRun[];
  /** Runs whose start was not sent. */
  readonly notSent: readonly TaskRun[];
}

/**
 * A restart whose lost runs are not all known yet. They are reported together, since the
 * causes of a crash are judged by comparing them.
 */
export interface PendingRestart {
  readonly sign: CrashSign;
  /** The closed session with the earlier incarnation; `null` if this leader had none. */
  readonly replaced: WorkerSession | null;
  readonly ended: readonly TaskRun[];
  /** When the earlier incarnation stopped to respond, or else when the restart was noticed. */
  readonly unreachableSinceMs: number;
  /** Runs that were started on an earlier incarnation unless the first report lists them. */
  readonly inDoubt: readonly TaskRun[];
}

/**
 * Sorts the recorded runs of a worker. The incarnation that a record names is the one that
 * the leader knew when it sent the start: a worker that restarts keeps its id, so that a
 * later incarnation may have accepted it. Only a run that an incarnation has listed
 * certainly ends with it.
 *
 * @example
 * ```ts
 * const { inherited, ended } = runsAtRestart(recorded, closedSession, true);
 * ```
 *
 * @param replaced the closed session with another incarnation, if there was one
 * @param isLater whether the new incarnation has certainly started after that one
 */
export function runsAtRestart(
  recorded: readonly TaskRun[],
  replaced: WorkerSession | null,
  isLater: boolean,
): RunsAtRestart {
  if (replaced === null)
    return { inherited: recorded.map((run) => inherit(run, null)), ended: [], notSent: [] };
  const inherited: InheritedRun[] = [];
  const ended: TaskRun[] = [];
  const notSent: TaskRun[] = [];
  for (const run of recorded) {
    const observed = replaced.findRun(run.task, run.run);
    if (observed === undefined) notSent.push(run);
    else if (isLater && observed.isListed) ended.push(run);
    else inherited.push(inherit(run, observed));
  }
  return { inherited, ended, notSent };
}

/** Whether a run may be of another incarnation than the one that started at a time. */
export function isOfOtherIncarnation({ workerStartedAtMs }: RunRecord, startedAtMs: number): boolean {
  return workerStartedAtMs !== startedAtMs;
}

function inherit({ task, run }: TaskRun, observed: SessionRun | null): InheritedRun {
  const isUnconfirmed = observed?.phase === 'starting' || observed?.phase === 'unconfirmed';
  return { task, run, phase: isUnconfirmed ? 'unconfirmed' : 'inherited' };
}
