/** Determines the status of a job's current task, and the job's next state once the task has ended. */
import type { TaskReport } from '../platform/worker_control';
import { taskIdOf, type Job } from './job';
import { MAX_JOB_FAILURES, MAX_JOB_LOSSES } from './retry_policy';

/** Status of a task; `unknown` if its worker cannot be asked and its lease may not have expired yet. */
export type TaskStatus =
  | { readonly kind: 'unknown' }
  | { readonly kind: 'running'; readonly report: TaskReport }
  | { readonly kind: 'ended'; readonly outcome: TaskOutcome; readonly report: TaskReport | null };

/** How a task ended; `lost` if it has certainly ended without a result. */
export type TaskOutcome = 'done' | 'failed' | 'checkpointed' | 'stopped' | 'lost';

/** The part of a worker link from which the status of a task is derived. */
export interface TaskReportSource {
  isOpen(): boolean;
  report(taskId: string): TaskReport | undefined;
  tasksEndAtMs(): number;
}

/**
 * Determines the status of the current task of a job that is on a worker.
 *
 * @example
 * ```ts
 * const status = determineTaskStatus(job, link, nowMs);
 * if (status.kind === 'ended') next = jobAfterTask(job, status.outcome, status.report);
 * ```
 */
export function determineTaskStatus(job: Job, source: TaskReportSource, nowMs: number): TaskStatus {
  if (!source.isOpen()) {
    if (nowMs < source.tasksEndAtMs()) return { kind: 'unknown' };
    return { kind: 'ended', outcome: 'lost', report: null };
  }
  const report = source.report(taskIdOf(job));
  if (report === undefined) return { kind: 'ended', outcome: 'lost', report: null };
  if (report.phase === 'running' || report.phase === 'throttled') return { kind: 'running', report };
  return { kind: 'ended', outcome: report.phase, report };
}

/** Returns the job as it is after its task has ended. */
export function jobAfterTask(job: Job, outcome: TaskOutcome, report: TaskReport | null): Job {
  if (outcome === 'done') return { ...job, state: 'done' };
  if (job.cancelRequested) return { ...job, state: 'cancelled' };
  switch (outcome) {
    case 'checkpointed':
      return { ...job, state: 'checkpointed', checkpoint: report?.checkpoint ?? job.checkpoint };
    case 'failed':
      return jobAfterFailure(job, report?.reason ?? 'The worker gave no reason.');
    case 'stopped':
      return requeuedJob(job);
    case 'lost':
      return jobAfterLoss(job);
  }
}

/** Returns the job as it is after an attempt that failed on its worker. */
export function jobAfterFailure(job: Job, reason: string): Job {
  const failures = job.failures + 1;
  const failedOn =
    job.instanceId === null || job.failedOn.includes(job.instanceId)
      ? job.failedOn
      : [...job.failedOn, job.instanceId];
  const failed = { ...job, failures, failedOn };
  if (failures < MAX_JOB_FAILURES) return requeuedJob(failed);
  const detail = `The job failed ${failures} times, on ${failedOn.join(', ')}; last: ${reason}`;
  return { ...failed, state: 'failed', reason: detail };
}

/** Returns the job as waiting for another attempt, with its checkpoint if it has one. */
export function requeuedJob(job: Job): Job {
  if (job.cancelRequested) return { ...job, state: 'cancelled' };
  return { ...job, state: job.checkpoint === null ? 'waiting' : 'checkpointed' };
}

function jobAfterLoss(job: Job): Job {
  const losses = job.losses + 1;
  if (losses < MAX_JOB_LOSSES) return requeuedJob({ ...job, losses });
  return { ...job, losses, state: 'failed', reason: `The job was lost with its worker ${losses} times.` };
}
