/** Measures what each pool needs, from what runs and waits and from the rate at which work arrives. */

/** Arrivals of this time make up the rate, in milliseconds: shorter than the start of a burst, longer than its gaps. */
const RATE_WINDOW_MS = 1_500;

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
    this.arrivals = this.arrivals.filter(({ atMs }) => nowMs - atMs < RATE_WINDOW_MS);
    return this.arrivals.reduce((sum, { work }) => sum + work, 0) / RATE_WINDOW_MS;
  }
}
