/** Maintenance waves that operators request. */

/** Requests that each of the instances is maintained once within the time limit. */
export interface MaintenanceWave {
  readonly waveNumber: number;
  readonly instanceIds: readonly string[];
  /** Time from the request until the wave should be completed, in milliseconds. */
  readonly timeLimitMs: number;
  /** Maximum number of instances of the wave that may be down for maintenance at once. */
  readonly maxConcurrent: number;
}
