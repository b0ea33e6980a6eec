/** Row store in memory with faults that tests switch on; it stands in for the platform's store. */
import type { Clock } from '../kernel/clock';
import {
  addressKey,
  HistoryCompactedError,
  RowStore,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
  type RowChange,
  type RowChanges,
  type RowRange,
  type RowSnapshot,
  type RowTransaction,
  type RowTransactionResult,
  type StoredRow,
} from './row_store';

/** How the store misbehaves. */
export interface RowStoreFaults {
  /** Every call fails without effect. */
  readonly down: boolean;
  /** The next transactions take effect and their answers are lost. */
  readonly loseAnswers: number;
  /** The next transactions get no answer and take effect this many milliseconds later, if their conditions hold. */
  readonly applyDelayMs: number | null;
  /** Time that each answer takes, in milliseconds. */
  readonly responseDelayMs: number;
}

export const NO_ROW_STORE_FAULTS: RowStoreFaults = {
  down: false,
  loseAnswers: 0,
  applyDelayMs: null,
  responseDelayMs: 0,
};

/** The rows themselves; several {@link MemoryRowStore} clients share one. */
export class MemoryRows {
  private readonly rows = new Map<string, StoredRow>();
  private history: readonly RowChange[] = [];
  private historyFrom = 0;
  private version = 0;

  apply(transaction: RowTransaction): RowTransactionResult {
    const current = transaction.conditions.map((condition) => this.rows.get(addressKey(condition)));
    const holds = transaction.conditions.every(
      (condition, index) => (current[index]?.version ?? 0) === condition.version,
    );
    if (!holds) return { kind: 'conflict', rows: current.filter((row) => row !== undefined) };
    this.version += 1;
    for (const { table, partition, key, value } of transaction.writes) {
      const row = { table, partition, key, version: this.version };
      if (value === null) this.rows.delete(addressKey(row));
      else this.rows.set(addressKey(row), { ...row, value });
      this.history = [...this.history, { ...row, value }];
    }
    return { kind: 'committed', version: this.version };
  }

  read({ table, partition, from, to }: RowRange): RowSnapshot {
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.partition === partition)
      .filter(({ key }) => (from === undefined || key >= from) && (to === undefined || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { rows, version: this.version };
  }

  changes(table: string, version: number): RowChanges {
    if (version < this.historyFrom) throw new HistoryCompactedError('The history is no longer kept.');
    const changes = this.history.filter((change) => change.table === table && change.version > version);
    return { changes, version: this.version };
  }

  /** Drops the history, as the platform's store may. */
  compact(): void {
    this.history = [];
    this.historyFrom = this.version;
  }
}

/** How often a waiting {@link MemoryRowStore.changes} looks again, in milliseconds. */
const CHANGE_POLL_MS = 10;

/** One process's connection to the rows. */
export class MemoryRowStore extends RowStore {
  faults: RowStoreFaults = NO_ROW_STORE_FAULTS;
  /** Calls made so far. */
  calls = 0;

  constructor(
    private readonly shared: MemoryRows,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async transact(transaction: RowTransaction): Promise<RowTransactionResult> {
    await this.arrive();
    if (this.faults.applyDelayMs !== null) {
      this.clock.schedule(this.faults.applyDelayMs, () => this.shared.apply(transaction));
      throw new StoreOutcomeUnknownError('No answer arrived.');
    }
    const result = this.shared.apply(transaction);
    if (this.faults.loseAnswers > 0) {
      this.faults = { ...this.faults, loseAnswers: this.faults.loseAnswers - 1 };
      throw new StoreOutcomeUnknownError('The answer was lost.');
    }
    return result;
  }

  override async read(range: RowRange): Promise<RowSnapshot> {
    await this.arrive();
    return this.shared.read(range);
  }

  override async changes(table: string, version: number, waitMs: number): Promise<RowChanges> {
    await this.arrive();
    const untilMs = this.clock.monotonicMs() + waitMs;
    for (;;) {
      const found = this.shared.changes(table, version);
      if (found.changes.length > 0 || this.clock.monotonicMs() >= untilMs) return found;
      await this.clock.delay(CHANGE_POLL_MS);
      if (this.faults.down) throw new StoreUnavailableError('The store is down.');
    }
  }

  private async arrive(): Promise<void> {
    this.calls += 1;
    if (this.faults.responseDelayMs > 0) await this.clock.delay(this.faults.responseDelayMs);
    if (this.faults.down) throw new StoreUnavailableError('The store is down.');
  }
}
