/**
 * Upper bounds of the stored size of a job's progress, which is one row. They are computed
 * while the job runs, so that it starts no more tasks at once than its row can hold.
 */
import type { StepDefinition } from './job_definition';
import type { TaskProgress } from './job_progress';

/** Maximum size of the encoded progress of a job, in bytes; the store accepts slightly more. */
export const MAX_PROGRESS_BYTES = 45_000;

/** Up to this size, tasks that have not been started before are started, in bytes. */
export const MAX_OPEN_BYTES = 41_000;

/** Up to this size of what is kept for whole steps, further occurrences begin, in bytes. */
export const MAX_STEP_BYTES = 6_000;

/** Size of a task's entry without its checkpoint and its runs, in bytes. */
const TASK_BYTES = 48;

/** Size of a run without its worker's id, in bytes. */
const RUN_BYTES = 28;

/** Size of the crash counts of a task, in bytes. */
const CRASH_BYTES = 36;

/** Number of tasks of which the evidence from crashes is stored; that of others is lost with a takeover. */
export const MAX_STORED_EVIDENCE = 40;

/** Size of the evidence from crashes of a task, in bytes. */
const EVIDENCE_BYTES = 40;

/** Size of a step with done tasks, without a bit for each task, in bytes. */
const STEP_BYTES = 18;

/** Size of the key of a done step, or of a range of done occurrences, in bytes. */
export const DONE_BYTES = 16;

/** Size of a task's entry with one run on a worker with a common id, in bytes. */
export const NEW_TASK_BYTES = 136;

/**
 * Maximum number of tasks that have to run at the same time: the members of a gang, or all
 * tasks of a long-running job. More do not fit into the row together.
 */
export const MAX_TASKS_TOGETHER = 300;

/** Size of a task's entry, in bytes; a done task without runs is only a bit of its step. */
export function taskBytes({ isDone, runs, checkpoint }: TaskProgress): number {
  if (isDone && runs.length === 0) return 0;
  const runBytes = runs.reduce((sum, { workerId }) => sum + RUN_BYTES + workerId.length, 0);
  const checkpointBytes = checkpoint === '' ? 0 : Buffer.byteLength(JSON.stringify(checkpoint));
  // A task that waits will have a run again.
  return Math.max(NEW_TASK_BYTES, TASK_BYTES + runBytes) + checkpointBytes;
}

/** Upper bound of {@link stepBytes} for the largest step that is accepted. */
export const MAX_DONE_TASKS_BYTES = 520;

/** Size of what is kept for the done tasks of a step, in bytes. */
export function stepBytes({ taskCount }: StepDefinition): number {
  return STEP_BYTES + Math.ceil(taskCount / 4);
}

/** Size of what is kept for crashes under a number of tasks, in bytes. */
export function crashBytes(taskCount: number): number {
  return taskCount * CRASH_BYTES + Math.min(taskCount, MAX_STORED_EVIDENCE) * EVIDENCE_BYTES;
}
