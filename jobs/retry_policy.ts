/** Limits how often and how soon failed jobs are retried. */

/** Number of failed attempts after which a job ends as failed; it has failed on several workers by then. */
export const MAX_JOB_FAILURES = 5;

/**
 * Number of lost attempts after which a job ends as failed, because it may itself
 * be crashing its workers.
 */
export const MAX_JOB_LOSSES = 20;

const INITIAL_DELAY_MS = 1_000;
const MAX_DELAY_MS = 60_000;

/** Returns the delay before the next attempt, in milliseconds; `random` is at least 0 and less than 1. */
export function retryDelayMs(failures: number, random: number): number {
  const baseMs = Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** Math.max(0, failures - 1));
  return baseMs * (0.5 + random);
}

/** The budget is counted in tenths of a retry, so that deposits for first attempts add up exactly. */
const TENTHS_PER_RETRY = 10;
const TENTHS_PER_START = 1;
const TENTHS_PER_SECOND = 10;
const MAX_BALANCE = 100;

/**
 * Limits retries to a tenth of the first attempts, so that the end of an outage
 * does not cause a burst of retries. One retry a second is always allowed in
 * addition.
 *
 * @example
 * ```ts
 * if (budget.tryWithdraw(nowMs)) retry();
 * ```
 */
export class RetryBudget {
  private balance = MAX_BALANCE;
  private lastRefillAtMs: number;

  constructor(nowMs: number) {
    this.lastRefillAtMs = nowMs;
  }

  /** Adds a tenth of a retry to the budget, for one first attempt. */
  deposit(): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + TENTHS_PER_START);
  }

  /** Takes one retry from the budget; returns `false` if the budget does not suffice. */
  tryWithdraw(nowMs: number): boolean {
    const refill = ((nowMs - this.lastRefillAtMs) / 1_000) * TENTHS_PER_SECOND;
    this.balance = Math.min(MAX_BALANCE, this.balance + refill);
    this.lastRefillAtMs = nowMs;
    if (this.balance < TENTHS_PER_RETRY) return false;
    this.balance -= TENTHS_PER_RETRY;
    return true;
  }
}
