/** Saves the product's tables to a file, and restores them into an empty store. */
import { BURST_MEMORY_TABLE } from '../placement/burst_memory_rows';
import { LEASE_ADDRESS } from '../placement/lease_row';
import { queueStatusAddress } from '../placement/queue_status';
import { SHARE_ADDRESS } from '../placement/share_rows';
import { WAVE_TABLE } from '../placement/wave_rows';
import { PROCESS_PARTITION, PROCESS_TABLE } from '../relay/process_registry';
import { JOB_PARTITIONS, JOB_TABLE, PLACEMENT_PARTITION, PROGRESS_TABLE } from '../scheduling/job_rows';
import type { RowStore } from '../store/row_store';
import {
  decodeSnapshot,
  encodeSnapshot,
  restoreSnapshot,
  takeSnapshot,
  type TablePartition,
} from '../store/store_snapshot';

const PLACEMENT_TABLES = [
  LEASE_ADDRESS.table,
  PROGRESS_TABLE,
  WAVE_TABLE,
  queueStatusAddress('').table,
  BURST_MEMORY_TABLE,
  SHARE_ADDRESS.table,
];

/**
 * All tables that the product writes, besides the status rows for operators, which the
 * leader writes again, and the ends of leases, which are times on the clock of one store.
 */
export const PRODUCT_TABLES: readonly TablePartition[] = [
  ...PLACEMENT_TABLES.map((table) => ({ table, partition: PLACEMENT_PARTITION })),
  ...JOB_PARTITIONS.map((partition) => ({ table: JOB_TABLE, partition })),
  { table: PROCESS_TABLE, partition: PROCESS_PARTITION },
];

export interface SnapshotFiles {
  readonly readFile: (path: string) => Promise<string>;
  readonly writeFile: (path: string, text: string) => Promise<void>;
}

/** Resolves to the text to print. Throws `SnapshotError` and `StoreUnavailableError`. */
export async function saveSnapshot(store: RowStore, file: string, files: SnapshotFiles): Promise<string> {
  const rows = await takeSnapshot(store, PRODUCT_TABLES, LEASE_ADDRESS);
  await files.writeFile(file, encodeSnapshot(rows));
  return `${rows.length} rows saved to ${file}.\n`;
}

/**
 * Restores a snapshot; the lease comes last, so that no process leads before all rows are
 * there. Workers and instances accept only tokens above those that they have seen, which
 * is why the lease with its epoch is part of the snapshot. Throws as {@link saveSnapshot}.
 */
export async function loadSnapshot(store: RowStore, file: string, files: SnapshotFiles): Promise<string> {
  const rows = decodeSnapshot(await files.readFile(file));
  const count = await restoreSnapshot(store, rows, { partitions: PRODUCT_TABLES, last: LEASE_ADDRESS });
  return `${count} rows restored from ${file}.\n`;
}
