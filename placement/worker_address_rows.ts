/** Rows that name where a worker was last known to be reached, for leaders that find no registry entry of it. */
import { z } from 'zod';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { RowAddress } from '../store/row_store';

export const WORKER_ADDRESS_TABLE = 'worker-addresses';

const workerAddressSchema = z.object({
  address: z.string(),
  startedAtMs: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
  poolId: z.string(),
  instanceId: z.string(),
  rack: z.string(),
  availabilityZone: z.string(),
  capacity: z.object({ processors: z.number(), memoryBytes: z.number(), accelerators: z.number() }),
});

export function workerAddressAddress(workerId: string): RowAddress {
  return { table: WORKER_ADDRESS_TABLE, partition: PLACEMENT_PARTITION, key: workerId };
}

export function encodeWorkerAddress(entry: WorkerEntry): string {
  const { address, startedAtMs, poolId, instanceId, rack, availabilityZone, capacity } = entry;
  return JSON.stringify({ address, startedAtMs, poolId, instanceId, rack, availabilityZone, capacity });
}

/** Returns an entry of a worker that takes no new tasks; `null` for a row that cannot be decoded. */
export function decodeWorkerAddress(workerId: string, value: string): WorkerEntry | null {
  try {
    const parsed = workerAddressSchema.safeParse(JSON.parse(value));
    if (!parsed.success) return null;
    return { ...parsed.data, workerId, state: 'ready', labels: [], remainingMs: null };
  } catch {
    return null;
  }
}
