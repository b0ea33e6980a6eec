/** Writes the holder's decisions to the store, and renews its lease with each transaction. */
import type { Clock, Timer } from '../kernel/clock';
import {
  addressKey,
  isStoreFailure,
  MAX_TRANSACTION_ROWS,
  type RowStore,
  type RowWrite,
} from '../store/row_store';
import type { AcquiredLease } from './leader_election';
import { decodeLease, encodeLease, LEASE_ADDRESS, type LeaseRow } from './lease_row';

/** Rows beside the lease in one transaction; the lease's condition and its write count too. */
const MAX_STAGED_ROWS = MAX_TRANSACTION_ROWS - 2;

/** Bytes of values in one transaction; the store takes 1 MB, in an encoding of 4 bytes for 3. */
const MAX_VALUE_BYTES = 600_000;

/** Without decisions the lease is renewed this often, in milliseconds: thrice within a lease of 2 s. */
const RENEW_INTERVAL_MS = 600;

/** Pause after a refused or unanswered transaction, in milliseconds. */
const RETRY_MS = 120;

/** The holder stops this long before others may take the role over, in milliseconds. */
const EXPIRY_MARGIN_MS = 250;

/** So many refused attempts in a row, or one unanswered one and this time, in milliseconds, show that the store is out of reach. */
const UNREACHABLE_ATTEMPTS = 4;
const UNREACHABLE_MS = 1_500;

/** Longest wait for a transaction under way before the role is given back, in milliseconds: a slow store takes some hundred. */
const RELEASE_TIMEOUT_MS = 2_500;
const RELEASE_POLL_MS = 20;

/** Decisions of this time are written together, in milliseconds; calls are priced, and a start may wait this long. */
const BATCH_MS = 12;

export interface FencedWriterOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly lease: AcquiredLease;
  readonly leaseMs: number;
  /** Called once when another process has taken the role. */
  readonly onLost: () => void;
}

interface Staged {
  readonly write: RowWrite;
  /** When this value was staged. */
  readonly serial: number;
  /** When the oldest change of the row was staged that is not committed yet. */
  readonly oldestSerial: number;
}

/**
 * Keeps one transaction under way at a time. Each one sets the lease row under
 * the condition of its last version, so that none of an earlier holder, and
 * none that arrives late, can take effect after a later one.
 *
 * @example
 * ```ts
 * journal.stage({ ...progressAddress(jobId), value });
 * journal.afterCommit(() => sendStarts());
 * ```
 */
export class FencedWriter {
  private leaseRow: LeaseRow;
  private leaseVersion: number;
  private validUntilMs: number;
  private readonly staged = new Map<string, Staged>();
  private actions: readonly { readonly serial: number; readonly action: () => void }[] = [];
  private serial = 0;
  private isBusy = false;
  private isClosed = false;
  private timer: Timer | null = null;
  private lastSentAtMs: number;
  private lastCommitAtMs: number;
  private failedAttempts = 0;

  constructor(private readonly options: FencedWriterOptions) {
    const { lease, leaseMs } = options;
    this.leaseRow = lease.row;
    this.leaseVersion = lease.version;
    this.validUntilMs = lease.sentAtMs + leaseMs - EXPIRY_MARGIN_MS;
    this.lastSentAtMs = lease.sentAtMs;
    this.lastCommitAtMs = lease.sentAtMs;
    this.schedule(RENEW_INTERVAL_MS);
  }

  get epoch(): number {
    return this.leaseRow.epoch;
  }

  /** Whether this process may act as the holder now. */
  isValid(): boolean {
    return !this.isClosed && this.options.clock.monotonicMs() < this.validUntilMs;
  }

  /** Whether the store has not taken this process's transactions for a while. */
  isStoreUnreachable(): boolean {
    const sinceMs = this.options.clock.monotonicMs() - this.lastCommitAtMs;
    return (
      this.failedAttempts >= UNREACHABLE_ATTEMPTS || (this.failedAttempts > 0 && sinceMs > UNREACHABLE_MS)
    );
  }

  /** Puts a row into the next transaction; a later value of the same row replaces it. */
  stage(write: RowWrite): void {
    this.serial += 1;
    const key = addressKey(write);
    const oldestSerial = this.staged.get(key)?.oldestSerial ?? this.serial;
    this.staged.set(key, { write, serial: this.serial, oldestSerial });
    this.scheduleCommit();
  }

  /** Runs an action once everything that has been staged so far is committed. */
  afterCommit(action: () => void): void {
    this.actions = [...this.actions, { serial: this.serial, action }];
    if (this.staged.size === 0) this.runActions();
  }

  /** Stops without giving the role back. */
  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  /** Writes what is staged and gives the role back, so that another process takes it over at once. */
  async release(): Promise<void> {
    const untilMs = this.options.clock.monotonicMs() + RELEASE_TIMEOUT_MS;
    // The transaction under way decides which version of the lease has to be given back.
    while (this.isBusy && this.options.clock.monotonicMs() < untilMs)
      await this.options.clock.delay(RELEASE_POLL_MS);
    if (this.isClosed || this.isBusy) return;
    await this.commit();
    this.isBusy = true;
    const given = { ...this.leaseRow, nodeName: '', processId: '', sequence: this.leaseRow.sequence + 1 };
    this.close();
    try {
      await this.options.store.transact({
        conditions: [{ ...LEASE_ADDRESS, version: this.leaseVersion }],
        writes: [{ ...LEASE_ADDRESS, value: encodeLease(given) }],
      });
    } catch (error) {
      // Others take the role over once the lease has run out.
      if (!isStoreFailure(error)) throw error;
    }
  }

  private hasClosed(): boolean {
    return this.isClosed;
  }

  private scheduleCommit(): void {
    if (!this.isBusy)
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
    if (this.isBusy || this.isClosed) return;
    this.isBusy = true;
    const isDone = await this.attempt();
    this.isBusy = false;
    if (this.hasClosed()) return;
    this.runActions();
    if (!isDone) this.schedule(RETRY_MS);
    else if (this.staged.size > 0) this.scheduleCommit();
    else this.schedule(RENEW_INTERVAL_MS);
  }

  /** Returns whether the transaction took effect. */
  private async attempt(): Promise<boolean> {
    const batch = this.nextBatch();
    const next = { ...this.leaseRow, sequence: this.leaseRow.sequence + 1 };
    this.leaseRow = next;
    const sentAtMs = this.options.clock.monotonicMs();
    this.lastSentAtMs = sentAtMs;
    try {
      const result = await this.options.store.transact({
        conditions: [{ ...LEASE_ADDRESS, version: this.leaseVersion }],
        writes: [{ ...LEASE_ADDRESS, value: encodeLease(next) }, ...batch.map(({ write }) => write)],
      });
      if (result.kind === 'conflict') return this.reconcile(result.rows[0]);
      this.leaseVersion = result.version;
      this.lastCommitAtMs = this.options.clock.monotonicMs();
      this.failedAttempts = 0;
      this.validUntilMs = sentAtMs + this.options.leaseMs - EXPIRY_MARGIN_MS;
      for (const staged of batch) this.markCommitted(staged);
      return true;
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      this.failedAttempts += 1;
      return false;
    }
  }

  /** An earlier attempt that went unanswered may have taken effect; otherwise another process holds the role. */
  private reconcile(row: { readonly value: string; readonly version: number } | undefined): boolean {
    const current = row === undefined ? null : decodeLease(row.value);
    if (
      row !== undefined &&
      current?.processId === this.leaseRow.processId &&
      current.epoch === this.leaseRow.epoch
    ) {
      // The same rows are written again, now under the version that the earlier attempt has made.
      this.leaseVersion = row.version;
      return false;
    }
    this.close();
    this.options.onLost();
    return false;
  }

  private markCommitted({ write, serial }: Staged): void {
    const key = addressKey(write);
    const current = this.staged.get(key);
    if (current === undefined) return;
    if (current.serial === serial) this.staged.delete(key);
    else this.staged.set(key, { ...current, oldestSerial: serial + 1 });
  }

  private nextBatch(): readonly Staged[] {
    const batch: Staged[] = [];
    let bytes = 0;
    for (const staged of this.staged.values()) {
      bytes += staged.write.value?.length ?? 0;
      if (batch.length >= MAX_STAGED_ROWS || (bytes > MAX_VALUE_BYTES && batch.length > 0)) break;
      batch.push(staged);
    }
    return batch;
  }

  /** Runs the actions before which nothing is left to commit. */
  private runActions(): void {
    let oldest = Infinity;
    for (const { oldestSerial } of this.staged.values()) oldest = Math.min(oldest, oldestSerial);
    const ready = this.actions.filter(({ serial }) => serial < oldest);
    if (ready.length === 0) return;
    this.actions = this.actions.filter(({ serial }) => serial >= oldest);
    for (const { action } of ready) action();
  }
}
