/** A worker's registry entry. */
import type { Resources } from '../model/resources';

/**
 * One incarnation of a worker: the process that runs tasks on an instance, from its start to its end.
 * The decoder accepts no other values than those that are documented here.
 */
export interface WorkerEntry {
  /** 1 to 200 printable ASCII characters without spaces. */
  readonly workerId: string;
  readonly poolId: string;
  /** IPv4 address and port from 1 to 65535. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly state: 'ready' | 'draining';
  /**
   * When this incarnation started, in Unix milliseconds; a worker may restart under the
   * same id. A safe integer; 0 if the entry does not contain it.
   */
  readonly startedAtMs: number;
  /** Amounts from 0 to 100,000 processors, 2^50 bytes and 100,000 accelerators. */
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /**
   * Minimum time for which a draining worker keeps running, in milliseconds; `null` if
   * the entry does not contain it. At most 2^53 - 1.
   */
  readonly remainingMs: number | null;
  /** The instance on which the worker runs; empty if the entry does not contain it. */
  readonly instanceId: string;
}
