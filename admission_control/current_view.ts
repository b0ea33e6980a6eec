/** The latest view of the pools, and since when it is known. */
import { MAX_VIEW_AGE_MS } from './admission_decision';
import type { AgedView, PressureView } from './pool_pressure';

/** What became of a received view. */
export type ViewOutcome = 'used' | 'first' | 'older';

/**
 * Keeps the latest view of the latest leader. A view that follows no other one within
 * {@link MAX_VIEW_AGE_MS} may have been written long before it was received; it begins a
 * series and is not used itself.
 *
 * @example
 * ```ts
 * current.receive(view, { nowMs: clock.monotonicMs(), isSnapshot: false });
 * const aged = current.at(clock.monotonicMs());
 * ```
 */
export class CurrentView {
  private latestEpoch = 0;
  private latestNumber = 0;
  private receivedAtMs = -Infinity;
  /** `null` while the latest view is the first of its series. */
  private usable: PressureView | null = null;

  /** Records the epoch of a leader; views of earlier ones are not used any more. */
  observeEpoch(epoch: number): void {
    if (epoch <= this.latestEpoch) return;
    this.latestEpoch = epoch;
    this.latestNumber = 0;
    this.receivedAtMs = -Infinity;
    this.usable = null;
  }

  /** `isSnapshot` says that the view was read with the whole table, whenever it was written. */
  receive(
    view: PressureView,
    { nowMs, isSnapshot }: { readonly nowMs: number; readonly isSnapshot: boolean },
  ): ViewOutcome {
    if (view.epoch < this.latestEpoch) return 'older';
    this.observeEpoch(view.epoch);
    if (view.number <= this.latestNumber) return 'older';
    const continues = !isSnapshot && nowMs - this.receivedAtMs < MAX_VIEW_AGE_MS;
    this.latestNumber = view.number;
    this.receivedAtMs = nowMs;
    this.usable = continues ? view : null;
    return continues ? 'used' : 'first';
  }

  /** The latest view with its age; `null` if none may be used. */
  at(nowMs: number): AgedView | null {
    return this.usable === null ? null : { view: this.usable, ageMs: nowMs - this.receivedAtMs };
  }
}
