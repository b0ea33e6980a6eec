/** Moves long-running tasks off workers that take no new tasks, within each step's limit of unavailable tasks. */
import type { StepDefinition, TaskId } from '../scheduling/job_definition';
import type { PlacementState, RecordedRun } from './placement_state';
import type { WorkerFleet } from './worker_fleet';

/** Progress that a long-running task reports once it is ready to serve. */
const READY_PERCENT = 100;

/**
 * How long a long-running task must have been ready before other tasks of its step may
 * be stopped, in milliseconds.
 */
const MIN_READY_MS = 300;

export interface EvacuationOptions {
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly nowMs: number;
  /** Asked last, for each task that is to be stopped; without it, room elsewhere is not looked for. */
  readonly claimRoom?: (run: RecordedRun) => boolean;
}

/**
 * Stops the long-running tasks on the given workers as far as their steps' limits of
 * unavailable tasks allow now.
 */
export function evacuate(workerIds: Iterable<string>, options: EvacuationOptions): void {
  for (const workerId of workerIds) {
    const session = options.fleet.get(workerId);
    if (session === undefined) continue;
    for (const run of options.state.runsOn(workerId)) {
      const step = run.record.step(run.task.step);
      const isMovable = step.isLongRunning && session.findRun(run.task, run.run)?.phase === 'running';
      // A draining worker stops its tasks soon anyway, so stopping them now costs no availability.
      const mayStop = session.entry.state === 'draining' || mayBeUnavailable(run, step, options);
      if (isMovable && mayStop && options.claimRoom?.(run) !== false) session.stop(run.task, run.run);
    }
  }
}

/** Whether a task may be stopped without exceeding its step's limit of unavailable tasks. */
export function mayBeUnavailable(
  run: RecordedRun,
  step: StepDefinition,
  options: EvacuationOptions,
): boolean {
  if (step.maxUnavailable === null) return true;
  const { occurrence, step: number, index } = run.task;
  let unavailable = 0;
  for (let other = 0; other < step.taskCount; other += 1) {
    if (other === index) continue;
    if (!isReady({ ...run.task, occurrence, step: number, index: other }, run, options)) unavailable += 1;
  }
  return unavailable < step.maxUnavailable;
}

function isReady(task: TaskId, { record }: RecordedRun, { fleet, nowMs }: EvacuationOptions): boolean {
  return record.task(task).runs.some(({ run, workerId }) => {
    const session = fleet.get(workerId);
    const observed = session?.findRun(task, run);
    if (session?.isReachable() !== true || observed?.phase !== 'running') return false;
    return observed.progressPercent >= READY_PERCENT && nowMs - observed.progressAtMs >= MIN_READY_MS;
  });
}
