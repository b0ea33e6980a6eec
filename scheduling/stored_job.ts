/** Decodes stored jobs, and checks what the encoding alone does not ensure. */
import type { Resources } from '../model/resources';
import { occurrenceCount, type AcceptedJob, type JobDefinition, type StepDefinition } from './job_definition';
import type { JobProgress } from './job_progress';
import { decodeJob, encodeJob, RowFormatError } from './job_rows';
import { MAX_TASKS_TOGETHER } from './progress_size';
import { MAX_ROW_VALUE_BYTES } from '../store/row_store';

/**
 * Limits that prevent one job from exhausting a process. The largest known jobs
 * have a few dozen tasks per step.
 */
export const MAX_STEPS = 64;
export const MAX_TASKS = 2_000;
export const MAX_OCCURRENCES = 1_000;

/** A sum of this many amounts of a resource is finite. */
const MAX_AMOUNT = 2 ** 100;

const JOB_ID_PATTERN = /^[0-9a-zA-Z]{1,200}$/;
const TASK_KEY_PATTERN = /^(0|[1-9]\d{0,8})\.(0|[1-9]\d{0,8})\.(0|[1-9]\d{0,8})$/;

/**
 * Why a job cannot be kept within the limits of the store; `null` if it can. It would be
 * accepted and never end.
 *
 * @example
 * ```ts
 * unstorableReason(job); // 'The tasks of a gang are more than 300.'
 * ```
 */
export function unstorableReason(job: AcceptedJob): string | null {
  const { steps } = job.definition;
  const isLasting = steps.some(({ isLongRunning }) => isLongRunning);
  const taskCount = steps.reduce((sum, step) => sum + step.taskCount, 0) * occurrenceCount(job.definition);
  if (isLasting && taskCount > MAX_TASKS_TOGETHER)
    return `The tasks of a long-running job are more than ${MAX_TASKS_TOGETHER}.`;
  if (steps.some((step) => step.isGang && step.taskCount > MAX_TASKS_TOGETHER))
    return `The tasks of a gang are more than ${MAX_TASKS_TOGETHER}.`;
  const bytes = Buffer.byteLength(encodeJob(job));
  return bytes > MAX_ROW_VALUE_BYTES
    ? `The stored job has ${bytes} bytes, more than ${MAX_ROW_VALUE_BYTES}.`
    : null;
}

/**
 * Decodes the row of a job, whose progress, if there is some, has to belong to it. Throws
 * {@link RowFormatError} for rows that no process of this system writes: the leader's
 * loops over tasks and occurrences, and its look-ups of steps, rely on them.
 *
 * @example
 * ```ts
 * const job = decodeStoredJob(row.key, row.value, undefined);
 * ```
 */
export function decodeStoredJob(key: string, value: string, progress: JobProgress | undefined): AcceptedJob {
  const job = decodeJob(value);
  if (job.jobId !== key || !JOB_ID_PATTERN.test(key))
    throw new RowFormatError('The row is stored under a key that is not the id of its job.');
  checkDefinition(job.definition);
  if (progress !== undefined) checkProgress(progress, job.definition);
  return job;
}

function checkDefinition(definition: JobDefinition): void {
  const { steps } = definition;
  const occurrences = occurrenceCount(definition);
  const taskCount = steps.reduce((sum, step) => sum + step.taskCount, 0);
  if (occurrences < 1 || occurrences > MAX_OCCURRENCES)
    throw new RowFormatError('The number of occurrences is out of range.');
  if (steps.length < 1 || steps.length > MAX_STEPS || taskCount > MAX_TASKS)
    throw new RowFormatError('The number of steps or tasks is out of range.');
  if (!steps.every(isStep)) throw new RowFormatError('A step has a number that is out of range.');
}

function isStep({ taskCount, demand, after }: StepDefinition, stepIndex: number): boolean {
  return taskCount >= 1 && isDemand(demand) && after.every((step) => step >= 0 && step < stepIndex);
}

function isDemand({ processors, memoryBytes, accelerators }: Resources): boolean {
  return [processors, memoryBytes, accelerators].every((amount) => amount >= 0 && amount <= MAX_AMOUNT);
}

function checkProgress({ tasks, doneSteps, doneOccurrences }: JobProgress, definition: JobDefinition): void {
  for (const taskName of tasks.keys()) checkTask(taskName, definition);
  for (const stepName of doneSteps) checkTask(`${stepName}.0`, definition);
  const occurrences = occurrenceCount(definition);
  if (doneOccurrences.some(([first, last]) => first > last || last >= occurrences))
    throw new RowFormatError('The progress contains an occurrence that the job does not have.');
}

function checkTask(taskName: string, definition: JobDefinition): void {
  const [, occurrence, step, index] = TASK_KEY_PATTERN.exec(taskName) ?? [];
  const taskCount = definition.steps[Number(step)]?.taskCount ?? 0;
  const exists = Number(occurrence) < occurrenceCount(definition) && Number(index) < taskCount;
  if (!exists) throw new RowFormatError('The progress contains a task that the job does not have.');
}
