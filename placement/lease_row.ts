/** The row that says which process holds the placement role. */
import { z } from 'zod';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowAddress } from '../store/row_store';

export const LEASE_ADDRESS: RowAddress = { table: 'lease', partition: PLACEMENT_PARTITION, key: 'placement' };

const leaseRowSchema = z.object({
  /** Machine of the holder; empty once it has been given back. */
  nodeName: z.string(),
  /** Process of the holder, unique over restarts. */
  processId: z.string(),
  /** Rises with every change of holder; fences orders to workers and instances. */
  epoch: z.int().min(0),
  /** Rises with every transaction of the holder, so that it recognizes its own ones. */
  sequence: z.int().min(0),
});

export type LeaseRow = Readonly<z.infer<typeof leaseRowSchema>>;

export const NO_LEASE: LeaseRow = { nodeName: '', processId: '', epoch: 0, sequence: 0 };

/** Throws `ZodError` if the row is not readable. */
export function decodeLease(value: string): LeaseRow {
  return leaseRowSchema.parse(JSON.parse(value));
}

export function encodeLease(row: LeaseRow): string {
  return JSON.stringify(row);
}
