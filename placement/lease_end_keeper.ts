/** Keeps across leaders when the leases of unreachable workers end. */
import type { Clock } from '../kernel/clock';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowStore } from '../store/row_store';
import { StoreClock } from '../store/store_clock';
import type { FencedWriter } from './fenced_writer';
import {
  decodeLeaseEnd,
  encodeLeaseEnd,
  LEASE_END_TABLE,
  leaseEndAddress,
  type LeaseEndRow,
} from './lease_end_rows';

export interface LeaseEndKeeperOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly storeClock: StoreClock;
  readonly writer: FencedWriter;
}

/** An incarnation of a worker whose lease is no longer renewed; times are on the monotonic clock. */
export interface UnrenewedLease {
  readonly workerId: string;
  readonly workerStartedAtMs: number;
  /** When this process last requested the lease, or took over from the leader that may have done so. */
  readonly requestedAtMs: number;
  /** From when on nothing runs on the incarnation, unless the lease is requested again. */
  readonly endsAtMs: number;
}

/**
 * Stores the end of each lease that the leader has stopped renewing. Without it, each
 * leader would have to wait for the longest lease from its own start, and leaders that
 * follow each other faster would never reach the end.
 *
 * A lease may be requested again only after its row has been removed: a successor relies
 * on the row.
 *
 * @example
 * ```ts
 * await leaseEnds.load();
 * leaseEnds.record({ workerId: 'w1', workerStartedAtMs, requestedAtMs, endsAtMs });
 * leaseEnds.mayRequest('w1'); // false
 * ```
 */
export class LeaseEndKeeper {
  private readonly rows = new Map<string, LeaseEndRow>();
  /** Workers whose row is about to be removed. */
  private readonly removing = new Set<string>();

  constructor(private readonly options: LeaseEndKeeperOptions) {}

  /** Reads what earlier leaders have stored. Throws the errors of {@link RowStore.read}. */
  async load(): Promise<void> {
    const { store, clock, storeClock } = this.options;
    const sentAtMs = clock.monotonicMs();
    const { rows, storeMs } = await store.read({ table: LEASE_END_TABLE, partition: PLACEMENT_PARTITION });
    if (storeMs !== null) storeClock.observe({ storeMs, sentAtMs, receivedAtMs: clock.monotonicMs() });
    for (const { key, value } of rows) {
      // A row that cannot be decoded is replaced or removed like any other.
      this.rows.set(key, decodeLeaseEnd(value) ?? { workerStartedAtMs: -1, endsAtStoreMs: Infinity });
    }
  }

  /** Whether the lease of a worker may be requested; see {@link LeaseEndKeeper.release}. */
  mayRequest(workerId: string): boolean {
    return !this.rows.has(workerId);
  }

  /** When the recorded lease of an incarnation has ended, on the monotonic clock; `null` if none is recorded. */
  endOf(workerId: string, workerStartedAtMs: number): number | null {
    const row = this.rows.get(workerId);
    return row?.workerStartedAtMs === workerStartedAtMs
      ? this.options.storeClock.toLocalMs(row.endsAtStoreMs)
      : null;
  }

  /** Stores the end of a lease, once, as soon as the store's clock has been seen after the last request. */
  record({ workerId, workerStartedAtMs, requestedAtMs, endsAtMs }: UnrenewedLease): void {
    const { writer, storeClock } = this.options;
    if (this.rows.get(workerId)?.workerStartedAtMs === workerStartedAtMs) return;
    // Without the store the row could not be removed either, and a lease that is withheld meanwhile would expire.
    if (!writer.isValid() || writer.isStoreUnreachable()) return;
    const endsAtStoreMs = storeClock.toStoreMs(endsAtMs, requestedAtMs);
    if (endsAtStoreMs === null) return;
    const row = { workerStartedAtMs, endsAtStoreMs };
    this.rows.set(workerId, row);
    this.removing.delete(workerId);
    writer.stage({ ...leaseEndAddress(workerId), value: encodeLeaseEnd(row) });
  }

  /** Removes the row of a worker; once that is stored, its lease may be requested again. */
  release(workerId: string): void {
    if (!this.rows.has(workerId) || this.removing.has(workerId)) return;
    this.removing.add(workerId);
    this.options.writer.stage({ ...leaseEndAddress(workerId), value: null });
    this.options.writer.afterCommit(() => {
      if (this.removing.delete(workerId)) this.rows.delete(workerId);
    });
  }

  /** Workers with a row. */
  workerIds(): readonly string[] {
    return [...this.rows.keys()];
  }
}
