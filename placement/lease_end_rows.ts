/** Rows that name when the lease of an unreachable worker has certainly ended. */
import { z } from 'zod';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowAddress } from '../store/row_store';

export const LEASE_END_TABLE = 'lease-ends';

const leaseEndSchema = z.object({
  /** Start of the worker's incarnation, by its own clock; 0 if unknown. */
  workerStartedAtMs: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
  /** Time on the store's clock from which nothing runs on that incarnation. */
  endsAtStoreMs: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
});

export type LeaseEndRow = Readonly<z.infer<typeof leaseEndSchema>>;

export function leaseEndAddress(workerId: string): RowAddress {
  return { table: LEASE_END_TABLE, partition: PLACEMENT_PARTITION, key: workerId };
}

export function encodeLeaseEnd(row: LeaseEndRow): string {
  return JSON.stringify(row);
}

/** Returns `null` for a row that cannot be decoded; the full lease of its worker is then awaited. */
export function decodeLeaseEnd(value: string): LeaseEndRow | null {
  try {
    const parsed = leaseEndSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
