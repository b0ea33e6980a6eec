/** Problem details (RFC 9457) of request errors. */
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';

/** Converts any thrown value into a response; unknown errors become an internal error. */
export function problemResponse(error: unknown): Response {
  const requestError = toRequestError(error);
  const { result, outcome, detail, retryAfterS } = requestError;
  const body = {
    type: 'about:blank',
    title: result.title,
    status: result.httpStatus,
    detail,
    code: result.code,
    outcome,
  };
  const headers = new Headers({ 'content-type': 'application/problem+json' });
  if (retryAfterS !== undefined) headers.set('retry-after', String(retryAfterS));
  return new Response(JSON.stringify(body), { status: result.httpStatus, headers });
}

/**
 * Converts any thrown value into a request error. An unknown error may have been
 * thrown after the request ran, so its outcome is `may_have_run`.
 */
export function toRequestError(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  return new RequestError(RESULT_CODES.internalError, { outcome: 'may_have_run', cause: error });
}
