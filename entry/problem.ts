/** Problem details (RFC 9457) for refusals. */
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';

/** Converts whatever was thrown into a response; unknown errors become an internal error. */
export function problemResponse(error: unknown): Response {
  const refusal = toRefusal(error);
  const { result, outcome, detail, retryAfterS } = refusal;
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

/** A failure that nobody classified may have happened after the work was done. */
export function toRefusal(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  return new RequestError(RESULT_CODES.internalError, { outcome: 'may_have_run', cause: error });
}
