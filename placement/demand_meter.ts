/** Measures what each pool needs, from what runs and waits and from the rate at which work arrives. */

/**
 * The rate is the higher one of these times, in milliseconds. The short one
 * shows the start of a burst before instances could arrive, the long one
 * covers the gaps in it.
 */
const RATE_WINDOWS_MS: readonly number[] = [600, 1_500];

interface Arrival {
  readonly atMs: number;
  /** Core-milliseconds. */
  readonly work: number;
}

/** Work that arrives at one pool. */
export class DemandMeter {
  private arrivals: readonly Arrival[] = [];

  note(atMs: number, work: number): void {
    this.arrivals = [...this.arrivals, { atMs, work }];
  }

  /** Processors that would keep up with the work that arrives now. */
  arrivingProcessors(nowMs: number): number {
    this.arrivals = this.arrivals.filter(({ atMs }) => nowMs - atMs < Math.max(...RATE_WINDOWS_MS));
    return Math.max(...RATE_WINDOWS_MS.map((windowMs) => this.rateOver(windowMs, nowMs)));
  }

  private rateOver(windowMs: number, nowMs: number): number {
    const recent = this.arrivals.filter(({ atMs }) => nowMs - atMs < windowMs);
    return recent.reduce((sum, { work }) => sum + work, 0) / windowMs;
  }
}
