/** Clock that advances only on request, for tests and simulations. */
import { Clock, type Timer } from './clock';

interface PendingTimer {
  readonly dueAtMs: number;
  /** Rises with each timer; orders timers that are due at the same time. */
  readonly sequence: number;
  readonly callback: () => void;
}

/**
 * Deterministic clock. Timers that are due at the same time run in the order in which they were scheduled.
 *
 * @example
 * ```ts
 * const clock = new VirtualClock();
 * clock.schedule(100, () => console.log('due'));
 * clock.advance(100); // prints "due"
 * ```
 */
export class VirtualClock extends Clock {
  private nowMs = 0;
  private wallOffsetMs = 0;
  private sequence = 0;
  private readonly pendingTimers = new Set<PendingTimer>();

  override monotonicMs(): number {
    return this.nowMs;
  }

  override wallMs(): number {
    return this.nowMs + this.wallOffsetMs;
  }

  /** Moves the wall clock, as a jump does, or a suspension of the machine. */
  jumpWall(offsetMs: number): void {
    this.wallOffsetMs += offsetMs;
  }

  override schedule(delayMs: number, callback: () => void): Timer {
    this.sequence += 1;
    const timer: PendingTimer = {
      dueAtMs: this.nowMs + Math.max(0, delayMs),
      sequence: this.sequence,
      callback,
    };
    this.pendingTimers.add(timer);
    return {
      cancel: () => {
        this.pendingTimers.delete(timer);
      },
    };
  }

  /** Advances the time by `durationMs` milliseconds and runs the timers that come due, in order. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (let next = this.earliestDue(endMs); next !== undefined; next = this.earliestDue(endMs)) {
      this.pendingTimers.delete(next);
      this.nowMs = Math.max(this.nowMs, next.dueAtMs);
      next.callback();
    }
    this.nowMs = endMs;
  }

  /** Like {@link advance}, in steps of `stepMs`; promise continuations run after each step. */
  async advanceAsync(durationMs: number, stepMs = 10): Promise<void> {
    for (let remainingMs = durationMs; remainingMs > 0; remainingMs -= stepMs) {
      this.advance(Math.min(stepMs, remainingMs));
      await settlePromises();
    }
  }

  private earliestDue(endMs: number): PendingTimer | undefined {
    let first: PendingTimer | undefined;
    for (const timer of this.pendingTimers) {
      if (timer.dueAtMs > endMs) continue;
      if (first === undefined || timer.dueAtMs < first.dueAtMs) first = timer;
      else if (timer.dueAtMs === first.dueAtMs && timer.sequence < first.sequence) first = timer;
    }
    return first;
  }
}

/** Resolves after the queued promise continuations and immediates have run. */
export async function settlePromises(): Promise<void> {
  for (let round = 0; round < 4; round += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
