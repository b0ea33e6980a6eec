/** Limits the starts of tasks to what this process can carry out without delaying all of them. */

/**
 * The delay of the event loop that the limiter aims for, in milliseconds. A start passes
 * it about ten times, and jobs of several steps as often for each; their targets allow
 * some hundred milliseconds beyond the run time.
 */
const TARGET_DELAY_MS = 15;

/** Time over which delays are averaged before the limit changes, in milliseconds. */
const WINDOW_MS = 100;

/** Windows of which the highest rate counts as carried, since a burst begins with few starts. */
const RECENT_WINDOWS = 20;

/** Starts for which unused allowance accumulates, as a time in milliseconds. */
const ACCUMULATION_MS = 50;

/** The limit is never below this for each processor core, in starts per millisecond. */
const MIN_PER_MS_AND_CORE = 0.4;

/** Above this, in starts per millisecond, there is no limit. */
const MAX_PER_MS = 5;

/** Least decrease in a window whose delay exceeds the target. */
const LEAST_DECREASE_FACTOR = 0.9;
/** Greatest decrease, for a delay of twice the target or more. */
const GREATEST_DECREASE_FACTOR = 0.5;
const INCREASE_FACTOR = 1.04;
/** Increase while the delay is below half of the target. */
const FAST_INCREASE_FACTOR = 1.15;

/** Decides how many tasks may be started now. */
export abstract class StartLimiter {
  /** Records how much later than planned an event of the loop was handled. */
  abstract recordDelay(delayMs: number, nowMs: number): void;
  /** Number of tasks that may be started now; `Infinity` without a limit. */
  abstract available(nowMs: number): number;
  /** Records started tasks. */
  abstract take(count: number): void;
  /** Current limit in starts per second; `Infinity` without one. */
  abstract limitPerSecond(): number;

  /** Whether there is a limit now. */
  isLimiting(): boolean {
    return Number.isFinite(this.limitPerSecond());
  }
}

/**
 * Reduces the rate of starts while the event loop runs late, and raises it again.
 *
 * It answers a burst beyond what the leader's processor carries. Without a limit, each
 * start, report and answer waits behind all others, so that every task takes seconds
 * longer and no job meets its target; with it, as many jobs as the processor carries run
 * at full speed, in the order of the queue, and the rest waits.
 *
 * @example
 * ```ts
 * limiter.recordDelay(nowMs - plannedAtMs, nowMs);
 * const { assignments } = planPool({ ...request, maxStarts: limiter.available(nowMs) });
 * limiter.take(assignments.length);
 * ```
 */
export class AdaptiveStartLimiter extends StartLimiter {
  private perMs = Infinity;
  private allowance = 0;
  private refilledAtMs = 0;
  private windowStartedAtMs = -Infinity;
  private delaySumMs = 0;
  private delayCount = 0;
  private startCount = 0;
  /** Starts per millisecond in the latest windows. */
  private recentPerMs: readonly number[] = [];

  /** `processors` is the number of cores that this process may use; may be a fraction. */
  constructor(private readonly processors: number) {
    super();
  }

  override recordDelay(delayMs: number, nowMs: number): void {
    this.delaySumMs += Math.max(0, delayMs);
    this.delayCount += 1;
    const elapsedMs = nowMs - this.windowStartedAtMs;
    if (elapsedMs < WINDOW_MS) return;
    this.adjust(this.delaySumMs / this.delayCount, this.startCount / elapsedMs);
    this.windowStartedAtMs = nowMs;
    this.delaySumMs = 0;
    this.delayCount = 0;
    this.startCount = 0;
  }

  override available(nowMs: number): number {
    if (this.perMs === Infinity) return Infinity;
    const refill = Math.max(0, nowMs - this.refilledAtMs) * this.perMs;
    this.allowance = Math.min(Math.max(1, this.perMs * ACCUMULATION_MS), this.allowance + refill);
    this.refilledAtMs = nowMs;
    return Math.max(0, Math.floor(this.allowance));
  }

  override take(count: number): void {
    this.startCount += count;
    if (this.perMs !== Infinity) this.allowance -= count;
  }

  override limitPerSecond(): number {
    return this.perMs * 1_000;
  }

  private adjust(delayMs: number, startedPerMs: number): void {
    this.recentPerMs = [...this.recentPerMs, startedPerMs].slice(-RECENT_WINDOWS);
    if (delayMs > TARGET_DELAY_MS) {
      const carriedPerMs = Math.min(this.perMs, Math.max(...this.recentPerMs));
      // In proportion to the delay, so that what has piled up is carried out within a few windows.
      const factor = Math.max(GREATEST_DECREASE_FACTOR, TARGET_DELAY_MS / delayMs);
      const limitPerMs = carriedPerMs * Math.min(LEAST_DECREASE_FACTOR, factor);
      this.perMs = Math.max(MIN_PER_MS_AND_CORE * this.processors, limitPerMs);
      return;
    }
    this.perMs *= delayMs < TARGET_DELAY_MS / 2 ? FAST_INCREASE_FACTOR : INCREASE_FACTOR;
    if (this.perMs > MAX_PER_MS) this.perMs = Infinity;
  }
}
