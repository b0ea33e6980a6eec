/** Measures the rate at which work arrives at a pool. */

/** A sliding window over which the arrival rate is computed. */
interface RateWindow {
  readonly lengthMs: number;
  /** With fewer arrivals the rate is taken as 0, because jobs differ widely in size. */
  readonly minArrivals: number;
}

/**
 * The arrival rate is the highest of the rates in these windows. The short window shows the start of
 * a burst early enough to move instances; the long one bridges gaps in a burst.
 */
const RATE_WINDOWS: readonly RateWindow[] = [
  { lengthMs: 600, minArrivals: 5 },
  { lengthMs: 1_500, minArrivals: 3 },
];

interface Arrival {
  readonly atMs: number;
  /** Core-milliseconds. */
  readonly work: number;
}

/** Arrivals at one pool. */
export class ArrivalRateMeter {
  private arrivals: readonly Arrival[] = [];

  recordArrival(atMs: number, work: number): void {
    this.arrivals = [...this.arrivals, { atMs, work }];
  }

  /** Number of processors that the current arrival rate keeps busy. */
  arrivingProcessors(nowMs: number): number {
    const longestMs = Math.max(...RATE_WINDOWS.map(({ lengthMs }) => lengthMs));
    this.arrivals = this.arrivals.filter(({ atMs }) => nowMs - atMs < longestMs);
    return Math.max(...RATE_WINDOWS.map((window) => this.rateIn(window, nowMs)));
  }

  private rateIn({ lengthMs, minArrivals }: RateWindow, nowMs: number): number {
    const recent = this.arrivals.filter(({ atMs }) => nowMs - atMs < lengthMs);
    if (recent.length < minArrivals) return 0;
    return recent.reduce((sum, { work }) => sum + work, 0) / lengthMs;
  }
}
