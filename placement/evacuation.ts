/** Moves lasting tasks off workers that leave or take no further tasks, within the step's availability budget. */
import type { StepDefinition, TaskId } from '../scheduling/job_definition';
import type { PlacementState, RecordedRun } from './placement_state';
import type { WorkerFleet } from './worker_fleet';

/** Progress that a lasting task reports when it is at work. */
const READY_PERCENT = 100;

/** How long a lasting task has to be at work before its siblings may be stopped, in milliseconds. */
const MIN_READY_MS = 300;

export interface EvacuationOptions {
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly nowMs: number;
}

/** Stops those lasting tasks on the given workers that may be away now. */
export function evacuate(workerIds: Iterable<string>, options: EvacuationOptions): void {
  for (const workerId of workerIds) {
    const session = options.fleet.get(workerId);
    if (session === undefined) continue;
    for (const run of options.state.runsOn(workerId)) {
      const step = run.record.step(run.task.step);
      const isMovable = step.isLongRunning && session.findRun(run.task, run.run)?.phase === 'running';
      // What runs on a draining worker ends soon anyway, so that stopping it costs no availability.
      const mayStop = session.entry.state === 'draining' || mayBeUnavailable(run, step, options);
      if (isMovable && mayStop) session.stop(run.task, run.run);
    }
  }
}

/** Whether a task may be stopped without exceeding the number of tasks of its step that may be unavailable. */
export function mayBeUnavailable(
  run: RecordedRun,
  step: StepDefinition,
  options: EvacuationOptions,
): boolean {
  if (step.maxUnavailable === null) return true;
  const { occurrence, step: number, index } = run.task;
  let away = 0;
  for (let other = 0; other < step.taskCount; other += 1) {
    if (other === index) continue;
    if (!isReady({ ...run.task, occurrence, step: number, index: other }, run, options)) away += 1;
  }
  return away < step.maxUnavailable;
}

function isReady(task: TaskId, { record }: RecordedRun, { fleet, nowMs }: EvacuationOptions): boolean {
  return record.task(task).runs.some(({ run, workerId }) => {
    const session = fleet.get(workerId);
    const seen = session?.findRun(task, run);
    if (session?.isReachable() !== true || seen?.phase !== 'running') return false;
    return seen.progressPercent >= READY_PERCENT && nowMs - seen.progressAtMs >= MIN_READY_MS;
  });
}
