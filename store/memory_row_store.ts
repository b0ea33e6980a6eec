/** In-memory row store with fault injection, as a test double of the platform's store. */
import type { Clock } from '../kernel/clock';
import {
  addressKey,
  HistoryCompactedError,
  MAX_ROW_VALUE_BYTES,
  RowStore,
  StoreOutcomeUnknownError,
  StoreRefusedError,
  StoreUnavailableError,
  type RowChange,
  type RowChanges,
  type RowRange,
  type RowSnapshot,
  type RowTransaction,
  type RowTransactionResult,
  type RowWrite,
  type StoredRow,
} from './row_store';

/** Faults that the store injects. */
export interface RowStoreFaults {
  /** Every call fails and is not applied. */
  readonly down: boolean;
  /** Number of coming transactions that are applied and whose response is lost. */
  readonly loseAnswers: number;
  /**
   * If set, transactions get no response and are applied after this time, in
   * milliseconds, if their conditions hold then.
   */
  readonly applyDelayMs: number | null;
  /** Time that passes before a call is processed, in milliseconds. */
  readonly responseDelayMs: number;
}

export const NO_ROW_STORE_FAULTS: RowStoreFaults = {
  down: false,
  loseAnswers: 0,
  applyDelayMs: null,
  responseDelayMs: 0,
};

/** The rows of the store, which several {@link MemoryRowStore} clients share. */
export class MemoryRows {
  private readonly rows = new Map<string, StoredRow>();
  /** Changes in version order; {@link compact} drops them. */
  private history: RowChange[] = [];
  private historyStartVersion = 0;
  private version = 0;
  /** Rows that the store refuses to write. */
  refuses: (row: RowWrite) => boolean = () => false;

  /**
   * Applies a transaction; throws {@link StoreRefusedError} for a value that is too large. `nowMs` is what the store's clock shows.
   */
  apply(transaction: RowTransaction, nowMs = performance.now()): RowTransactionResult {
    for (const write of transaction.writes)
      if (Buffer.byteLength(write.value ?? '') > MAX_ROW_VALUE_BYTES || this.refuses(write))
        throw new StoreRefusedError(`The row ${write.key} was refused.`);
    const currentRows = transaction.conditions.map((condition) => this.rows.get(addressKey(condition)));
    const conditionsHold = transaction.conditions.every(
      (condition, index) => (currentRows[index]?.version ?? 0) === condition.version,
    );
    if (!conditionsHold) return { kind: 'conflict', rows: currentRows.filter((row) => row !== undefined) };
    this.version += 1;
    for (const { table, partition, key, value } of transaction.writes) {
      const row = { table, partition, key, version: this.version };
      if (value === null) this.rows.delete(addressKey(row));
      else this.rows.set(addressKey(row), { ...row, value });
      this.history.push({ ...row, value });
    }
    return { kind: 'committed', version: this.version, storeMs: nowMs };
  }

  read({ table, partition, from, to }: RowRange, nowMs = performance.now()): RowSnapshot {
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.partition === partition)
      .filter(({ key }) => (from === undefined || key >= from) && (to === undefined || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { rows, version: this.version, storeMs: nowMs };
  }

  changes(table: string, version: number): RowChanges {
    if (version < this.historyStartVersion)
      throw new HistoryCompactedError('The change history has been compacted.');
    const from = this.history.findLastIndex((change) => change.version <= version) + 1;
    const changes = this.history.slice(from).filter((change) => change.table === table);
    return { changes, version: this.version };
  }

  /** Drops the change history, as the platform's store may do. */
  compact(): void {
    this.history = [];
    this.historyStartVersion = this.version;
  }
}

/** Interval at which a waiting {@link MemoryRowStore.changes} checks for changes, in milliseconds. */
const CHANGE_POLL_INTERVAL_MS = 10;

/** One client's connection to shared rows; each client has its own faults. */
export class MemoryRowStore extends RowStore {
  faults: RowStoreFaults = NO_ROW_STORE_FAULTS;
  /** Number of calls made. */
  calls = 0;

  constructor(
    private readonly rows: MemoryRows,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async transact(transaction: RowTransaction): Promise<RowTransactionResult> {
    await this.awaitArrival();
    if (this.faults.applyDelayMs !== null) {
      this.clock.schedule(this.faults.applyDelayMs, () =>
        this.rows.apply(transaction, this.clock.monotonicMs()),
      );
      throw new StoreOutcomeUnknownError('No response arrived.');
    }
    const result = this.rows.apply(transaction, this.clock.monotonicMs());
    if (this.faults.loseAnswers > 0) {
      this.faults = { ...this.faults, loseAnswers: this.faults.loseAnswers - 1 };
      throw new StoreOutcomeUnknownError('The response was lost.');
    }
    return result;
  }

  override async read(range: RowRange): Promise<RowSnapshot> {
    await this.awaitArrival();
    return this.rows.read(range, this.clock.monotonicMs());
  }

  override async changes(table: string, version: number, waitMs: number): Promise<RowChanges> {
    await this.awaitArrival();
    const deadlineAtMs = this.clock.monotonicMs() + waitMs;
    for (;;) {
      const result = this.rows.changes(table, version);
      if (result.changes.length > 0 || this.clock.monotonicMs() >= deadlineAtMs) return result;
      await this.clock.delay(CHANGE_POLL_INTERVAL_MS);
      if (this.faults.down) throw new StoreUnavailableError('The store is down.');
    }
  }

  private async awaitArrival(): Promise<void> {
    this.calls += 1;
    if (this.faults.responseDelayMs > 0) await this.clock.delay(this.faults.responseDelayMs);
    if (this.faults.down) throw new StoreUnavailableError('The store is down.');
  }
}
