/** Checks the head of a response: whether it belongs to the attempt and whether its end can be recognized. */
import type { HttpHeaders } from './dispatcher';

/** Header with the id of the attempt, in requests and echoed in responses. */
export const ATTEMPT_ID_HEADER = 'endivestand-attempt-id';

/** Header of a response with status 503 to a request that the target did not run. */
export const NOT_RUN_HEADER = 'endivestand-not-run';

/** How the end of a body is recognized; `lengthBytes` is `null` for a chunked body. */
export type ResponseFraming =
  { readonly kind: 'framed'; readonly lengthBytes: number | null } | { readonly kind: 'unverifiable' };

/** Whether the response echoes the id of another attempt. */
export function hasOtherAttemptId(headers: HttpHeaders, attemptId: string): boolean {
  const echoed = headers[ATTEMPT_ID_HEADER];
  return echoed !== undefined && echoed !== attemptId;
}

/** Whether the target rejected the request without running it. */
export function isNotRunResponse(status: number, headers: HttpHeaders): boolean {
  return status === 503 && headers[NOT_RUN_HEADER] === 'true';
}

/**
 * Returns how the body of a response is delimited. A body that ends with the
 * connection is unverifiable: it cannot be distinguished from one that was cut.
 *
 * @example
 * ```ts
 * framingOf('GET', 200, { 'content-length': '12' }); // { kind: 'framed', lengthBytes: 12 }
 * ```
 */
export function framingOf(method: string, status: number, headers: HttpHeaders): ResponseFraming {
  if (method === 'HEAD' || status === 204 || status === 304) return { kind: 'framed', lengthBytes: 0 };
  const encoding = headers['transfer-encoding'];
  if (encoding !== undefined) {
    const isChunked = typeof encoding === 'string' && /(^|,)\s*chunked$/i.test(encoding);
    return isChunked ? { kind: 'framed', lengthBytes: null } : { kind: 'unverifiable' };
  }
  const length = headers['content-length'];
  if (typeof length !== 'string' || !/^\d+$/.test(length)) return { kind: 'unverifiable' };
  return { kind: 'framed', lengthBytes: Number(length) };
}
