/** The load of the leader benchmark, as both of its processes know it. */

/** A load that the leader carries while it is measured. */
export interface LeaderLoad {
  readonly workers: number;
  /** Tasks that callers hand in each second. */
  readonly startsPerSecond: number;
  readonly seconds: number;
}

/** Addresses of the stand-ins, which their process reports once it serves. */
export interface StandinAddresses {
  readonly store: string;
  readonly instances: string;
}

export const POOLS: readonly string[] = ['pool-1', 'pool-2', 'pool-3', 'pool-4'];
export const TEAM_COUNT = 30;
/** Tasks of one job. */
export const TASKS_PER_JOB = 8;
/** Run time of a task, in milliseconds. */
export const RUN_TIME_MS = 640;
export const MAX_LEASE_MS = 6_000;
