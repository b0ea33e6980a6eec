/** Refusals for attempts that failed for good. */
import type { Outcome, ResultCode } from '../model/result_code';
import { RESULT_CODES } from '../model/result_code';
import { RequestError } from '../model/request_error';
import type { AttemptFailure } from './attempt_transport';

export interface FailedAttempt {
  readonly outcome: Outcome;
  readonly reason: AttemptFailure;
  readonly cause: unknown;
}

const RESULTS: Readonly<Record<AttemptFailure, ResultCode>> = {
  refused: RESULT_CODES.targetUnreachable,
  connect_timeout: RESULT_CODES.targetUnreachable,
  connect_failed: RESULT_CODES.targetUnreachable,
  deadline_before_send: RESULT_CODES.deadlineExceeded,
  cancelled_before_send: RESULT_CODES.callerGone,
  not_permitted: RESULT_CODES.internalError,
  rejected_by_target: RESULT_CODES.targetRejected,
  deadline: RESULT_CODES.targetTimeout,
  cancelled: RESULT_CODES.callerGone,
  reset: RESULT_CODES.targetFailed,
  cut: RESULT_CODES.targetFailed,
  mismatch: RESULT_CODES.answerMismatched,
  unverifiable: RESULT_CODES.answerUnverifiable,
};

/** The refusal for the last failure of a request whose attempts together had `outcome`. */
export function refusalFor(failed: FailedAttempt, outcome: Outcome): RequestError {
  const { reason, cause } = failed;
  if (reason === 'not_permitted' && cause instanceof RequestError) return withOutcome(cause, outcome);
  const retryAfterS = outcome === 'not_run' ? retryAfter(failed) : undefined;
  return new RequestError(RESULTS[reason], {
    outcome,
    cause,
    ...(retryAfterS !== undefined && { retryAfterS }),
  });
}

/** The same refusal, with the outcome of all attempts of the request. */
export function withOutcome(refusal: RequestError, outcome: Outcome): RequestError {
  if (refusal.outcome === outcome) return refusal;
  const { retryAfterS } = refusal;
  return new RequestError(refusal.result, {
    outcome,
    cause: refusal,
    detail: refusal.detail,
    ...(retryAfterS !== undefined && { retryAfterS }),
  });
}

function retryAfter({ reason, cause }: FailedAttempt): number {
  const stated = reason === 'rejected_by_target' && typeof cause === 'string' ? Number(cause) : Number.NaN;
  return Number.isInteger(stated) && stated >= 0 ? stated : 1;
}
