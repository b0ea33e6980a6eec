/** Decides whether a failed attempt is repeated, and when. */
import type { AttemptFailure } from './attempt_transport';

/** Attempts per request, the first one included. */
export const MAX_ATTEMPTS = 3;

/** Retries per request over a long run. */
const BUDGET_RATIO = 0.1;

/** Retries that may be saved up; also the credit at the start, so that a quiet instance can retry at all. */
const BUDGET_CREDIT = 10;

/** Back-off before the first retry, doubled for each further one, in milliseconds. */
const BASE_DELAY_MS = 10;
const MAX_DELAY_MS = 250;

/** Failures after which another attempt could not succeed or nobody waits for it. */
const FINAL_FAILURES: ReadonlySet<AttemptFailure> = new Set([
  'deadline',
  'deadline_before_send',
  'cancelled',
  'cancelled_before_send',
  'not_permitted',
]);

/** Limits retries to a share of requests, so that the end of an outage is not met with a multiple of the load. */
export class RetryBudget {
  private credit = BUDGET_CREDIT;

  /** Counts one request towards the budget. */
  addRequest(): void {
    this.credit = Math.min(BUDGET_CREDIT, this.credit + BUDGET_RATIO);
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
  readonly reason: AttemptFailure | 'status';
  readonly isIdempotent: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  readonly isBudgetAvailable: boolean;
  /** Uniform in [0, 1), for the jitter. */
  readonly random: number;
}

export type RetryDecision =
  | { readonly kind: 'retry'; readonly delayMs: number }
  | { readonly kind: 'stop'; readonly because: 'final' | 'outcome' | 'attempts' | 'budget' | 'deadline' };

/**
 * Decides on a retry. A request that is not idempotent is repeated only if
 * its attempt surely did not run.
 *
 * @example
 * ```ts
 * const decision = decideRetry({ outcome: 'not_run', reason: 'refused', isIdempotent: false, ... });
 * if (decision.kind === 'retry') await clock.delay(decision.delayMs);
 * ```
 */
export function decideRetry(input: RetryInput): RetryDecision {
  const stop = (because: 'final' | 'outcome' | 'attempts' | 'budget' | 'deadline'): RetryDecision => ({
    kind: 'stop',
    because,
  });
  if (input.reason !== 'status' && FINAL_FAILURES.has(input.reason)) return stop('final');
  if (input.outcome !== 'not_run' && !input.isIdempotent) return stop('outcome');
  if (input.attempts >= MAX_ATTEMPTS) return stop('attempts');
  const ceilingMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (input.attempts - 1));
  const delayMs = ceilingMs * input.random;
  if (input.nowMs + delayMs >= input.deadlineAtMs) return stop('deadline');
  return input.isBudgetAvailable ? { kind: 'retry', delayMs } : stop('budget');
}
