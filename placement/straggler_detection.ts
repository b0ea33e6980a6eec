/** Finds runs that make no progress where they are. */
import type { PlacementState, RecordedRun } from './placement_state';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/** A run without progress for this long is stuck, in milliseconds; progress is heard every 1.5 s at the latest. */
const STUCK_MS = 2_500;

/** A run may also take this many times its expected time before it is replaced. */
const MAX_OVERRUN = 2;

/** A copy of a task is started once its first run has taken this many times its expected time. */
const SPECULATE_OVERRUN = 1.5;

/** Added to both limits, in milliseconds: start-up and the delay of reports. */
const OVERRUN_MARGIN_MS = 300;

/** Whether a run that ends by itself should be stopped and started elsewhere. */
export function isStuck(run: RecordedRun, seen: SessionRun, state: PlacementState, nowMs: number): boolean {
  const step = run.record.step(run.task.step);
  if (seen.phase !== 'running' || seen.startedAtMs === null || step.isLongRunning || step.isGang)
    return false;
  if (nowMs - seen.progressAtMs < STUCK_MS) return false;
  return nowMs - seen.startedAtMs > MAX_OVERRUN * expectedMs(run, state) + OVERRUN_MARGIN_MS;
}

/** Whether another copy of a task may be worth its processors. */
export function needsSpeculativeCopy(
  run: RecordedRun,
  seen: SessionRun,
  state: PlacementState,
  nowMs: number,
): boolean {
  const step = run.record.step(run.task.step);
  if (!step.isSpeculative || step.isLongRunning || step.isGang) return false;
  if (seen.phase !== 'running' || seen.startedAtMs === null) return false;
  if (run.record.task(run.task).runs.length > 1) return false;
  return nowMs - seen.startedAtMs > SPECULATE_OVERRUN * expectedMs(run, state) + OVERRUN_MARGIN_MS;
}

function expectedMs({ record, task }: RecordedRun, state: PlacementState): number {
  return state.estimator.expectedMs(record.job.queueId, record.step(task.step).estimateMs);
}

/** The runs of a worker that are recorded and that its session knows. */
export function observedRuns(
  session: WorkerSession,
  state: PlacementState,
): readonly (readonly [RecordedRun, SessionRun])[] {
  return state.runsOn(session.worker.workerId).flatMap((run) => {
    const seen = session.findRun(run.task, run.run);
    return seen === undefined ? [] : [[run, seen] as const];
  });
}
