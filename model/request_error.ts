/** The error with which the system answers a caller itself. */
import type { Outcome, ResultCode } from './result_code';

export interface RequestErrorOptions {
  readonly outcome: Outcome;
  readonly detail?: string;
  /** When a retry may help, in seconds; absent if it will not. */
  readonly retryAfterS?: number;
  readonly cause?: unknown;
}

/**
 * A request that the system refuses or cannot complete.
 *
 * @example
 * ```ts
 * throw new RequestError(RESULT_CODES.queueFull, { outcome: 'not_run', retryAfterS: 1 });
 * ```
 */
export class RequestError extends Error {
  /** Stays: it is a label value of published metrics. */
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
