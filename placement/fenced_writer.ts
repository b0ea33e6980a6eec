/** Writes the placement leader's decisions to the store and renews its lease with each transaction. */
import type { Clock, Timer } from '../kernel/clock';
import { RowFormatError } from '../scheduling/job_rows';
import {
  addressKey,
  isStoreFailure,
  MAX_ROW_VALUE_BYTES,
  MAX_TRANSACTION_ROWS,
  StoreRefusedError,
  type RowAddress,
  type RowStore,
  type RowWrite,
} from '../store/row_store';
import type { StoreClock } from '../store/store_clock';
import type { AcquiredLease } from './leader_election';
import { decodeLease, encodeLease, LEASE_ADDRESS, type LeaseRow } from './lease_row';
import { elapsedMs, momentOf, ValidityWindow, type Moment } from './validity_window';

/**
 * Maximum number of rows besides the lease in one transaction; the condition and the
 * write of the lease count as two.
 */
const MAX_STAGED_ROWS = MAX_TRANSACTION_ROWS - 2;

/** Maximum size of the values in one transaction, in bytes; the store accepts 1 MB and encodes 3 bytes as 4. */
const MAX_VALUE_BYTES = 600_000;

/**
 * Interval at which the lease is renewed when there is nothing to write, in
 * milliseconds, which is about three times within a lease of 2 s.
 */
const RENEW_INTERVAL_MS = 600;

/** Pause after a rejected or timed-out transaction, in milliseconds. */
const RETRY_MS = 120;

/**
 * The leader stops acting this long before its lease expires, in milliseconds, so that
 * two leaders never act at once.
 */
const EXPIRY_MARGIN_MS = 250;

/** The store counts as unreachable after this many failed attempts in a row. */
const MAX_FAILURES = 4;
/**
 * The store also counts as unreachable if the latest attempt failed and the last commit
 * is older than this, in milliseconds.
 */
const UNREACHABLE_MS = 1_500;

/**
 * Longest wait for a transaction in flight before the lease is released, in
 * milliseconds. A slow store takes a few hundred milliseconds for one.
 */
const RELEASE_TIMEOUT_MS = 2_500;
const RELEASE_POLL_MS = 20;

/**
 * Minimum time between the starts of two transactions, in milliseconds. Decisions made
 * in between are written together, because store calls cost money and a start may wait
 * this long.
 */
const BATCH_MS = 12;

export interface FencedWriterOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly lease: AcquiredLease;
  readonly leaseMs: number;
  /** Receives the store's clock from each transaction. */
  readonly storeClock: StoreClock;
  /**
   * Called for a row that the store refuses for good, or would refuse for its size. It is
   * not written; what was staged with it is.
   */
  readonly onRowRefused: (refused: RefusedRow) => void;
  /** Called once when another process has acquired the lease. */
  readonly onLost: () => void;
}

export interface RefusedRow {
  readonly address: RowAddress;
  readonly valueBytes: number;
}

/** A row to write. Its value is encoded when a transaction is sent, once for all changes made until then. */
export interface DeferredWrite extends RowAddress {
  readonly encode: () => string | null;
}

interface StagedWrite {
  readonly write: DeferredWrite;
  /** Position of this value in the order of staging. */
  readonly stageNumber: number;
  /** Position of the row's oldest change that is not committed yet. */
  readonly oldestStageNumber: number;
}

/**
 * A row that was refused as the only one beside the lease. It is left out once the store has
 * accepted the lease without it and refuses it again: a store that refuses everything is at
 * fault itself.
 */
interface SuspectRow {
  readonly key: string;
  readonly step: 'write_lease_only' | 'write_alone';
}

interface BatchRow {
  readonly staged: StagedWrite;
  readonly row: RowWrite;
}

/**
 * Sends one transaction at a time. Each one writes the lease row on the
 * condition that its version is unchanged, so that a transaction of an earlier
 * leader, or one that arrives late, cannot take effect after a later one.
 *
 * @example
 * ```ts
 * writer.stage({ ...progressAddress(jobId), value });
 * writer.afterCommit(() => sendStarts());
 * ```
 */
export class FencedWriter {
  private leaseRow: LeaseRow;
  private leaseVersion: number;
  private readonly validity: ValidityWindow;
  private readonly staged = new Map<string, StagedWrite>();
  /** Actions in the order in which they were requested. */
  private readonly pendingActions: { readonly stageNumber: number; readonly action: () => void }[] = [];
  private lastStageNumber = 0;
  private isCommitting = false;
  private isClosed = false;
  private timer: Timer | null = null;
  private lastSentAtMs: number;
  /** When the latest transaction that took effect was sent. */
  private renewedAt: Moment;
  private lastCommitAtMs: number;
  private failedAttempts = 0;
  /** Number of rows in a transaction; smaller after a refused one, to find the row that is to blame. */
  private maxBatchRows = MAX_STAGED_ROWS;
  private suspect: SuspectRow | null = null;

  constructor(private readonly options: FencedWriterOptions) {
    const { lease, leaseMs } = options;
    this.leaseRow = lease.row;
    this.leaseVersion = lease.version;
    this.validity = new ValidityWindow(options.clock, leaseMs - EXPIRY_MARGIN_MS, lease.sentAt);
    this.lastSentAtMs = lease.sentAt.monotonicMs;
    this.renewedAt = lease.sentAt;
    this.lastCommitAtMs = lease.sentAt.monotonicMs;
    this.schedule(RENEW_INTERVAL_MS);
  }

  get epoch(): number {
    return this.leaseRow.epoch;
  }

  /** Whether this process may act as the leader now. */
  isValid(): boolean {
    return !this.isClosed && this.validity.isOpen();
  }

  /** Time since the latest transaction that took effect was sent, in milliseconds. */
  sinceRenewalMs(): number {
    return elapsedMs(this.options.clock, this.renewedAt);
  }

  /** Renews the lease now, for example after the wall clock has jumped. */
  renewSoon(): void {
    if (!this.isCommitting) this.scheduleCommit();
  }

  /** Whether this process's transactions have been failing for a while. */
  isStoreUnreachable(): boolean {
    const sinceCommitMs = this.options.clock.monotonicMs() - this.lastCommitAtMs;
    return this.failedAttempts >= MAX_FAILURES || (this.failedAttempts > 0 && sinceCommitMs > UNREACHABLE_MS);
  }

  /** Adds a row to the next transaction; a later value of the same row replaces an earlier one. */
  stage({ value, ...address }: RowWrite): void {
    this.stageDeferred({ ...address, encode: () => value });
  }

  /** Adds a row whose value is encoded when the transaction is sent. */
  stageDeferred(write: DeferredWrite): void {
    this.lastStageNumber += 1;
    const key = addressKey(write);
    const oldestStageNumber = this.staged.get(key)?.oldestStageNumber ?? this.lastStageNumber;
    this.staged.set(key, { write, stageNumber: this.lastStageNumber, oldestStageNumber });
    this.scheduleCommit();
  }

  /** Runs an action once everything that has been staged so far is committed. */
  afterCommit(action: () => void): void {
    this.pendingActions.push({ stageNumber: this.lastStageNumber, action });
    if (this.staged.size === 0) this.runActions();
  }

  /** Stops without releasing the lease. */
  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  /** Writes the staged rows and releases the lease, so that another process can acquire it at once. */
  async release(): Promise<void> {
    const untilMs = this.options.clock.monotonicMs() + RELEASE_TIMEOUT_MS;
    // The release needs the version of the lease row that the transaction in flight produces.
    while (this.isCommitting && this.options.clock.monotonicMs() < untilMs)
      await this.options.clock.delay(RELEASE_POLL_MS);
    if (this.isClosed || this.isCommitting) return;
    await this.commit();
    this.isCommitting = true;
    const released = { ...this.leaseRow, nodeName: '', processId: '', sequence: this.leaseRow.sequence + 1 };
    this.close();
    try {
      await this.options.store.transact({
        conditions: [{ ...LEASE_ADDRESS, version: this.leaseVersion }],
        writes: [{ ...LEASE_ADDRESS, value: encodeLease(released) }],
      });
    } catch (error) {
      // The release failed or its outcome is unknown; other processes acquire the lease once it has expired.
      if (!isStoreFailure(error)) throw error;
    }
  }

  private hasClosed(): boolean {
    return this.isClosed;
  }

  private scheduleCommit(): void {
    if (!this.isCommitting)
      this.schedule(Math.max(0, this.lastSentAtMs + BATCH_MS - this.options.clock.monotonicMs()));
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    if (this.isClosed) return;
    this.timer = this.options.clock.schedule(delayMs, () => {
      void this.commit();
    });
  }

  private async commit(): Promise<void> {
    if (this.isCommitting || this.isClosed) return;
    this.isCommitting = true;
    const isCommitted = await this.attempt();
    this.isCommitting = false;
    if (this.hasClosed()) return;
    this.runActions();
    if (!isCommitted) this.schedule(RETRY_MS);
    else if (this.staged.size > 0) this.scheduleCommit();
    else this.schedule(RENEW_INTERVAL_MS);
  }

  /** Returns whether the transaction took effect. */
  private async attempt(): Promise<boolean> {
    const batch = this.nextBatch();
    const next = { ...this.leaseRow, sequence: this.leaseRow.sequence + 1 };
    this.leaseRow = next;
    const sentAt = momentOf(this.options.clock);
    this.lastSentAtMs = sentAt.monotonicMs;
    try {
      const result = await this.options.store.transact({
        conditions: [{ ...LEASE_ADDRESS, version: this.leaseVersion }],
        writes: [{ ...LEASE_ADDRESS, value: encodeLease(next) }, ...batch.map(({ row }) => row)],
      });
      if (result.kind === 'conflict') return this.reconcile(result.rows[0]);
      this.leaseVersion = result.version;
      this.lastCommitAtMs = this.options.clock.monotonicMs();
      this.observeStoreClock(result.storeMs, sentAt.monotonicMs);
      this.failedAttempts = 0;
      this.validity.renew(sentAt);
      this.renewedAt = sentAt;
      for (const { staged } of batch) this.markCommitted(staged);
      this.maxBatchRows = Math.min(MAX_STAGED_ROWS, this.maxBatchRows * 2);
      this.suspect =
        this.suspect?.step === 'write_lease_only' ? { ...this.suspect, step: 'write_alone' } : null;
      return true;
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      this.failedAttempts += 1;
      if (error instanceof StoreRefusedError) this.narrow(batch);
      return false;
    }
  }

  /** Handles a refused transaction: makes the next one smaller until the row to blame is found. */
  private narrow(batch: readonly BatchRow[]): void {
    const [first] = batch;
    this.maxBatchRows = Math.max(1, Math.floor(batch.length / 2));
    if (batch.length > 1) return;
    const { suspect } = this;
    this.suspect = null;
    if (first === undefined) return;
    if (suspect?.step === 'write_alone') this.refuse(first.row);
    else this.suspect = { key: addressKey(first.row), step: 'write_lease_only' };
  }

  private refuse({ value, ...address }: RowWrite): void {
    this.staged.delete(addressKey(address));
    this.options.onRowRefused({ address, valueBytes: Buffer.byteLength(value ?? '') });
  }

  private observeStoreClock(storeMs: number | null, sentAtMs: number): void {
    const { storeClock, clock } = this.options;
    if (storeMs !== null) storeClock.observe({ storeMs, sentAtMs, receivedAtMs: clock.monotonicMs() });
  }

  /**
   * Handles a conflict: either an earlier attempt with an unknown outcome took effect,
   * or another process holds the lease.
   */
  private reconcile(row: { readonly value: string; readonly version: number } | undefined): boolean {
    const current = row === undefined ? null : decodeForeignLease(row.value);
    if (
      row !== undefined &&
      current?.processId === this.leaseRow.processId &&
      current.epoch === this.leaseRow.epoch
    ) {
      // The next attempt writes the same rows again, on condition of the version that
      // the earlier attempt produced.
      this.leaseVersion = row.version;
      return false;
    }
    this.close();
    this.options.onLost();
    return false;
  }

  private markCommitted({ write, stageNumber }: StagedWrite): void {
    const key = addressKey(write);
    const current = this.staged.get(key);
    if (current === undefined) return;
    if (current.stageNumber === stageNumber) this.staged.delete(key);
    else this.staged.set(key, { ...current, oldestStageNumber: stageNumber + 1 });
  }

  private rowsToWrite(): Iterable<StagedWrite> {
    if (this.suspect?.step === 'write_lease_only') return [];
    const staged = this.suspect === null ? undefined : this.staged.get(this.suspect.key);
    return staged === undefined ? this.staged.values() : [staged];
  }

  private nextBatch(): readonly BatchRow[] {
    const batch: BatchRow[] = [];
    const tooLarge: RowWrite[] = [];
    let bytes = 0;
    for (const staged of this.rowsToWrite()) {
      if (batch.length >= this.maxBatchRows) break;
      const { encode, ...address } = staged.write;
      const row = { ...address, value: encode() };
      const valueBytes = Buffer.byteLength(row.value ?? '');
      if (valueBytes > MAX_ROW_VALUE_BYTES) {
        tooLarge.push(row);
        continue;
      }
      bytes += valueBytes;
      if (bytes > MAX_VALUE_BYTES && batch.length > 0) break;
      batch.push({ staged, row });
    }
    for (const row of tooLarge) this.refuse(row);
    return batch;
  }

  /** Runs the actions for which everything staged before them is committed. */
  private runActions(): void {
    let firstUncommitted = Infinity;
    for (const { oldestStageNumber } of this.staged.values())
      firstUncommitted = Math.min(firstUncommitted, oldestStageNumber);
    const firstWaiting = this.pendingActions.findIndex(({ stageNumber }) => stageNumber >= firstUncommitted);
    const ready = this.pendingActions.splice(0, firstWaiting < 0 ? this.pendingActions.length : firstWaiting);
    for (const { action } of ready) action();
  }
}

/** Returns `null` for a row that cannot be decoded; this process has not written it. */
function decodeForeignLease(value: string): LeaseRow | null {
  try {
    return decodeLease(value);
  } catch (error) {
    if (error instanceof RowFormatError) return null;
    throw error;
  }
}
