/** Rejects submissions for lack of capacity, once it is certain that their jobs are not stored. */
import type { AdmissionControl } from '../admission_control/admission_control';
import type { Rejection } from '../admission_control/admission_decision';
import type { SubmittedJob } from '../admission_control/job_position';
import { RowFormatError } from '../scheduling/job_rows';
import { isStoreFailure } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { JobOperations } from './job_operations';

/** What to do with a submission. */
export type Screening =
  | { readonly kind: 'submit' }
  /** The job is stored already. */
  | { readonly kind: 'stored' }
  | { readonly kind: 'reject'; readonly reason: Rejection['reason']; readonly retryAfterS: number };

export interface ShortageRejectionOptions {
  readonly admission: AdmissionControl;
  readonly jobs: JobOperations;
  readonly counters: Counters;
  readonly logger: Logger;
}

/**
 * Asks the admission control, and looks up each job that it rejects.
 *
 * @example
 * ```ts
 * const screening = await rejection.screen({ jobId, teamId, queue, definition });
 * ```
 */
export class ShortageRejection {
  constructor(private readonly options: ShortageRejectionOptions) {}

  async screen(job: SubmittedJob): Promise<Screening> {
    const { admission, counters } = this.options;
    const verdict = admission.review(job);
    if (verdict.kind === 'accept') return { kind: 'submit' };
    const isStored = await this.lookUp(job.jobId);
    if (isStored === null) {
      counters.increment('admission.look_up_failed');
      return { kind: 'submit' };
    }
    if (isStored) return { kind: 'stored' };
    const retryAfterS = admission.promiseReturn(job, verdict);
    counters.increment('admission.rejected', verdict.isReturn ? 'return' : 'first');
    this.log(job, verdict, retryAfterS);
    return { kind: 'reject', reason: verdict.reason, retryAfterS };
  }

  /** Whether the job is stored; `null` if that is not known. */
  private async lookUp(jobId: string): Promise<boolean | null> {
    try {
      return (await this.options.jobs.state(jobId)) !== null;
    } catch (error) {
      if (isStoreFailure(error) || error instanceof RowFormatError) return null;
      throw error;
    }
  }

  private log(
    { jobId, queue, teamId }: SubmittedJob,
    { reason, waitMs, usefulSlackMs, isReturn, pool, aged: { view, ageMs } }: Rejection,
    retryAfterS: number,
  ): void {
    this.options.logger.info(LOG_EVENTS.jobRejectedShort, {
      jobId,
      queueId: queue.queueId,
      teamId,
      reason,
      waitMs: Math.round(waitMs),
      usefulSlackMs: Math.round(usefulSlackMs),
      shortForMs: Math.round(pool.shortForMs),
      viewAgeMs: Math.round(ageMs),
      epoch: view.epoch,
      viewNumber: view.number,
      isReturn,
      retryAfterS,
    });
  }
}
