/** How often and how soon failed jobs are tried again. */

/** Failed attempts after which a job is failed: it has failed on several workers by then. */
export const MAX_JOB_FAILURES = 5;

/** Lost attempts after which a job is failed: it may be what ends its workers. */
export const MAX_JOB_LOSSES = 20;

const FIRST_DELAY_MS = 1_000;
const LONGEST_DELAY_MS = 60_000;

/** Delay before the next attempt in milliseconds; `random` is from 0 up to 1. */
export function retryDelayMs(failures: number, random: number): number {
  const fullMs = Math.min(LONGEST_DELAY_MS, FIRST_DELAY_MS * 2 ** Math.max(0, failures - 1));
  return fullMs * (0.5 + random);
}

/** Budget in tenths of a retry, so that first attempts add up exactly. */
const TENTHS_PER_RETRY = 10;
const TENTHS_PER_START = 1;
const TENTHS_PER_SECOND = 10;
const LARGEST_BALANCE = 100;

/**
 * Limits retries to a part of the first attempts, so that the end of an
 * outage does not start everything at once; one a second is always allowed.
 *
 * @example
 * ```ts
 * if (budget.take(nowMs)) retry();
 * ```
 */
export class RetryBudget {
  private balance = LARGEST_BALANCE;
  private countedAtMs: number;

  constructor(nowMs: number) {
    this.countedAtMs = nowMs;
  }

  /** Counts a first attempt. */
  earn(): void {
    this.balance = Math.min(LARGEST_BALANCE, this.balance + TENTHS_PER_START);
  }

  /** Whether a retry is within the budget now; counts it if so. */
  take(nowMs: number): boolean {
    const gained = ((nowMs - this.countedAtMs) / 1_000) * TENTHS_PER_SECOND;
    this.balance = Math.min(LARGEST_BALANCE, this.balance + gained);
    this.countedAtMs = nowMs;
    if (this.balance < TENTHS_PER_RETRY) return false;
    this.balance -= TENTHS_PER_RETRY;
    return true;
  }
}
