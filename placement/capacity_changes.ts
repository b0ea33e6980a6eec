/** Logs changes of the capacity of running workers. */
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { PlacementState } from './placement_state';
import type { WorkerSession } from './worker_session';

export interface CapacityChangeOptions {
  readonly state: PlacementState;
  readonly counters: Counters;
  readonly logger: Logger;
}

/**
 * Logs and counts a new entry that gives another capacity for the same incarnation.
 *
 * @example
 * ```ts
 * logCapacityChange(fleet.get(workerId), entry, { state, counters, logger });
 * ```
 */
export function logCapacityChange(
  session: WorkerSession | undefined,
  entry: WorkerEntry | null,
  { state, counters, logger }: CapacityChangeOptions,
): void {
  if (entry === null || session?.entry.startedAtMs !== entry.startedAtMs) return;
  const { workerId, poolId, capacity: after } = entry;
  const before = session.entry.capacity;
  if (
    before.processors === after.processors &&
    before.memoryBytes === after.memoryBytes &&
    before.accelerators === after.accelerators
  )
    return;
  const occupied = state.occupancy.onWorker(workerId);
  counters.increment('workers.capacity_changed');
  logger.info(LOG_EVENTS.workerCapacityChanged, { workerId, poolId, before, after, occupied });
}
