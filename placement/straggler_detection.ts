/** Finds runs that are stuck or unusually slow. */
import type { PlacementState, RecordedRun } from './placement_state';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/**
 * A run without progress for this long may be stuck, in milliseconds; progress is
 * reported at least every 1.5 s.
 */
const STUCK_MS = 2_500;

/** A stuck run is replaced only once it has also taken this many times its expected time. */
const MAX_OVERRUN = 2;

/** A speculative copy of a task is started once its first run has taken this many times its expected time. */
const SPECULATE_OVERRUN = 1.5;

/** Added to both limits, in milliseconds: start-up time and the delay of progress reports. */
const OVERRUN_MARGIN_MS = 300;

/** Whether a run that is not long-running should be stopped and started on another worker. */
export function isStuck(
  run: RecordedRun,
  observed: SessionRun,
  state: PlacementState,
  nowMs: number,
): boolean {
  const step = run.record.step(run.task.step);
  if (observed.phase !== 'running' || observed.startedAtMs === null || step.isLongRunning || step.isGang)
    return false;
  if (nowMs - observed.progressAtMs < STUCK_MS) return false;
  return nowMs - observed.startedAtMs > MAX_OVERRUN * expectedMs(run, state) + OVERRUN_MARGIN_MS;
}

/** Whether a speculative copy of a task should be started. */
export function needsSpeculativeCopy(
  run: RecordedRun,
  observed: SessionRun,
  state: PlacementState,
  nowMs: number,
): boolean {
  const step = run.record.step(run.task.step);
  if (!step.isSpeculative || step.isLongRunning || step.isGang) return false;
  if (observed.phase !== 'running' || observed.startedAtMs === null) return false;
  if (run.record.task(run.task).runs.length > 1) return false;
  return nowMs - observed.startedAtMs > SPECULATE_OVERRUN * expectedMs(run, state) + OVERRUN_MARGIN_MS;
}

function expectedMs({ record, task }: RecordedRun, state: PlacementState): number {
  return state.estimator.expectedMs(record.job.queueId, record.step(task.step).estimateMs);
}

/** The recorded runs of a worker that its session tracks, each with what the session has observed. */
export function observedRuns(
  session: WorkerSession,
  state: PlacementState,
): readonly (readonly [RecordedRun, SessionRun])[] {
  const found: (readonly [RecordedRun, SessionRun])[] = [];
  for (const run of state.runsOn(session.worker.workerId)) {
    const observed = session.findRunByKey(run.key);
    if (observed !== undefined) found.push([run, observed]);
  }
  return found;
}
