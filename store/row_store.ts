/** Transactional rows that outlive every process; the platform's metadata store is reached through this type. */

/** Where a row lies. Rows of one partition are written by one transaction cheaply. */
export interface RowAddress {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** A row as read; `version` changes with every write of the row. */
export interface StoredRow extends RowAddress {
  readonly version: number;
  readonly value: string;
}

/** Requires a row to be at `version`; 0 means absent. */
export interface RowCondition extends RowAddress {
  readonly version: number;
}

/** Sets a row, or removes it when `value` is `null`. */
export interface RowWrite extends RowAddress {
  readonly value: string | null;
}

export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** `conflict` carries the current rows of the conditions; absent rows are left out. */
export type RowTransactionResult =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'conflict'; readonly rows: readonly StoredRow[] };

/** Keys from `from` (included) to `to` (excluded) of one partition. */
export interface RowRange {
  readonly table: string;
  readonly partition: string;
  readonly from?: string;
  readonly to?: string;
}

/** Rows of a range, and the store's version to follow changes from. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/** A change of a row; `value` is `null` when the row was removed. */
export interface RowChange extends RowAddress {
  readonly version: number;
  readonly value: string | null;
}

export interface RowChanges {
  readonly changes: readonly RowChange[];
  /** Where the next call continues. */
  readonly version: number;
}

/** The most rows that one transaction may name, conditions and writes together. */
export const MAX_TRANSACTION_ROWS = 100;

/** The store did not take the call: a transaction surely had no effect. */
export class StoreUnavailableError extends Error {
  override readonly name = 'StoreUnavailableError';
}

/** No answer arrived: a transaction may have taken effect, or may do so later if its conditions still hold. */
export class StoreOutcomeUnknownError extends Error {
  override readonly name = 'StoreOutcomeUnknownError';
}

/** The changes after the requested version are no longer kept; the rows have to be read anew. */
export class HistoryCompactedError extends Error {
  override readonly name = 'HistoryCompactedError';
}

/**
 * Linearizable rows with conditional transactions and a feed of changes.
 *
 * @example
 * ```ts
 * const address = { table: 'lease', partition: 'p', key: 'placement' };
 * const result = await store.transact({
 *   conditions: [{ ...address, version: 0 }],
 *   writes: [{ ...address, value: '{}' }],
 * });
 * ```
 */
export abstract class RowStore {
  /** Throws {@link StoreUnavailableError} or {@link StoreOutcomeUnknownError}. */
  abstract transact(transaction: RowTransaction): Promise<RowTransactionResult>;

  /** All rows of a range in key order. Throws {@link StoreUnavailableError}. */
  abstract read(range: RowRange): Promise<RowSnapshot>;

  /**
   * Changes of a table after `version`; waits up to `waitMs` milliseconds for the first one.
   * Throws {@link StoreUnavailableError} or {@link HistoryCompactedError}.
   */
  abstract changes(table: string, version: number, waitMs: number): Promise<RowChanges>;

  /** The row at an address, or `null`. Throws {@link StoreUnavailableError}. */
  async readOne(address: RowAddress): Promise<StoredRow | null> {
    const { table, partition, key } = address;
    const snapshot = await this.read({ table, partition, from: key, to: `${key}\u0000` });
    return snapshot.rows[0] ?? null;
  }
}

/** One string for an address, for use as a map key. */
export function addressKey({ table, partition, key }: RowAddress): string {
  return `${table}\u0000${partition}\u0000${key}`;
}

/** Whether an error says that the store could not be used, so that the caller may try again. */
export function isStoreFailure(error: unknown): boolean {
  return error instanceof StoreUnavailableError || error instanceof StoreOutcomeUnknownError;
}
