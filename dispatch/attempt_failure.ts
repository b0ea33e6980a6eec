/** Classifies the errors with which an attempt ends. */
import { errors } from 'undici';
import type { AttemptFailure } from './attempt_transport';

/** The answer ended before its stated or chunked end, or was given up. */
export class AnswerCutError extends Error {
  override readonly name = 'AnswerCutError';
}

/** Names the failure behind `error`; `isSent` tells whether any byte may have been handed to a connection. */
export function classifyFailure(error: unknown, isSent: boolean): AttemptFailure {
  const code = typeof error === 'object' && error !== null && 'code' in error ? error.code : undefined;
  if (!isSent) {
    if (code === 'ECONNREFUSED') return 'refused';
    return error instanceof errors.ConnectTimeoutError ? 'connect_timeout' : 'connect_failed';
  }
  const isMalformed =
    error instanceof errors.ResponseContentLengthMismatchError || error instanceof errors.HTTPParserError;
  return isMalformed ? 'cut' : 'reset';
}
