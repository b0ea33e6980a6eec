/** Limits the rate of commands to the platform's instance service. */

/** Fraction of the accepted rate that is used, because the service counts over other intervals. */
const USED_FRACTION = 0.9;

/**
 * Time for which unused commands accumulate, in milliseconds: a little longer than the
 * interval between two decisions.
 */
const ACCUMULATION_MS = 300;

/**
 * Token bucket for commands to instances. A command beyond the rate would be rejected or
 * wait for a connection, and its instance would run nothing meanwhile.
 *
 * @example
 * ```ts
 * const budget = new CommandBudget(64);
 * if (budget.take(clock.monotonicMs())) void operations.move(instanceId, poolId, issuer);
 * ```
 */
export class CommandBudget {
  private readonly perMs: number;
  private available: number;
  private refilledAtMs = -Infinity;

  constructor(commandsPerSecond: number) {
    this.perMs = (commandsPerSecond * USED_FRACTION) / 1_000;
    this.available = this.capacity();
  }

  /** Takes one command from the budget; `false` if none is left at this time. */
  take(nowMs: number): boolean {
    this.available = Math.min(
      this.capacity(),
      this.available + Math.max(0, nowMs - this.refilledAtMs) * this.perMs,
    );
    this.refilledAtMs = nowMs;
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }

  private capacity(): number {
    return Math.max(1, this.perMs * ACCUMULATION_MS);
  }
}
