/** Arithmetic of the lease under which everything on one worker runs. */

/** A worker's steady clock may run this much slow, as a part of 1; twice what the platform states would lose work early. */
const MAX_CLOCK_DRIFT = 0.02;

/** Added to the end of a lease before what ran under it counts as ended, in milliseconds: delivery and rounding. */
const EXPIRY_MARGIN_MS = 150;

/** Asked for beyond the estimate of the worker's clock, in milliseconds, since workers shorten what is too long. */
const REQUEST_MARGIN_MS = 200;

export interface WorkerLeaseOptions {
  readonly maxLeaseMs: number;
  readonly nowMs: number;
}

/**
 * Converts between this process's steady clock and the worker's, and knows
 * when everything on the worker has surely ended.
 *
 * @example
 * ```ts
 * const lease = new WorkerLease({ maxLeaseMs: 10_000, nowMs });
 * const untilMs = lease.request(nowMs);
 * ```
 */
export class WorkerLease {
  private clock: { readonly workerMs: number; readonly atMs: number } | null = null;
  private lastRequestAtMs: number;

  constructor(private readonly options: WorkerLeaseOptions) {
    // An earlier holder may have extended the lease until just now.
    this.lastRequestAtMs = options.nowMs;
  }

  /** Notes the worker's clock as read in an answer that has just arrived. */
  recordClock(workerMs: number, nowMs: number): void {
    this.clock = { workerMs, atMs: nowMs };
  }

  /** The end of the lease to ask for now, on the worker's clock; 0 before the worker has told its clock. */
  requestUntilMs(nowMs: number): number {
    const workerMs = this.workerClockMs(nowMs);
    if (workerMs === null) return 0;
    this.lastRequestAtMs = nowMs;
    return workerMs + this.options.maxLeaseMs - REQUEST_MARGIN_MS;
  }

  /** The worker's clock, at least as late as it really is. */
  workerClockMs(nowMs: number): number | null {
    return this.clock === null ? null : this.clock.workerMs + (nowMs - this.clock.atMs);
  }

  /** When, on this process's clock, the lease has surely lapsed if no later request was made. */
  expiredAtMs(): number {
    return this.lastRequestAtMs + this.options.maxLeaseMs / (1 - MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_MS;
  }
}
