/**
 * Time of the process: a monotonic clock for intervals, a wall clock for
 * display, and timers.
 */

/** A pending timer. */
export interface Timer {
  /** Cancels the timer; has no effect once the callback has run. */
  cancel(): void;
}

/** Source of time. All intervals are measured with {@link Clock.monotonicMs}. */
export abstract class Clock {
  /**
   * Milliseconds since an arbitrary origin; never decreases. It includes the time for
   * which the process was stopped, but on some systems not the time for which the whole
   * machine was suspended.
   */
  abstract monotonicMs(): number;

  /** Milliseconds since the Unix epoch; for display only, since the wall clock may jump. */
  abstract wallMs(): number;

  /** Runs `callback` once after `delayMs` milliseconds. */
  abstract schedule(delayMs: number, callback: () => void): Timer;

  /** Resolves after `delayMs` milliseconds. */
  delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(delayMs, resolve);
    });
  }
}
