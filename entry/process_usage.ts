/** Resource usage of this process. */

export interface ProcessUsage {
  /** Processor time since the start, user and system together, in milliseconds. */
  readonly cpuMs: number;
  /** Time since the start, in milliseconds. */
  readonly upMs: number;
  /** Resident memory, in bytes. */
  readonly residentBytes: number;
  /** JavaScript heap in use, in bytes. */
  readonly heapBytes: number;
}

/** Reads the usage of the running process. */
export function processUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return {
    cpuMs: (user + system) / 1_000,
    upMs: process.uptime() * 1_000,
    residentBytes: rss,
    heapBytes: heapUsed,
  };
}
