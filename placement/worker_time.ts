/** Unix time by the workers' clocks. */
import type { Clock } from '../kernel/clock';
import type { WorkerFleet } from './worker_fleet';

/**
 * The median of the workers' clocks, which jumps of this machine's wall clock do not
 * affect; the wall clock before any worker has responded.
 *
 * @example
 * ```ts
 * const isDue = workerTime.unixMs() >= dueAtMs;
 * ```
 */
export class WorkerTime {
  /** Difference to the monotonic clock; `null` before it has been read. */
  private offsetMs: number | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly fleet: WorkerFleet,
  ) {}

  /** Reads the workers' clocks again. */
  refresh(): void {
    this.offsetMs = this.readOffset();
  }

  unixMs(): number {
    this.offsetMs ??= this.readOffset();
    return this.offsetMs === null ? this.clock.wallMs() : this.clock.monotonicMs() + this.offsetMs;
  }

  private readOffset(): number | null {
    const nowMs = this.clock.monotonicMs();
    const offsets: number[] = [];
    for (const session of this.fleet.all()) {
      const reading = session.unixMs();
      if (reading !== null) offsets.push(reading - nowMs);
    }
    offsets.sort((a, b) => a - b);
    return offsets[Math.floor(offsets.length / 2)] ?? null;
  }
}
