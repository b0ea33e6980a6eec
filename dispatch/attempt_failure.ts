/** Classifies the errors that end an attempt. */
import { errors } from 'undici';
import type { FailureReason } from './attempt_transport';

/** The attempt ended before the end of its response, or its response was rejected or abandoned. */
export class AttemptAbortedError extends Error {
  override readonly name = 'AttemptAbortedError';
}

/** Returns the failure reason for `error`. `isSent` is true if any byte may have been passed to a connection. */
export function classifyFailure(error: unknown, isSent: boolean): FailureReason {
  const code = typeof error === 'object' && error !== null && 'code' in error ? error.code : undefined;
  if (!isSent) {
    if (code === 'ECONNREFUSED') return 'refused';
    return error instanceof errors.ConnectTimeoutError ? 'connect_timeout' : 'connect_failed';
  }
  const isMalformed =
    error instanceof errors.ResponseContentLengthMismatchError || error instanceof errors.HTTPParserError;
  return isMalformed ? 'cut' : 'reset';
}
