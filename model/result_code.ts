/** Numbered results of the public interfaces; docs/result-codes.md lists them. */

/** Whether the request ran on a target. */
export type Outcome = 'not_run' | 'ran' | 'may_have_run';

/** A numbered result: number, stable title and HTTP status. */
export interface ResultCode {
  readonly code: number;
  readonly name: string;
  readonly httpStatus: number;
  readonly title: string;
}

function resultCode(code: number, name: string, httpStatus: number, title: string): ResultCode {
  return { code, name, httpStatus, title };
}

/**
 * Ranges of numbers: 1xxx for the request itself, 2xxx for limits and load, 3xxx for
 * targets, 4xxx for configuration, 5xxx for the platform and 6xxx for jobs.
 */
export const RESULT_CODES = {
  malformedRequest: resultCode(1001, 'malformedRequest', 400, 'The request is malformed.'),
  missingKey: resultCode(1002, 'missingKey', 401, 'The request carries no key.'),
  unknownKey: resultCode(1003, 'unknownKey', 401, 'The key is unknown or withdrawn.'),
  queueNotAllowed: resultCode(1004, 'queueNotAllowed', 403, 'The team may not use this queue.'),
  unknownQueue: resultCode(1005, 'unknownQueue', 404, 'The queue does not exist.'),
  bodyTooLarge: resultCode(1006, 'bodyTooLarge', 413, 'The request body is too large.'),
  idempotencyKeyReused: resultCode(
    1007,
    'idempotencyKeyReused',
    422,
    'The idempotency key was used for another request.',
  ),
  requestInProgress: resultCode(
    1008,
    'requestInProgress',
    409,
    'A request with this idempotency key is in progress.',
  ),
  earlierAttemptUnknown: resultCode(
    1009,
    'earlierAttemptUnknown',
    409,
    'An earlier request with this idempotency key may have run.',
  ),
  answerNotKept: resultCode(
    1010,
    'answerNotKept',
    409,
    'The request with this idempotency key ran; its answer was not kept.',
  ),
  bodyTimeout: resultCode(1011, 'bodyTimeout', 408, 'The request body did not arrive in time.'),
  claimUnavailable: resultCode(
    1012,
    'claimUnavailable',
    503,
    'The idempotency key could not be claimed because the platform does not answer.',
  ),
  callerGone: resultCode(1013, 'callerGone', 499, 'The caller gave the request up.'),
  deadlineExceeded: resultCode(
    2001,
    'deadlineExceeded',
    504,
    'The deadline passed before a target was free.',
  ),
  queueFull: resultCode(2002, 'queueFull', 503, 'Too many requests of this team are waiting.'),
  limitUnavailable: resultCode(2003, 'limitUnavailable', 503, 'No part of the team limit is available here.'),
  shuttingDown: resultCode(2004, 'shuttingDown', 503, 'This entry instance is shutting down.'),
  staleConfiguration: resultCode(
    2005,
    'staleConfiguration',
    503,
    'This entry instance has no recent evidence that its configuration is current.',
  ),
  noTarget: resultCode(3001, 'noTarget', 503, 'No target of the pool can take the request.'),
  targetUnreachable: resultCode(3002, 'targetUnreachable', 503, 'No target could be reached.'),
  targetTimeout: resultCode(3003, 'targetTimeout', 504, 'The target did not answer in time.'),
  targetFailed: resultCode(3004, 'targetFailed', 502, 'The target failed before its answer was complete.'),
  targetRejected: resultCode(3005, 'targetRejected', 503, 'The target rejected the request before it began.'),
  answerMismatched: resultCode(3006, 'answerMismatched', 502, 'The target answered another request.'),
  answerUnverifiable: resultCode(
    3007,
    'answerUnverifiable',
    502,
    'The end of the answer of the target cannot be verified.',
  ),
  invalidTicket: resultCode(4001, 'invalidTicket', 400, 'The ticket is not valid.'),
  ticketNumberReused: resultCode(
    4002,
    'ticketNumberReused',
    409,
    'The ticket number was used with other content.',
  ),
  unknownTicket: resultCode(4003, 'unknownTicket', 404, 'The ticket does not exist.'),
  notOperator: resultCode(4004, 'notOperator', 401, 'The operator token is missing or wrong.'),
  notActive: resultCode(4005, 'notActive', 503, 'This entry instance does not accept tickets yet.'),
  ticketConflict: resultCode(4006, 'ticketConflict', 409, 'Other tickets kept changing the configuration.'),
  ticketOutcomeUnknown: resultCode(
    4007,
    'ticketOutcomeUnknown',
    503,
    'The ticket may have been accepted; send it again with the same number.',
  ),
  platformUnavailable: resultCode(5001, 'platformUnavailable', 503, 'The platform does not answer.'),
  internalError: resultCode(5002, 'internalError', 500, 'An internal error occurred.'),
  unknownJob: resultCode(6001, 'unknownJob', 404, 'The job does not exist.'),
  jobCannotRun: resultCode(6002, 'jobCannotRun', 422, 'No instance of the pool can ever run the job.'),
  jobConflict: resultCode(6003, 'jobConflict', 409, 'Other writers kept changing the job.'),
  jobOutcomeUnknown: resultCode(
    6004,
    'jobOutcomeUnknown',
    503,
    'The job may have been accepted or cancelled; send the request again with the same idempotency key.',
  ),
} as const satisfies Record<string, ResultCode>;
