/** The row that names the process that holds the placement lease. */
import { z } from 'zod';
import { decodeJsonRow, PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowAddress } from '../store/row_store';

export const LEASE_ADDRESS: RowAddress = { table: 'lease', partition: PLACEMENT_PARTITION, key: 'placement' };

const leaseRowSchema = z.object({
  /** Machine of the leader; empty once the lease has been released. */
  nodeName: z.string(),
  /** Id of the leader's process, different after every restart; empty once the lease has been released. */
  processId: z.string(),
  /**
   * Fencing token: rises with each leader, so that workers and the instance service
   * reject commands of earlier leaders.
   */
  epoch: z.int().min(0),
  /** Rises with each transaction that the leader sends. */
  sequence: z.int().min(0),
});

export type LeaseRow = Readonly<z.infer<typeof leaseRowSchema>>;

export const NO_LEASE: LeaseRow = { nodeName: '', processId: '', epoch: 0, sequence: 0 };

/** Throws {@link RowFormatError} if the row cannot be decoded. */
export function decodeLease(value: string): LeaseRow {
  return decodeJsonRow(leaseRowSchema, value);
}

export function encodeLease(row: LeaseRow): string {
  return JSON.stringify(row);
}
