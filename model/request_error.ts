/** The error of a request that the system rejects or cannot complete. */
import type { Outcome, ResultCode } from './result_code';

export interface RequestErrorOptions {
  readonly outcome: Outcome;
  readonly detail?: string;
  /** Time after which a retry may succeed, in seconds; absent if a retry will not help. */
  readonly retryAfterS?: number;
  readonly cause?: unknown;
}

/**
 * Reports to the caller that the system rejected the request or could not complete it.
 *
 * @example
 * ```ts
 * throw new RequestError(RESULT_CODES.queueFull, { outcome: 'not_run', retryAfterS: 1 });
 * ```
 */
export class RequestError extends Error {
  /** Keeps the former name of the class, which is a label value of published metrics. */
  override readonly name = 'Refusal';
  readonly outcome: Outcome;
  readonly detail: string;
  readonly retryAfterS: number | undefined;

  constructor(
    readonly result: ResultCode,
    options: RequestErrorOptions,
  ) {
    super(options.detail ?? result.title, { cause: options.cause });
    this.outcome = options.outcome;
    this.detail = options.detail ?? result.title;
    this.retryAfterS = options.retryAfterS;
  }
}
