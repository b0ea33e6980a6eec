/** Follows the rows of a store table: a full read, then the change feed. */
import type { Clock } from '../kernel/clock';
import { HistoryCompactedError, isStoreFailure, type RowChange, type RowStore } from './row_store';

/**
 * Delay after a failed call, in milliseconds. It is short because the
 * configuration has to be in force 2 s after the store is reachable again.
 */
const RETRY_DELAY_MS = 150;

/**
 * Number of consecutive failed feed calls after which the whole table is read
 * instead. A full read returns one value for each row, whereas the missed
 * changes may be too many to arrive within the time limit over a slow link.
 */
const FAILURES_BEFORE_FULL_READ = 3;

/** An error that is no failure of the store. */
export interface FollowerFailure {
  readonly table: string;
  /** The row that was not handled; `null` if the error has another cause than one row. */
  readonly key: string | null;
  readonly error: unknown;
}

export interface TableFollowerOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly table: string;
  readonly partitions: readonly string[];
  /**
   * Time for which one feed call waits for a change, in milliseconds. A connection
   * that has failed without an error is detected only after this time.
   */
  readonly waitMs: number;
  /**
   * Pause between two calls, in milliseconds. It limits the number of calls for a
   * table that changes constantly.
   */
  readonly pauseMs?: number;
  /**
   * Called with changes in version order; if `isComplete`, rows that are not listed do not
   * exist. If it throws, it is called again with each of the changes alone, so that only
   * rows that cannot be handled are left out.
   */
  readonly onChanges: (changes: readonly RowChange[], isComplete: boolean) => void;
  /** Called with each error that is no failure of the store, after which the follower goes on. */
  readonly onFailure: (failure: FollowerFailure) => void;
  /** Called after every call, with whether the store responded, and when the call began on the monotonic clock. */
  readonly onContact?: (isReachable: boolean, beganAtMs: number) => void;
}

/**
 * Reads a table once and then follows its change feed; reads it again when the
 * store no longer retains the changes.
 *
 * @example
 * ```ts
 * const follower = new TableFollower({ store, clock, table: 'op', partitions: [''], waitMs: 1500, onChanges, onFailure });
 * void follower.run();
 * ```
 */
export class TableFollower {
  private stopped = false;
  private version: number | null = null;
  private consecutiveFailures = 0;

  constructor(private readonly options: TableFollowerOptions) {}

  /** Follows the table until {@link stop} is called and the call in progress has ended. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const beganAtMs = this.options.clock.monotonicMs();
      const isReachable = await this.poll();
      if (this.isStopped()) return;
      this.consecutiveFailures = isReachable ? 0 : this.consecutiveFailures + 1;
      this.options.onContact?.(isReachable, beganAtMs);
      if (!isReachable) await this.options.clock.delay(RETRY_DELAY_MS);
      else if (this.options.pauseMs !== undefined) await this.options.clock.delay(this.options.pauseMs);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /** Whether the whole table has been read. */
  isLoaded(): boolean {
    return this.version !== null;
  }

  /** Reads the whole table; {@link run} then continues with later changes. Throws as {@link RowStore.read} does. */
  async load(): Promise<void> {
    (await this.read())();
  }

  /**
   * Reads the whole table like {@link load}, but hands the rows over only when the
   * returned function is called, so that several tables can be read at the same time
   * and handled in order.
   */
  async read(): Promise<() => void> {
    const { store, table, partitions } = this.options;
    const snapshots = await Promise.all(partitions.map((partition) => store.read({ table, partition })));
    return () => {
      if (this.stopped) return;
      this.version = Math.min(...snapshots.map(({ version }) => version));
      this.handOver(
        snapshots.flatMap(({ rows }) => rows),
        true,
      );
    };
  }

  /** A method, because in {@link run} the compiler takes the field itself to be still `false` after an `await`. */
  private isStopped(): boolean {
    return this.stopped;
  }

  private async poll(): Promise<boolean> {
    try {
      if (this.version === null || this.shouldReadTable()) await this.load();
      else await this.readChanges(this.version);
      return true;
    } catch (error) {
      if (error instanceof HistoryCompactedError) {
        this.version = null;
        return true;
      }
      if (!isStoreFailure(error)) this.reportFailure(null, error);
      return false;
    }
  }

  private handOver(changes: readonly RowChange[], isComplete: boolean): void {
    try {
      this.options.onChanges(changes, isComplete);
    } catch (error) {
      const failed = changes.filter((change) => !this.handOverRow(change));
      if (failed.length === 0) this.reportFailure(null, error);
    }
  }

  /** Returns whether the row was handled. */
  private handOverRow(change: RowChange): boolean {
    try {
      this.options.onChanges([change], false);
      return true;
    } catch (error) {
      this.reportFailure(change.key, error);
      return false;
    }
  }

  private reportFailure(key: string | null, error: unknown): void {
    this.options.onFailure({ table: this.options.table, key, error });
  }

  /** After repeated failures, full reads and feed calls alternate, since either may be the one that fails. */
  private shouldReadTable(): boolean {
    return this.consecutiveFailures >= FAILURES_BEFORE_FULL_READ && this.consecutiveFailures % 2 === 1;
  }

  private async readChanges(version: number): Promise<void> {
    const { store, table, waitMs } = this.options;
    // After a failure the call does not wait, so that a response shows at once that the store is reachable again.
    const result = await store.changes(table, version, this.consecutiveFailures > 0 ? 0 : waitMs);
    if (this.stopped) return;
    this.version = result.version;
    if (result.changes.length > 0) this.handOver(result.changes, false);
  }
}
