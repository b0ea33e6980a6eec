/** A worker's registry entry. */
import type { Resources } from '../model/resources';

/** One incarnation of a worker: the process that runs tasks on an instance, from its start to its end. */
export interface WorkerEntry {
  readonly workerId: string;
  readonly poolId: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly state: 'ready' | 'draining';
  /**
   * When this incarnation started, in Unix milliseconds; a worker may restart under the
   * same id. 0 if the entry does not contain it.
   */
  readonly startedAtMs: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /**
   * Minimum time for which a draining worker keeps running, in milliseconds; `null` if
   * the entry does not contain it.
   */
  readonly remainingMs: number | null;
  /** The instance on which the worker runs; empty if the entry does not contain it. */
  readonly instanceId: string;
}
