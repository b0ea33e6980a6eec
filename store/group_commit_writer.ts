/** Creates rows with group commit: the rows of several callers share one transaction. */
import type { Clock } from '../kernel/clock';
import {
  addressKey,
  isStoreFailure,
  MAX_TRANSACTION_ROWS,
  StoreOutcomeUnknownError,
  StoreRefusedError,
  StoreUnavailableError,
  type RowAddress,
  type RowStore,
  type StoredRow,
} from './row_store';

/** Delay before rows are tried again after a conflict or an unknown outcome, in milliseconds. */
const RETRY_DELAY_MS = 60;

/** Maximum number of rows that one transaction creates; each counts twice, as a condition and as a write. */
const MAX_BATCH_ROWS = MAX_TRANSACTION_ROWS / 2;

/** Maximum size of the values in one transaction, in bytes; the store accepts 1 MB and encodes 3 bytes as 4. */
const MAX_BATCH_BYTES = 600_000;

interface PendingRow {
  readonly row: RowAddress & { readonly value: string };
  readonly deadlineAtMs: number;
  /** Whether an earlier attempt to create the row has an unknown outcome. */
  readonly mayHaveBeenApplied: boolean;
  readonly resolve: (isNew: boolean) => void;
  readonly reject: (error: Error) => void;
}

export interface GroupCommitWriterOptions {
  readonly store: RowStore;
  readonly clock: Clock;
}

/**
 * Creates rows of one partition. Rows that arrive while a transaction is in
 * progress are queued for the next one.
 *
 * @example
 * ```ts
 * const isNew = await writer.create({ ...jobAddress(id), value }, clock.monotonicMs() + 2_000);
 * ```
 */
export class GroupCommitWriter {
  private pending: readonly PendingRow[] = [];
  private isWriting = false;

  constructor(private readonly options: GroupCommitWriterOptions) {}

  /**
   * Resolves to `true` if the row was created and to `false` if it already
   * existed. Throws {@link StoreUnavailableError} if it was not created, and
   * {@link StoreOutcomeUnknownError} if that is still unknown at `deadlineAtMs`.
   */
  create(row: RowAddress & { readonly value: string }, deadlineAtMs: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      this.pending = [...this.pending, { row, deadlineAtMs, mayHaveBeenApplied: false, resolve, reject }];
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    // Lets further callers of the same turn add their rows to the transaction.
    await Promise.resolve();
    while (this.pending.length > 0) {
      const batch = nextBatch(this.pending);
      this.pending = this.pending.slice(batch.length);
      const retry = await this.write(batch);
      if (retry.length > 0) await this.options.clock.delay(RETRY_DELAY_MS);
      this.pending = [...retry, ...this.pending];
    }
    this.isWriting = false;
  }

  /** Writes a batch of rows. Returns the rows that have to be tried again. */
  private async write(batch: readonly PendingRow[]): Promise<readonly PendingRow[]> {
    try {
      const result = await this.options.store.transact({
        conditions: batch.map(({ row }) => ({ ...row, version: 0 })),
        writes: batch.map(({ row }) => row),
      });
      if (result.kind === 'conflict') return settleConflict(batch, result.rows);
      for (const { resolve } of batch) resolve(true);
      return [];
    } catch (error) {
      // One row may be to blame for all.
      if (error instanceof StoreRefusedError && batch.length > 1) return this.writeOneByOne(batch);
      if (isStoreFailure(error)) return this.settleFailure(batch, error instanceof StoreOutcomeUnknownError);
      // Only these callers fail; rows that arrive later are still written.
      const reason = error instanceof Error ? error : new Error(String(error));
      for (const { reject } of batch) reject(reason);
      return [];
    }
  }

  private async writeOneByOne(batch: readonly PendingRow[]): Promise<readonly PendingRow[]> {
    const retry: PendingRow[] = [];
    for (const pendingRow of batch) retry.push(...(await this.write([pendingRow])));
    return retry;
  }

  private settleFailure(batch: readonly PendingRow[], isOutcomeUnknown: boolean): readonly PendingRow[] {
    const nowMs = this.options.clock.monotonicMs();
    const retry: PendingRow[] = [];
    for (const pendingRow of batch) {
      if (!isOutcomeUnknown && !pendingRow.mayHaveBeenApplied) {
        pendingRow.reject(new StoreUnavailableError('The store did not create the row.'));
      } else if (nowMs >= pendingRow.deadlineAtMs) {
        pendingRow.reject(new StoreOutcomeUnknownError('It is unknown whether the row was created.'));
      } else {
        retry.push({ ...pendingRow, mayHaveBeenApplied: true });
      }
    }
    return retry;
  }
}

/** The first rows that fit into one transaction together, at least one. */
function nextBatch(pending: readonly PendingRow[]): readonly PendingRow[] {
  let bytes = 0;
  let count = 0;
  for (const { row } of pending.slice(0, MAX_BATCH_ROWS)) {
    bytes += Buffer.byteLength(row.value);
    if (count > 0 && bytes > MAX_BATCH_BYTES) break;
    count += 1;
  }
  return pending.slice(0, count);
}

/** Settles the rows that already exist, whoever created them, and returns the others to be tried again. */
function settleConflict(batch: readonly PendingRow[], rows: readonly StoredRow[]): readonly PendingRow[] {
  const existing = new Set(rows.map(addressKey));
  const retry: PendingRow[] = [];
  for (const pendingRow of batch) {
    if (existing.has(addressKey(pendingRow.row))) pendingRow.resolve(false);
    else retry.push(pendingRow);
  }
  return retry;
}
