/** Clock that moves only when told to, for tests and measurements. */
import { Clock, type Timer } from './clock';

interface PendingTimer {
  readonly dueMs: number;
  readonly sequence: number;
  readonly task: () => void;
}

/**
 * Deterministic clock.
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
  private sequence = 0;
  private readonly pending = new Set<PendingTimer>();

  override monotonicMs(): number {
    return this.nowMs;
  }

  override wallMs(): number {
    return this.nowMs;
  }

  override schedule(delayMs: number, task: () => void): Timer {
    this.sequence += 1;
    const timer: PendingTimer = { dueMs: this.nowMs + Math.max(0, delayMs), sequence: this.sequence, task };
    this.pending.add(timer);
    return {
      cancel: () => {
        this.pending.delete(timer);
      },
    };
  }

  /** Moves time forward by `ms` milliseconds and runs the timers that fall due, in order. */
  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    for (let next = this.earliest(endMs); next !== undefined; next = this.earliest(endMs)) {
      this.pending.delete(next);
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.task();
    }
    this.nowMs = endMs;
  }

  /** Like {@link advance}, in steps of `stepMs`, with pending promises settled after each step. */
  async advanceAsync(ms: number, stepMs = 10): Promise<void> {
    for (let leftMs = ms; leftMs > 0; leftMs -= stepMs) {
      this.advance(Math.min(stepMs, leftMs));
      await settlePromises();
    }
  }

  private earliest(endMs: number): PendingTimer | undefined {
    let first: PendingTimer | undefined;
    for (const timer of this.pending) {
      if (timer.dueMs > endMs) continue;
      if (first === undefined || timer.dueMs < first.dueMs) first = timer;
      else if (timer.dueMs === first.dueMs && timer.sequence < first.sequence) first = timer;
    }
    return first;
  }
}

/** Lets continuations and immediates that are already due run. */
export async function settlePromises(): Promise<void> {
  for (let round = 0; round < 4; round += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
