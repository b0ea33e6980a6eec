/** Creates the errors with which requests fail after failed attempts. */
import type { Outcome, ResultCode } from '../model/result_code';
import { RESULT_CODES } from '../model/result_code';
import { RequestError } from '../model/request_error';
import type { FailureReason } from './attempt_transport';

export interface FailedAttempt {
  readonly outcome: Outcome;
  readonly reason: FailureReason;
  readonly cause: unknown;
}

const RESULT_BY_FAILURE: Readonly<Record<FailureReason, ResultCode>> = {
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

/** Returns the error for a request whose last attempt has failed; `outcome` combines all its attempts. */
export function requestErrorFor(failed: FailedAttempt, outcome: Outcome): RequestError {
  const { reason, cause } = failed;
  if (reason === 'not_permitted' && cause instanceof RequestError) return withOutcome(cause, outcome);
  const retryAfterS = outcome === 'not_run' ? retryAfter(failed) : undefined;
  return new RequestError(RESULT_BY_FAILURE[reason], {
    outcome,
    cause,
    ...(retryAfterS !== undefined && { retryAfterS }),
  });
}

/** Returns the error with `outcome`, which combines all attempts of the request. */
export function withOutcome(error: RequestError, outcome: Outcome): RequestError {
  if (error.outcome === outcome) return error;
  const { retryAfterS } = error;
  return new RequestError(error.result, {
    outcome,
    cause: error,
    detail: error.detail,
    ...(retryAfterS !== undefined && { retryAfterS }),
  });
}

function retryAfter({ reason, cause }: FailedAttempt): number {
  const stated = reason === 'rejected_by_target' && typeof cause === 'string' ? Number(cause) : Number.NaN;
  return Number.isInteger(stated) && stated >= 0 ? stated : 1;
}
