/** Relates the store's clock, which all processes see, to this process's monotonic clock. */

/** A time that the store's clock showed at some moment while a call was in progress. */
export interface StoreClockSample {
  readonly storeMs: number;
  /** When the call was sent and when its response arrived, on the monotonic clock. */
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
}

/**
 * Converts with the latest sample, each direction towards the later time, so that a
 * deadline that two processes compute in turn never comes early.
 *
 * @example
 * ```ts
 * const clock = new StoreClock();
 * clock.observe({ storeMs: 70_000, sentAtMs: 1_000, receivedAtMs: 1_010 });
 * clock.toStoreMs(6_000, 500); // 75_000
 * clock.toLocalMs(75_000); // 6_010
 * ```
 */
export class StoreClock {
  private latest: StoreClockSample | null = null;

  observe(sample: StoreClockSample): void {
    if (this.latest === null || sample.sentAtMs >= this.latest.sentAtMs) this.latest = sample;
  }

  /**
   * The latest time that the store's clock may show at a moment of the monotonic clock, or
   * `null` unless a call was sent after `sinceMs`. The monotonic clock leaves out
   * suspensions, so that a deadline which began at `sinceMs` needs a later sample.
   */
  toStoreMs(localMs: number, sinceMs: number): number | null {
    if (this.latest === null || this.latest.sentAtMs <= sinceMs) return null;
    return this.latest.storeMs + (localMs - this.latest.sentAtMs);
  }

  /** The monotonic time at which the store's clock certainly shows `storeMs`; `null` before the first sample. */
  toLocalMs(storeMs: number): number | null {
    return this.latest === null ? null : this.latest.receivedAtMs + (storeMs - this.latest.storeMs);
  }
}
