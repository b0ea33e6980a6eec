/** Checks on the head of an answer: does it belong to the attempt, and can its end be recognized. */
import type { HttpHeaders } from './dispatcher';

/** Header with the id of the attempt, in requests and, echoed, in answers. */
export const ATTEMPT_ID_HEADER = 'endivestand-attempt-id';

/** Header with which a target that answers 503 says that it did not begin. */
export const NOT_RUN_HEADER = 'endivestand-not-run';

/** How the end of a body is recognized; `lengthBytes` is `null` for a chunked body. */
export type AnswerFrame =
  { readonly kind: 'framed'; readonly lengthBytes: number | null } | { readonly kind: 'unverifiable' };

/** Whether the answer echoes another attempt's id. */
export function isMismatched(headers: HttpHeaders, attemptId: string): boolean {
  const echoed = headers[ATTEMPT_ID_HEADER];
  return echoed !== undefined && echoed !== attemptId;
}

/** Whether the target says that it rejected the request before it began. */
export function saysNotRun(status: number, headers: HttpHeaders): boolean {
  return status === 503 && headers[NOT_RUN_HEADER] === 'true';
}

/**
 * How the body of an answer is delimited. A body that ends with the
 * connection cannot be told from one that was cut short.
 *
 * @example
 * ```ts
 * frameOf('GET', 200, { 'content-length': '12' }); // { kind: 'framed', lengthBytes: 12 }
 * ```
 */
export function frameOf(method: string, status: number, headers: HttpHeaders): AnswerFrame {
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
