/** What is certain about the task of a job, and what follows for the job. */
import type { TaskReport } from '../platform/worker_control';
import { taskIdOf, type Job } from './job';
import { MAX_JOB_FAILURES, MAX_JOB_LOSSES } from './retry_policy';

/** `lost`: the task has certainly ended without a result. */
export type TaskVerdict =
  | { readonly kind: 'unknown' }
  | { readonly kind: 'running'; readonly report: TaskReport }
  | { readonly kind: 'ended'; readonly how: TaskEnd; readonly report: TaskReport | null };

export type TaskEnd = 'done' | 'failed' | 'checkpointed' | 'stopped' | 'lost';

/** The part of a worker link that a verdict needs. */
export interface TaskView {
  isOpen(): boolean;
  report(taskId: string): TaskReport | undefined;
  tasksEndAtMs(): number;
}

/**
 * Judges the current task of a job that is on a worker.
 *
 * @example
 * ```ts
 * const verdict = judgeTask(job, link, nowMs);
 * if (verdict.kind === 'ended') next = afterTask(job, verdict.how, verdict.report);
 * ```
 */
export function judgeTask(job: Job, view: TaskView, nowMs: number): TaskVerdict {
  if (!view.isOpen()) {
    if (nowMs < view.tasksEndAtMs()) return { kind: 'unknown' };
    return { kind: 'ended', how: 'lost', report: null };
  }
  const report = view.report(taskIdOf(job));
  if (report === undefined) return { kind: 'ended', how: 'lost', report: null };
  if (report.phase === 'running' || report.phase === 'throttled') return { kind: 'running', report };
  return { kind: 'ended', how: report.phase, report };
}

/** The job after its task has ended. */
export function afterTask(job: Job, how: TaskEnd, report: TaskReport | null): Job {
  if (how === 'done') return { ...job, state: 'done' };
  if (job.cancelRequested) return { ...job, state: 'cancelled' };
  switch (how) {
    case 'checkpointed':
      return { ...job, state: 'checkpointed', checkpoint: report?.checkpoint ?? job.checkpoint };
    case 'failed':
      return afterFailure(job, report?.reason ?? 'The worker gave no reason.');
    case 'stopped':
      return waitingAgain(job);
    case 'lost':
      return afterLoss(job);
  }
}

/** The job after an attempt that failed on its worker. */
export function afterFailure(job: Job, reason: string): Job {
  const failures = job.failures + 1;
  const failedOn =
    job.instanceId === null || job.failedOn.includes(job.instanceId)
      ? job.failedOn
      : [...job.failedOn, job.instanceId];
  const failed = { ...job, failures, failedOn };
  if (failures < MAX_JOB_FAILURES) return waitingAgain(failed);
  const detail = `The job failed ${failures} times, on ${failedOn.join(', ')}; last: ${reason}`;
  return { ...failed, state: 'failed', reason: detail };
}

/** The job back among those that wait, with its checkpoint if it has one. */
export function waitingAgain(job: Job): Job {
  if (job.cancelRequested) return { ...job, state: 'cancelled' };
  return { ...job, state: job.checkpoint === null ? 'waiting' : 'checkpointed' };
}

function afterLoss(job: Job): Job {
  const losses = job.losses + 1;
  if (losses < MAX_JOB_LOSSES) return waitingAgain({ ...job, losses });
  return { ...job, losses, state: 'failed', reason: `The job was lost with its worker ${losses} times.` };
}
