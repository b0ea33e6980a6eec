/** Computes expiry times of the lease under which the tasks of one worker run. */

/**
 * Maximum fraction by which a worker's monotonic clock may run slow. If a clock were
 * twice as slow as the platform states, runs would count as ended too early.
 */
const MAX_CLOCK_DRIFT = 0.02;

/** Added to the end of a lease before its runs count as ended, in milliseconds, for delivery time and rounding. */
const EXPIRY_MARGIN_MS = 150;

/**
 * Subtracted from the longest lease when one is requested, in milliseconds, since a
 * worker shortens a request that exceeds it by the worker's own clock.
 */
const REQUEST_MARGIN_MS = 200;

/** Clocks are whole milliseconds. */
const CLOCK_ROUNDING_MS = 2;

export interface WorkerLeaseOptions {
  readonly maxLeaseMs: number;
  readonly nowMs: number;
  /** When a lease that an earlier leader stopped renewing has ended; `null` if that is not known. */
  readonly knownEndMs?: number | null;
}

/**
 * Converts between this process's monotonic clock and the worker's, and
 * determines when the runs on the worker have certainly ended.
 *
 * @example
 * ```ts
 * const lease = new WorkerLease({ maxLeaseMs: 10_000, nowMs });
 * const untilMs = lease.requestUntilMs(nowMs);
 * ```
 */
export class WorkerLease {
  private clock: { readonly workerMs: number; readonly atMs: number } | null = null;
  private lastRequestAtMs: number;
  private knownEndMs: number | null;

  constructor(private readonly options: WorkerLeaseOptions) {
    // An earlier leader may have renewed the lease until now, and requests none that lasts longer after that.
    this.lastRequestAtMs = options.nowMs;
    this.knownEndMs = options.knownEndMs ?? null;
  }

  /** When the lease was last requested, or this leader took over, on this process's monotonic clock. */
  requestedAtMs(): number {
    return this.lastRequestAtMs;
  }

  /** The worker's clock in the latest response; `null` before the first one. */
  lastWorkerClockMs(): number | null {
    return this.clock?.workerMs ?? null;
  }

  /** Records the worker's clock from a response that has just arrived. */
  recordClock(workerMs: number, nowMs: number): void {
    this.clock = { workerMs, atMs: nowMs };
  }

  /**
   * Whether a clock that the worker returned shows another incarnation, whose clock has
   * started again; `sentAtMs` is when the request was sent.
   */
  isClockOfOtherIncarnation(workerMs: number, sentAtMs: number): boolean {
    if (this.clock === null) return false;
    const elapsedMs = sentAtMs - this.clock.atMs;
    const minElapsedMs = elapsedMs > 0 ? elapsedMs * (1 - MAX_CLOCK_DRIFT) : elapsedMs;
    return workerMs < this.clock.workerMs + minElapsedMs - CLOCK_ROUNDING_MS;
  }

  /**
   * The end of the lease to request now, on the worker's clock; 0 before the worker's clock
   * is known. `sinceSoleLeaderMs` is the time since this process was last certain that no
   * successor leads: a successor counts the longest lease from its own start, and no later
   * request may outlast that.
   */
  requestUntilMs(nowMs: number, sinceSoleLeaderMs = 0): number {
    const workerMs = this.workerClockMs(nowMs);
    if (workerMs === null) return 0;
    this.lastRequestAtMs = nowMs;
    this.knownEndMs = null;
    // A slow clock of the worker shows less, and a request above its longest lease would outlast the expected end.
    const driftMs = (nowMs - (this.clock?.atMs ?? nowMs)) * MAX_CLOCK_DRIFT;
    const untilMs = workerMs - driftMs - sinceSoleLeaderMs + this.options.maxLeaseMs - REQUEST_MARGIN_MS;
    return Math.max(0, untilMs);
  }

  /**
   * Estimate of the worker's clock; `null` before the first response. It is behind by
   * the delivery time of that response.
   */
  workerClockMs(nowMs: number): number | null {
    return this.clock === null ? null : this.clock.workerMs + (nowMs - this.clock.atMs);
  }

  /**
   * Time on this process's monotonic clock at which the lease has certainly expired if
   * no later request is made.
   */
  expiredAtMs(): number {
    const latestEndMs =
      this.lastRequestAtMs + this.options.maxLeaseMs / (1 - MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_MS;
    return Math.min(latestEndMs, this.knownEndMs ?? Infinity);
  }
}
