/** A worker as it registers itself. */
import type { Resources } from '../model/resources';

/** One life of an instance that runs tasks. */
export interface WorkerEntry {
  readonly workerId: string;
  readonly poolId: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly state: 'ready' | 'draining';
  /** When this incarnation started, in Unix milliseconds; a worker may start again under its id. */
  readonly startedAtMs: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /** Least time that a draining worker still serves, in milliseconds; `null` if it does not say. */
  readonly remainingMs: number | null;
  /** The instance that this worker is a life of; empty if the entry does not name it. */
  readonly instanceId: string;
}
