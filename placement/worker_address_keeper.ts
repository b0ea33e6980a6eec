/** Keeps across leaders where workers are reached whose registry entry may be missing. */
import type { WorkerEntry } from '../scheduling/worker_entry';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowStore } from '../store/row_store';
import type { FencedWriter } from './fenced_writer';
import {
  decodeWorkerAddress,
  encodeWorkerAddress,
  WORKER_ADDRESS_TABLE,
  workerAddressAddress,
} from './worker_address_rows';

export interface WorkerAddressKeeperOptions {
  readonly store: RowStore;
  readonly writer: FencedWriter;
}

/**
 * A worker that cannot reach the store loses its registry entry while it runs tasks, and an
 * earlier leader that cannot reach the store either goes on renewing its lease. The next
 * leader has to reach the worker to take the lease over, so it needs the address.
 *
 * @example
 * ```ts
 * await addresses.load();
 * addresses.record(session.entry);
 * ```
 */
export class WorkerAddressKeeper {
  /** Stored values by worker. */
  private readonly rows = new Map<string, string>();

  constructor(private readonly options: WorkerAddressKeeperOptions) {}

  /** Reads what earlier leaders have stored. Throws the errors of {@link RowStore.read}. */
  async load(): Promise<void> {
    const address = { table: WORKER_ADDRESS_TABLE, partition: PLACEMENT_PARTITION };
    const { rows } = await this.options.store.read(address);
    for (const { key, value } of rows) this.rows.set(key, value);
  }

  /** The last known entry of a worker; `null` if none is stored. */
  entryOf(workerId: string): WorkerEntry | null {
    const value = this.rows.get(workerId);
    return value === undefined ? null : decodeWorkerAddress(workerId, value);
  }

  /** Stores where a worker is reached, unless that is stored already; comes before its first start. */
  record(entry: WorkerEntry): void {
    const value = encodeWorkerAddress(entry);
    if (this.rows.get(entry.workerId) === value) return;
    this.rows.set(entry.workerId, value);
    this.options.writer.stage({ ...workerAddressAddress(entry.workerId), value });
  }

  /** Removes the rows of workers that are not needed any more. */
  removeUnneeded(isNeeded: (workerId: string) => boolean): void {
    for (const workerId of this.rows.keys()) {
      if (isNeeded(workerId)) continue;
      this.rows.delete(workerId);
      this.options.writer.stage({ ...workerAddressAddress(workerId), value: null });
    }
  }
}
