/** Keeps a process informed of the rows of a table. */
import type { Clock } from '../kernel/clock';
import { HistoryCompactedError, isStoreFailure, type RowChange, type RowStore } from './row_store';

/** Pause after a failed call before the next one, in milliseconds; the configuration has to be in force 2 s after the store is back. */
const RETRY_MS = 150;

/**
 * After so many failed calls for changes in a row the table is read instead. It
 * holds one value of each row, while the changes that were missed may be too
 * many to arrive within the time limit over a slow link.
 */
const FAILURES_BEFORE_READING = 3;

export interface TableFollowerOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly table: string;
  readonly partitions: readonly string[];
  /** How long one call waits for a change, in milliseconds. A connection that has gone silent is noticed after it. */
  readonly waitMs: number;
  /** Pause between two calls, in milliseconds, so that a table that changes all the time costs few calls. */
  readonly pauseMs?: number;
  /** Receives changes in the order of their versions; `complete` says that rows which are not named do not exist. */
  readonly onChanges: (changes: readonly RowChange[], complete: boolean) => void;
  /** Called after every call, with whether the store answered. */
  readonly onContact?: (reached: boolean) => void;
}

/**
 * Reads a table once and follows its feed from there; reads it again when the
 * feed's history is gone.
 *
 * @example
 * ```ts
 * const follower = new TableFollower({ store, clock, table: 'op', partitions: [''], waitMs: 1500, onChanges });
 * void follower.run();
 * ```
 */
export class TableFollower {
  private stopped = false;
  private version: number | null = null;
  /** Calls that have failed in a row. */
  private failures = 0;

  constructor(private readonly options: TableFollowerOptions) {}

  /** Runs until {@link stop}; resolves then. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const reached = await this.step();
      if (this.isStopped()) return;
      this.failures = reached ? 0 : this.failures + 1;
      this.options.onContact?.(reached);
      if (!reached) await this.options.clock.delay(RETRY_MS);
      else if (this.options.pauseMs !== undefined) await this.options.clock.delay(this.options.pauseMs);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /** Whether the table has been read completely. */
  isLoaded(): boolean {
    return this.version !== null;
  }

  /** Reads the whole table; later changes follow by {@link run}. Throws as {@link RowStore.read}. */
  async load(): Promise<void> {
    const { store, table, partitions } = this.options;
    const snapshots = await Promise.all(partitions.map((partition) => store.read({ table, partition })));
    if (this.stopped) return;
    this.version = Math.min(...snapshots.map(({ version }) => version));
    this.options.onChanges(
      snapshots.flatMap(({ rows }) => rows),
      true,
    );
  }

  private isStopped(): boolean {
    return this.stopped;
  }

  private async step(): Promise<boolean> {
    try {
      if (this.version === null || this.mustRead()) await this.load();
      else await this.follow(this.version);
      return true;
    } catch (error) {
      if (error instanceof HistoryCompactedError) {
        this.version = null;
        return true;
      }
      if (isStoreFailure(error)) return false;
      throw error;
    }
  }

  /** Both ways are tried by turns, since either may be the one that fails. */
  private mustRead(): boolean {
    return this.failures >= FAILURES_BEFORE_READING && this.failures % 2 === 1;
  }

  private async follow(version: number): Promise<void> {
    const { store, table, waitMs } = this.options;
    // After a failure the first answer should show at once that the store is back.
    const page = await store.changes(table, version, this.failures > 0 ? 0 : waitMs);
    if (this.stopped) return;
    this.version = page.version;
    if (page.changes.length > 0) this.options.onChanges(page.changes, false);
  }
}
