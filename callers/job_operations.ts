/** Operations on jobs that callers may request. */
import type { QueueRule } from '../scheduling/fleet_rules';
import type { JobDefinition } from '../scheduling/job_definition';
import type { JobState } from '../scheduling/job_progress';

export interface Submission {
  readonly jobId: string;
  readonly queueId: string;
  readonly teamId: string | null;
  /** The rule of the queue by which the job is accepted; absent if an earlier version forwarded it. */
  readonly acceptedUnder?: QueueRule | undefined;
  readonly definition: JobDefinition;
  /** When the caller stops waiting, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
}

/**
 * Accepts, cancels and reports jobs. Every method rejects with
 * `StoreUnavailableError` if the call was not applied and with
 * `StoreOutcomeUnknownError` if it may have been.
 */
export abstract class JobOperations {
  /** Resolves once the job is stored: with `true` if it was created, with `false` if it existed already. */
  abstract submit(submission: Submission): Promise<boolean>;
  /** Returns the state of a job, or `null` if there is no such job. */
  abstract state(jobId: string): Promise<JobState | null>;
  /**
   * Requests that the placement leader cancel a job. Resolves with `false` if there is no such
   * job yet; its submission, should it arrive later, is cancelled as well.
   */
  abstract cancel(jobId: string): Promise<boolean>;
  /**
   * Returns the number of accepted jobs of a queue of which no task has started; the
   * number may be up to 1 s old.
   */
  abstract pending(queueId: string): Promise<number>;
}
