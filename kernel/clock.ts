/**
 * Time as seen by the process: a monotonic reading for intervals, a wall
 * reading for display, and timers.
 */

/** A pending timer. */
export interface Timer {
  /** Stops the timer; does nothing once the task has run. */
  cancel(): void;
}

/** Source of time. Intervals are always measured with {@link Clock.monotonicMs}. */
export abstract class Clock {
  /** Milliseconds since an arbitrary origin; never decreases and includes time spent suspended. */
  abstract monotonicMs(): number;

  /** Milliseconds since the Unix epoch; may jump, so it is for display only. */
  abstract wallMs(): number;

  /** Runs `task` once after `delayMs` milliseconds. */
  abstract schedule(delayMs: number, task: () => void): Timer;

  /** Resolves after `delayMs` milliseconds. */
  delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(delayMs, resolve);
    });
  }
}
