/** Tells how long a permission that ends by time may be used, on a machine that may be suspended. */
import type { Clock } from '../kernel/clock';

/** A moment on both clocks of this process. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * The current moment.
 *
 * @example
 * ```ts
 * const sentAt = momentOf(clock);
 * ```
 */
export function momentOf(clock: Clock): Moment {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/**
 * Time since a moment by the clock that shows more: the monotonic clock leaves out the
 * time for which the machine was suspended, and the wall clock may jump.
 *
 * @example
 * ```ts
 * const sentAt = momentOf(clock);
 * await call();
 * const tookMs = elapsedMs(clock, sentAt);
 * ```
 */
export function elapsedMs(clock: Clock, since: Moment): number {
  const { monotonicMs, wallMs } = momentOf(clock);
  return Math.max(monotonicMs - since.monotonicMs, wallMs - since.wallMs);
}

/**
 * A permission is valid only while both clocks say so. The monotonic clock leaves out the
 * time for which the machine was suspended, and the wall clock may jump: after a jump
 * forward the permission has to be renewed although it had not ended, and after a jump
 * backward the monotonic clock decides.
 *
 * @example
 * ```ts
 * const window = new ValidityWindow(clock, 1_750, momentOf(clock));
 * window.renew(sentAt); // when the call that renewed the permission was sent
 * if (window.isOpen()) sendCommand();
 * ```
 */
export class ValidityWindow {
  constructor(
    private readonly clock: Clock,
    private readonly lengthMs: number,
    private since: Moment,
  ) {}

  /** Extends the permission; `since` is the moment at which the renewing call was sent. */
  renew(since: Moment): void {
    this.since = since;
  }

  isOpen(): boolean {
    return elapsedMs(this.clock, this.since) < this.lengthMs;
  }
}
