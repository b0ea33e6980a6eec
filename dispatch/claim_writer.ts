/** Writes rows of claims, many per transaction, and reads back transactions whose answer was lost. */
import type { Clock, Timer } from '../kernel/clock';
import {
  TableOutcomeUnknownError,
  type Row,
  type TableService,
  type TransactionResult,
} from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { claimRowSchema, type ClaimRow } from './claim_record';

/** Rows per transaction. */
const MAX_BATCH = 64;

/** Transactions under way at once; more would only make smaller batches. */
const MAX_IN_FLIGHT = 2;

/** Times that one row is sent again after a lost answer was read back as not applied. */
const MAX_RESENDS = 3;

/** Sets the row to `value`, or deletes it, if it is still at version `expected` (`null`: absent). */
export interface ClaimUpdate {
  readonly key: string;
  readonly expected: number | null;
  readonly value: ClaimRow | null;
}

/** `failed` with `mayBeWritten`: the update may have taken effect, now or later. */
export type ClaimUpdateResult =
  | { readonly kind: 'written'; readonly version: number | null }
  | { readonly kind: 'conflict'; readonly row: Row | null }
  | { readonly kind: 'failed'; readonly mayBeWritten: boolean; readonly cause: unknown };

export interface SubmitOptions {
  /** Longest wait for company in a transaction, in milliseconds. */
  readonly maxWaitMs: number;
  /** An update that nobody wants any more is not sent. */
  readonly isWanted: () => boolean;
}

export interface ClaimWriterOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly counters: Counters;
}

interface Entry {
  readonly update: ClaimUpdate;
  readonly isWanted: () => boolean;
  readonly resolve: (result: ClaimUpdateResult) => void;
  readonly dueAtMs: number;
  /** Earlier sendings whose outcome was not known. */
  readonly resends: number;
}

/**
 * Batches updates. Every update is conditional on the version of its row, so
 * that sending it again cannot apply it twice.
 *
 * @example
 * ```ts
 * const result = await writer.submit({ key, expected: null, value: row }, { maxWaitMs: 4, isWanted: () => true });
 * ```
 */
export class ClaimWriter {
  private waiting: readonly Entry[] = [];
  private readonly keysInFlight = new Set<string>();
  private inFlight = 0;
  private timer: Timer | null = null;

  constructor(private readonly options: ClaimWriterOptions) {}

  /** Resolves with what became of the update; never rejects. */
  submit(update: ClaimUpdate, { maxWaitMs, isWanted }: SubmitOptions): Promise<ClaimUpdateResult> {
    return new Promise((resolve) => {
      const dueAtMs = this.options.clock.monotonicMs() + maxWaitMs;
      this.waiting = [...this.waiting, { update, isWanted, resolve, dueAtMs, resends: 0 }];
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.waiting.length === 0 || this.inFlight >= MAX_IN_FLIGHT) return;
    const nowMs = this.options.clock.monotonicMs();
    const dueInMs = Math.min(...this.waiting.map(({ dueAtMs }) => dueAtMs)) - nowMs;
    this.timer?.cancel();
    if (dueInMs <= 0 || this.waiting.length >= MAX_BATCH) this.flush();
    else
      this.timer = this.options.clock.schedule(dueInMs, () => {
        this.flush();
      });
  }

  private flush(): void {
    const batch = this.takeBatch();
    if (batch.length === 0) return;
    this.inFlight += 1;
    void this.send(batch).finally(() => {
      this.inFlight -= 1;
      for (const { update } of batch) this.keysInFlight.delete(update.key);
      this.schedule();
    });
    this.schedule();
  }

  /** Takes at most one update per key; a key whose last update is under way waits. */
  private takeBatch(): readonly Entry[] {
    const batch: Entry[] = [];
    const left: Entry[] = [];
    for (const entry of this.waiting) {
      if (!entry.isWanted()) {
        entry.resolve({ kind: 'failed', mayBeWritten: entry.resends > 0, cause: 'no longer wanted' });
      } else if (batch.length >= MAX_BATCH || this.keysInFlight.has(entry.update.key)) {
        left.push(entry);
      } else {
        this.keysInFlight.add(entry.update.key);
        batch.push(entry);
      }
    }
    this.waiting = left;
    return batch;
  }

  private async send(batch: readonly Entry[]): Promise<void> {
    this.options.counters.increment('claims.transactions');
    try {
      const result = await this.options.table.transact({
        conditions: batch.map(({ update }) => ({ key: update.key, version: update.expected })),
        writes: batch.map(({ update }) => ({ key: update.key, value: update.value })),
      });
      await this.settle(batch, result);
    } catch (error) {
      if (error instanceof TableOutcomeUnknownError) await this.readBack(batch, error);
      else for (const entry of batch) fail(entry, entry.resends > 0, error);
    }
  }

  private async settle(batch: readonly Entry[], result: TransactionResult): Promise<void> {
    if (result.kind === 'committed') {
      for (const { update, resolve } of batch) {
        resolve({ kind: 'written', version: result.versions.get(update.key) ?? null });
      }
      return;
    }
    this.options.counters.increment('claims.conflicts');
    const rows = new Map(result.rows.map((row) => [row.key, row]));
    const named = batch.filter(({ update }) => rows.has(update.key));
    // A condition on a row that was deleted fails without naming a row.
    if (named.length === 0) {
      await this.readBack(batch, new Error('A row of the transaction is gone.'));
      return;
    }
    for (const { update, resolve } of named) {
      const row = rows.get(update.key) ?? null;
      resolve(resultOf(update, row) ?? { kind: 'conflict', row });
    }
    this.requeue(batch.filter(({ update }) => !rows.has(update.key)));
  }

  private async readBack(batch: readonly Entry[], cause: unknown): Promise<void> {
    this.options.counters.increment('claims.read_back');
    const rows = await this.options.table
      .read({ keys: batch.map(({ update }) => update.key) })
      .catch(() => null);
    for (const entry of batch) {
      if (rows === null) {
        fail(entry, true, cause);
        continue;
      }
      const row = rows.find(({ key }) => key === entry.update.key) ?? null;
      const result = resultOf(entry.update, row);
      if (result !== null) entry.resolve(result);
      else if (entry.resends >= MAX_RESENDS) fail(entry, true, cause);
      else this.requeue([{ ...entry, resends: entry.resends + 1 }]);
    }
  }

  private requeue(entries: readonly Entry[]): void {
    const dueAtMs = this.options.clock.monotonicMs();
    this.waiting = [...entries.map((entry) => ({ ...entry, dueAtMs })), ...this.waiting];
  }
}

/** What the current row says of an update; `null` if the update is not applied and may still be. */
function resultOf(update: ClaimUpdate, row: Row | null): ClaimUpdateResult | null {
  if (row === null) {
    if (update.value === null) return { kind: 'written', version: null };
    return update.expected === null ? null : { kind: 'conflict', row };
  }
  if (row.version === update.expected) return null;
  return isWrittenBy(update, row) ? { kind: 'written', version: row.version } : { kind: 'conflict', row };
}

function isWrittenBy(update: ClaimUpdate, row: Row): boolean {
  const parsed = claimRowSchema.safeParse(row.value);
  if (update.value === null || !parsed.success) return false;
  return parsed.data.attemptId === update.value.attemptId && parsed.data.state === update.value.state;
}

function fail(entry: Entry, mayBeWritten: boolean, cause: unknown): void {
  entry.resolve({ kind: 'failed', mayBeWritten, cause });
}
