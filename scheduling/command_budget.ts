/** Limits the rate of commands to the platform's instance service. */

/**
 * Commands per second and processor core of this process. Each moved instance comes back
 * as a new worker, and a session with it costs several milliseconds for its connections;
 * workers that come back all at once delay the starts for which they were moved.
 */
const COMMANDS_PER_SECOND_AND_CORE = 100;

/** Fraction of the accepted rate that is used, because the service counts over other intervals. */
const USED_FRACTION = 0.9;

/**
 * Time for which unused commands accumulate, in milliseconds: a little longer than the
 * interval between two decisions.
 */
const ACCUMULATION_MS = 300;

export interface CommandBudgetOptions {
  /** Commands that the platform accepts per second. */
  readonly acceptedPerSecond: number;
  /** Number of processor cores that this process may use; may be a fraction. */
  readonly processors: number;
}

/**
 * Token bucket for commands to instances. A command beyond the rate would be rejected or
 * wait for a connection, and its instance would run nothing meanwhile.
 *
 * @example
 * ```ts
 * const budget = new CommandBudget({ acceptedPerSecond: 64, processors: 0.7 });
 * if (budget.take(clock.monotonicMs())) void operations.move(instanceId, poolId, issuer);
 * ```
 */
export class CommandBudget {
  private readonly perMs: number;
  private available: number;
  private refilledAtMs = -Infinity;

  constructor({ acceptedPerSecond, processors }: CommandBudgetOptions) {
    const perSecond = Math.min(
      acceptedPerSecond * USED_FRACTION,
      Math.max(1, processors * COMMANDS_PER_SECOND_AND_CORE),
    );
    this.perMs = perSecond / 1_000;
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
