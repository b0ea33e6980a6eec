/** A maintenance wave as the operator orders it. */

/** Asks that each of these instances is maintained once within the term. */
export interface MaintenanceWave {
  readonly waveNumber: number;
  readonly instanceIds: readonly string[];
  /** Time from the order until the wave should be completed, in milliseconds. */
  readonly timeLimitMs: number;
  /** Most instances of the wave that may be down for maintenance at once. */
  readonly maxConcurrent: number;
}
