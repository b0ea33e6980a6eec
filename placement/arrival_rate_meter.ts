/** Measures what each pool needs, from what runs and waits and from the rate at which work arrives. */

/** A time over which arrivals make up a rate. */
interface RateWindow {
  readonly lengthMs: number;
  /** Fewer arrivals say nothing: jobs differ in size by far. */
  readonly minArrivals: number;
}

/**
 * The rate is the higher one of these windows. The short one shows the start
 * of a burst before instances could arrive, the long one covers its gaps.
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

/** Work that arrives at one pool. */
export class ArrivalRateMeter {
  private arrivals: readonly Arrival[] = [];

  recordArrival(atMs: number, work: number): void {
    this.arrivals = [...this.arrivals, { atMs, work }];
  }

  /** Processors that would keep up with the work that arrives now. */
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
