/** Decides whether and when a failed attempt is retried. */
import type { FailureReason } from './attempt_transport';

/** Maximum number of attempts per request, including the first one. */
export const MAX_ATTEMPTS = 3;

/** Maximum long-term ratio of retries to requests. */
const RETRY_RATIO = 0.1;

/**
 * Maximum number of retries for which credit accumulates. It is also the initial
 * credit, so that an instance with few requests can retry.
 */
const MAX_RETRY_CREDIT = 10;

/** Longest backoff in milliseconds before the first retry, which doubles for each further one up to the maximum. */
const BASE_DELAY_MS = 10;
const MAX_DELAY_MS = 250;

/** Failures after which another attempt could not succeed or no caller would wait for it. */
const FINAL_FAILURES: ReadonlySet<FailureReason> = new Set([
  'deadline',
  'deadline_before_send',
  'cancelled',
  'cancelled_before_send',
  'not_permitted',
]);

/** Limits retries to a fraction of the requests, so that they do not multiply the load after an outage. */
export class RetryBudget {
  private credit = MAX_RETRY_CREDIT;

  /** Adds the credit of one request. */
  recordRequest(): void {
    this.credit = Math.min(MAX_RETRY_CREDIT, this.credit + RETRY_RATIO);
  }

  isAvailable(): boolean {
    return this.credit >= 1;
  }

  /** Uses up one retry. */
  spend(): void {
    this.credit -= 1;
  }
}

export interface RetryInput {
  readonly outcome: 'not_run' | 'may_have_run';
  readonly reason: FailureReason | 'status';
  readonly isIdempotent: boolean;
  /** Number of attempts made so far. */
  readonly attempts: number;
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  readonly isBudgetAvailable: boolean;
  /** Uniform in [0, 1), for the jitter. */
  readonly random: number;
}

export type RetryDecision =
  | { readonly kind: 'retry'; readonly delayMs: number }
  | { readonly kind: 'stop'; readonly reason: 'final' | 'outcome' | 'attempts' | 'budget' | 'deadline' };

/**
 * Decides on a retry. A request that is not idempotent is retried only if its
 * attempt did not run.
 *
 * @example
 * ```ts
 * const decision = decideRetry({ outcome: 'not_run', reason: 'refused', isIdempotent: false, ... });
 * if (decision.kind === 'retry') await clock.delay(decision.delayMs);
 * ```
 */
export function decideRetry(input: RetryInput): RetryDecision {
  const stop = (reason: 'final' | 'outcome' | 'attempts' | 'budget' | 'deadline'): RetryDecision => ({
    kind: 'stop',
    reason,
  });
  if (input.reason !== 'status' && FINAL_FAILURES.has(input.reason)) return stop('final');
  if (input.outcome !== 'not_run' && !input.isIdempotent) return stop('outcome');
  if (input.attempts >= MAX_ATTEMPTS) return stop('attempts');
  const maxDelayMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (input.attempts - 1));
  const delayMs = maxDelayMs * input.random;
  if (input.nowMs + delayMs >= input.deadlineAtMs) return stop('deadline');
  return input.isBudgetAvailable ? { kind: 'retry', delayMs } : stop('budget');
}
