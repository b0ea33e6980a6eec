/** Writes claim rows in batches and reads back the rows of transactions whose response was lost. */
import type { Clock, Timer } from '../kernel/clock';
import {
  TableOutcomeUnknownError,
  type Row,
  type TableService,
  type TransactionResult,
} from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { claimRowSchema, type ClaimRow } from './claim_record';

const MAX_BATCH_ROWS = 64;

/** Maximum number of concurrent transactions; more would only make the batches smaller. */
const MAX_TRANSACTIONS_IN_FLIGHT = 2;

/** Maximum number of times that an update is sent again after a read showed that it was not applied. */
const MAX_RESENDS = 3;

/**
 * Sets the row to `value`, or deletes it if `value` is `null`. Applies only if the
 * row has the version `expectedVersion`, or is absent if that is `null`.
 */
export interface ClaimUpdate {
  readonly key: string;
  readonly expectedVersion: number | null;
  readonly value: ClaimRow | null;
}

/** `failed` with `mayBeWritten`: the update may have taken effect or may still do so. */
export type ClaimUpdateResult =
  | { readonly kind: 'written'; readonly version: number | null }
  | { readonly kind: 'conflict'; readonly row: Row | null }
  | { readonly kind: 'failed'; readonly mayBeWritten: boolean; readonly cause: unknown };

export interface SubmitOptions {
  /** Longest time in milliseconds for which the update waits for others to share its transaction. */
  readonly maxWaitMs: number;
  /** Checked before the update is sent; an unwanted update is dropped. */
  readonly isWanted: () => boolean;
}

export interface ClaimWriterOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly counters: Counters;
}

interface PendingUpdate {
  readonly update: ClaimUpdate;
  readonly isWanted: () => boolean;
  readonly resolve: (result: ClaimUpdateResult) => void;
  readonly dueAtMs: number;
  /** Number of times that the update has been sent with an unknown outcome. */
  readonly resends: number;
}

/**
 * Batches updates. Each update is conditional on the version of its row, so
 * sending it again cannot apply it twice.
 *
 * @example
 * ```ts
 * const update = { key, expectedVersion: null, value: row };
 * const result = await writer.submit(update, { maxWaitMs: 4, isWanted: () => true });
 * ```
 */
export class ClaimWriter {
  private pending: readonly PendingUpdate[] = [];
  private readonly keysInFlight = new Set<string>();
  private transactionsInFlight = 0;
  private timer: Timer | null = null;

  constructor(private readonly options: ClaimWriterOptions) {}

  /** Resolves with the result of the update; never rejects. */
  submit(update: ClaimUpdate, { maxWaitMs, isWanted }: SubmitOptions): Promise<ClaimUpdateResult> {
    return new Promise((resolve) => {
      const dueAtMs = this.options.clock.monotonicMs() + maxWaitMs;
      this.pending = [...this.pending, { update, isWanted, resolve, dueAtMs, resends: 0 }];
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.pending.length === 0 || this.transactionsInFlight >= MAX_TRANSACTIONS_IN_FLIGHT) return;
    const nowMs = this.options.clock.monotonicMs();
    const dueInMs = Math.min(...this.pending.map(({ dueAtMs }) => dueAtMs)) - nowMs;
    this.timer?.cancel();
    if (dueInMs <= 0 || this.pending.length >= MAX_BATCH_ROWS) this.flush();
    else
      this.timer = this.options.clock.schedule(dueInMs, () => {
        this.flush();
      });
  }

  private flush(): void {
    const batch = this.nextBatch();
    if (batch.length === 0) return;
    this.transactionsInFlight += 1;
    void this.send(batch).finally(() => {
      this.transactionsInFlight -= 1;
      for (const { update } of batch) this.keysInFlight.delete(update.key);
      this.schedule();
    });
    this.schedule();
  }

  /**
   * Takes the next updates, at most one per key and none for a key that is in
   * flight, and drops those that are no longer wanted.
   */
  private nextBatch(): readonly PendingUpdate[] {
    const batch: PendingUpdate[] = [];
    const remaining: PendingUpdate[] = [];
    for (const pending of this.pending) {
      if (!pending.isWanted()) {
        pending.resolve({
          kind: 'failed',
          mayBeWritten: pending.resends > 0,
          cause: 'cancelled before it was sent',
        });
      } else if (batch.length >= MAX_BATCH_ROWS || this.keysInFlight.has(pending.update.key)) {
        remaining.push(pending);
      } else {
        this.keysInFlight.add(pending.update.key);
        batch.push(pending);
      }
    }
    this.pending = remaining;
    return batch;
  }

  private async send(batch: readonly PendingUpdate[]): Promise<void> {
    this.options.counters.increment('claims.transactions');
    try {
      const result = await this.options.table.transact({
        conditions: batch.map(({ update }) => ({ key: update.key, version: update.expectedVersion })),
        writes: batch.map(({ update }) => ({ key: update.key, value: update.value })),
      });
      await this.resolveBatch(batch, result);
    } catch (error) {
      if (error instanceof TableOutcomeUnknownError) await this.readBack(batch, error);
      else for (const pending of batch) resolveFailed(pending, pending.resends > 0, error);
    }
  }

  private async resolveBatch(batch: readonly PendingUpdate[], result: TransactionResult): Promise<void> {
    if (result.kind === 'committed') {
      for (const { update, resolve } of batch) {
        resolve({ kind: 'written', version: result.versions.get(update.key) ?? null });
      }
      return;
    }
    this.options.counters.increment('claims.conflicts');
    const rows = new Map(result.rows.map((row) => [row.key, row]));
    const conflicting = batch.filter(({ update }) => rows.has(update.key));
    // A condition on a deleted row fails without a row in the result.
    if (conflicting.length === 0) {
      await this.readBack(batch, new Error('A row of the transaction was deleted.'));
      return;
    }
    for (const { update, resolve } of conflicting) {
      const row = rows.get(update.key) ?? null;
      resolve(resultFromRow(update, row) ?? { kind: 'conflict', row });
    }
    this.requeue(batch.filter(({ update }) => !rows.has(update.key)));
  }

  /** Reads the rows of a transaction to find out which updates were applied, and requeues the others. */
  private async readBack(batch: readonly PendingUpdate[], cause: unknown): Promise<void> {
    this.options.counters.increment('claims.read_back');
    const rows = await this.options.table
      .read({ keys: batch.map(({ update }) => update.key) })
      .catch(() => null);
    for (const pending of batch) {
      if (rows === null) {
        resolveFailed(pending, true, cause);
        continue;
      }
      const row = rows.find(({ key }) => key === pending.update.key) ?? null;
      const result = resultFromRow(pending.update, row);
      if (result !== null) pending.resolve(result);
      else if (pending.resends >= MAX_RESENDS) resolveFailed(pending, true, cause);
      else this.requeue([{ ...pending, resends: pending.resends + 1 }]);
    }
  }

  private requeue(updates: readonly PendingUpdate[]): void {
    const dueAtMs = this.options.clock.monotonicMs();
    this.pending = [...updates.map((pending) => ({ ...pending, dueAtMs })), ...this.pending];
  }
}

/**
 * Returns the result of an update as shown by the current row; `null` if the
 * update has not been applied and may still be.
 */
function resultFromRow(update: ClaimUpdate, row: Row | null): ClaimUpdateResult | null {
  if (row === null) {
    if (update.value === null) return { kind: 'written', version: null };
    return update.expectedVersion === null ? null : { kind: 'conflict', row };
  }
  if (row.version === update.expectedVersion) return null;
  return isWrittenBy(update, row) ? { kind: 'written', version: row.version } : { kind: 'conflict', row };
}

function isWrittenBy(update: ClaimUpdate, row: Row): boolean {
  const parsed = claimRowSchema.safeParse(row.value);
  if (update.value === null || !parsed.success) return false;
  return parsed.data.attemptId === update.value.attemptId && parsed.data.state === update.value.state;
}

function resolveFailed(pending: PendingUpdate, mayBeWritten: boolean, cause: unknown): void {
  pending.resolve({ kind: 'failed', mayBeWritten, cause });
}
