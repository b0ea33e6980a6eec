/** Interface to the platform's metadata store, whose transactional rows outlive the processes of the system. */

/** Identifies a row. A transaction within one partition is cheaper than one across partitions. */
export interface RowAddress {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** A row as read. Its `version` changes with every write of the row. */
export interface StoredRow extends RowAddress {
  readonly version: number;
  readonly value: string;
}

/** Requires a row to be at `version`; 0 requires the row not to exist. */
export interface RowCondition extends RowAddress {
  readonly version: number;
}

/** Sets the value of a row, or removes the row if `value` is `null`. */
export interface RowWrite extends RowAddress {
  readonly value: string | null;
}

export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** A `conflict` lists the current rows of the conditions; rows that do not exist are omitted. */
export type RowTransactionResult =
  | {
      readonly kind: 'committed';
      readonly version: number;
      /** Steady clock of the store when it responded, in milliseconds; `null` if the response lacks it. */
      readonly storeMs: number | null;
    }
  | { readonly kind: 'conflict'; readonly rows: readonly StoredRow[] };

/** Keys of one partition from `from` (inclusive) to `to` (exclusive). */
export interface RowRange {
  readonly table: string;
  readonly partition: string;
  readonly from?: string;
  readonly to?: string;
}

/** Rows of a range, and the store version from which the change feed continues. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[];
  readonly version: number;
  /** Steady clock of the store when it responded, in milliseconds; `null` if the response lacks it. */
  readonly storeMs: number | null;
}

/** A change of a row; `value` is `null` when the row was removed. */
export interface RowChange extends RowAddress {
  readonly version: number;
  readonly value: string | null;
}

export interface RowChanges {
  readonly changes: readonly RowChange[];
  /** Store version to pass to the next call. */
  readonly version: number;
}

/** Maximum number of rows in one transaction, conditions and writes together. */
export const MAX_TRANSACTION_ROWS = 100;

/**
 * Maximum size of a row's value, in bytes. The store accepts 65,536 bytes of base64, which
 * encodes 3 bytes as 4.
 */
export const MAX_ROW_VALUE_BYTES = 49_152;

/** The store did not process the call: a transaction was not applied and is safe to retry. */
export class StoreUnavailableError extends Error {
  override readonly name: string = 'StoreUnavailableError';
}

/**
 * The store refused the transaction itself, for example because a value is too large;
 * it was not applied, and the same transaction will be refused again.
 */
export class StoreRefusedError extends StoreUnavailableError {
  override readonly name = 'StoreRefusedError';
}

/** No response arrived: a transaction may have been applied, or may be applied later if its conditions still hold. */
export class StoreOutcomeUnknownError extends Error {
  override readonly name = 'StoreOutcomeUnknownError';
}

/** The store no longer retains the changes after the requested version; the rows have to be read again. */
export class HistoryCompactedError extends Error {
  override readonly name = 'HistoryCompactedError';
}

/**
 * Linearizable rows with conditional transactions and a change feed.
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

  /** Returns all rows of a range in key order. Throws {@link StoreUnavailableError}. */
  abstract read(range: RowRange): Promise<RowSnapshot>;

  /**
   * Returns the changes of a table after `version`; waits up to `waitMs` milliseconds for the first one.
   * Throws {@link StoreUnavailableError} or {@link HistoryCompactedError}.
   */
  abstract changes(table: string, version: number, waitMs: number): Promise<RowChanges>;

  /** Returns the row at an address, or `null` if there is none. Throws {@link StoreUnavailableError}. */
  async readOne(address: RowAddress): Promise<StoredRow | null> {
    const { table, partition, key } = address;
    const snapshot = await this.read({ table, partition, from: key, to: `${key}\u0000` });
    return snapshot.rows[0] ?? null;
  }
}

/** Encodes an address as a string for use as a map key. */
export function addressKey({ table, partition, key }: RowAddress): string {
  return `${table}\u0000${partition}\u0000${key}`;
}

/** Whether an error means that the store was unavailable or did not respond, so that the caller may retry. */
export function isStoreFailure(error: unknown): boolean {
  return error instanceof StoreUnavailableError || error instanceof StoreOutcomeUnknownError;
}
