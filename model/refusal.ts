/** The error with which the system answers a caller itself. */
import type { Outcome, ResultCode } from './result_code';

export interface RefusalOptions {
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
 * throw new Refusal(RESULT_CODES.queueFull, { outcome: 'not_run', retryAfterS: 1 });
 * ```
 */
export class Refusal extends Error {
  override readonly name = 'Refusal';
  readonly outcome: Outcome;
  readonly detail: string;
  readonly retryAfterS: number | undefined;

  constructor(
    readonly result: ResultCode,
    options: RefusalOptions,
  ) {
    super(options.detail ?? result.title, { cause: options.cause });
    this.outcome = options.outcome;
    this.detail = options.detail ?? result.title;
    this.retryAfterS = options.retryAfterS;
  }
}
