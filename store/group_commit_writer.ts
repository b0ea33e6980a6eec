/** Creates rows, several callers' in one transaction. */
import type { Clock } from '../kernel/clock';
import {
  addressKey,
  isStoreFailure,
  MAX_TRANSACTION_ROWS,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
  type RowAddress,
  type RowStore,
  type StoredRow,
} from './row_store';

/** Pause before a transaction without an answer is tried again, in milliseconds. */
const RETRY_MS = 60;

/** Rows of one transaction; each has a condition and a write. */
const MAX_ROWS = MAX_TRANSACTION_ROWS / 2;

interface Waiting {
  readonly row: RowAddress & { readonly value: string };
  readonly untilMs: number;
  /** Whether an earlier attempt may have taken effect. */
  readonly isUncertain: boolean;
  readonly resolve: (isNew: boolean) => void;
  readonly reject: (error: Error) => void;
}

export interface GroupWriterOptions {
  readonly store: RowStore;
  readonly clock: Clock;
}

/**
 * Creates rows of one partition. While a transaction is under way, further rows
 * gather for the next one.
 *
 * @example
 * ```ts
 * const isNew = await writer.create({ ...jobAddress(id), value }, clock.monotonicMs() + 2_000);
 * ```
 */
export class GroupCommitWriter {
  private waiting: readonly Waiting[] = [];
  private isBusy = false;

  constructor(private readonly options: GroupWriterOptions) {}

  /**
   * Resolves with whether the row is new; `false` if it was there already.
   * Throws {@link StoreUnavailableError} if it surely does not exist, and
   * {@link StoreOutcomeUnknownError} if that is not known at `untilMs`.
   */
  create(row: RowAddress & { readonly value: string }, untilMs: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      this.waiting = [...this.waiting, { row, untilMs, isUncertain: false, resolve, reject }];
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    if (this.isBusy) return;
    this.isBusy = true;
    // Callers of the same turn share the transaction.
    await Promise.resolve();
    while (this.waiting.length > 0) {
      const batch = this.waiting.slice(0, MAX_ROWS);
      this.waiting = this.waiting.slice(MAX_ROWS);
      const retry = await this.write(batch);
      if (retry.length > 0) await this.options.clock.delay(RETRY_MS);
      this.waiting = [...retry, ...this.waiting];
    }
    this.isBusy = false;
  }

  /** Returns what has to be tried again. */
  private async write(batch: readonly Waiting[]): Promise<readonly Waiting[]> {
    try {
      const result = await this.options.store.transact({
        conditions: batch.map(({ row }) => ({ ...row, version: 0 })),
        writes: batch.map(({ row }) => row),
      });
      if (result.kind === 'conflict') return settleExisting(batch, result.rows);
      for (const { resolve } of batch) resolve(true);
      return [];
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      return this.afterFailure(batch, error instanceof StoreOutcomeUnknownError);
    }
  }

  private afterFailure(batch: readonly Waiting[], isUnknown: boolean): readonly Waiting[] {
    const nowMs = this.options.clock.monotonicMs();
    const retry: Waiting[] = [];
    for (const waiting of batch) {
      if (!isUnknown && !waiting.isUncertain) {
        waiting.reject(new StoreUnavailableError('The store did not take the row.'));
      } else if (nowMs >= waiting.untilMs) {
        waiting.reject(new StoreOutcomeUnknownError('Whether the row was created is not known.'));
      } else {
        retry.push({ ...waiting, isUncertain: true });
      }
    }
    return retry;
  }
}

/** Rows that exist already are done, whoever created them; the others are written again. */
function settleExisting(batch: readonly Waiting[], rows: readonly StoredRow[]): readonly Waiting[] {
  const existing = new Set(rows.map(addressKey));
  const retry: Waiting[] = [];
  for (const waiting of batch) {
    if (existing.has(addressKey(waiting.row))) waiting.resolve(false);
    else retry.push(waiting);
  }
  return retry;
}
