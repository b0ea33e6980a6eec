/** Admission of submitted jobs, as the job API asks for it. */
import type { Clock } from '../kernel/clock';
import { decideAdmission, type Rejection, type Verdict } from './admission_decision';
import type { SubmittedJob } from './job_position';
import type { CurrentView } from './current_view';
import { ReturnPromises } from './return_promises';

/** Decides on submitted jobs. */
export abstract class AdmissionControl {
  /** Decides whether to accept a job now; has no effect. */
  abstract review(job: SubmittedJob): Verdict;
  /** Promises a rejected caller when to return, in whole seconds from now. */
  abstract promiseReturn(job: SubmittedJob, rejection: Rejection): number;
}

/** Accepts every job. */
export class OpenAdmission extends AdmissionControl {
  override review(): Verdict {
    return { kind: 'accept', reason: 'off' };
  }

  override promiseReturn(): number {
    return 1;
  }
}

export interface ShortageAdmissionOptions {
  readonly clock: Clock;
  readonly current: CurrentView;
  /** As in {@link DecisionInputs}. */
  readonly waitPercent: number;
  /** As in {@link ReturnPromisesOptions}. */
  readonly maxRetryAfterS: number;
}

/**
 * Rejects jobs that could not end in useful time, by the leader's latest view.
 *
 * @example
 * ```ts
 * const admission = new ShortageAdmission({ clock, current, waitPercent: 110, maxRetryAfterS: 30 });
 * const verdict = admission.review({ jobId, teamId, queue, definition });
 * ```
 */
export class ShortageAdmission extends AdmissionControl {
  private readonly promises: ReturnPromises;

  constructor(private readonly options: ShortageAdmissionOptions) {
    super();
    this.promises = new ReturnPromises(options);
  }

  override review(job: SubmittedJob): Verdict {
    const { clock, current, waitPercent } = this.options;
    return decideAdmission({ job, aged: current.at(clock.monotonicMs()), waitPercent });
  }

  override promiseReturn(job: SubmittedJob, rejection: Rejection): number {
    return this.promises.promise(job, rejection, this.options.clock.monotonicMs());
  }
}
