/** What callers can have done with jobs. */
import type { JobDefinition } from '../scheduling/job_definition';
import type { JobState } from '../scheduling/job_progress';

export interface Submission {
  readonly jobId: string;
  readonly queueId: string;
  readonly teamId: string | null;
  readonly definition: JobDefinition;
  /** Until when the caller waits, on the steady clock. */
  readonly deadlineAtMs: number;
}

/**
 * Accepts, cancels and reports jobs. Every method throws
 * `StoreUnavailableError` if nothing was done and `StoreOutcomeUnknownError`
 * if that is not known.
 */
export abstract class JobOperations {
  /** Resolves once the job is stored; `false` if it was already. */
  abstract submit(submission: Submission): Promise<boolean>;
  /** The state of a job; `null` if there is no such job. */
  abstract state(jobId: string): Promise<JobState | null>;
  /** Asks the holder of the placement role to cancel a job. Returns `false` if there is no such job. */
  abstract cancel(jobId: string): Promise<boolean>;
  /** Accepted jobs of a queue of which no task has started; may be a second old. */
  abstract pending(queueId: string): Promise<number>;
}
