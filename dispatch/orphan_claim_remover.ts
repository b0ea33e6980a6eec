/** Removes the claim rows of claim attempts that were abandoned while the table was unavailable. */
import type { Clock } from '../kernel/clock';
import type { TableService } from '../platform/table_service';
import { claimRowSchema } from './claim_record';
import type { ClaimWriter } from './claim_writer';

const CHECK_INTERVAL_MS = 1_000;
const MAX_KEYS_PER_CHECK = 64;

/** Time in milliseconds for which an attempt is watched, since the table may apply its transaction that late. */
const WATCH_MS = 60_000;

export interface OrphanClaimRemoverOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly writer: ClaimWriter;
}

interface WatchedClaim {
  readonly key: string;
  readonly untilMs: number;
}

/** Deletes the claim rows of claim attempts that led to no dispatch. Such a row may exist already or appear later. */
export class OrphanClaimRemover {
  private watched: ReadonlyMap<string, WatchedClaim> = new Map();
  private isScheduled = false;
  private isStopped = false;

  constructor(private readonly options: OrphanClaimRemoverOptions) {}

  /** Deletes the row of this attempt whenever it appears. The attempt must never be dispatched afterwards. */
  watch(key: string, attemptId: string): void {
    const untilMs = this.options.clock.monotonicMs() + WATCH_MS;
    this.watched = new Map(this.watched).set(attemptId, { key, untilMs });
    this.schedule();
  }

  stop(): void {
    this.isStopped = true;
  }

  private schedule(): void {
    if (this.isScheduled || this.isStopped || this.watched.size === 0) return;
    this.isScheduled = true;
    this.options.clock.schedule(CHECK_INTERVAL_MS, () => {
      void this.checkRows().finally(() => {
        this.isScheduled = false;
        this.schedule();
      });
    });
  }

  private async checkRows(): Promise<void> {
    const due = [...this.watched].slice(0, MAX_KEYS_PER_CHECK);
    const keys = due.map(([, { key }]) => key);
    const rows = await this.options.table.read({ keys }).catch(() => null);
    if (rows === null) return;
    const nowMs = this.options.clock.monotonicMs();
    for (const [attemptId, { key, untilMs }] of due) {
      const row = rows.find((candidate) => candidate.key === key);
      const claim = row ? claimRowSchema.safeParse(row.value).data : undefined;
      if (row && claim?.attemptId === attemptId) {
        // The attempt stays watched: the next check shows whether the row has been deleted.
        void this.options.writer.submit(
          { key, expectedVersion: row.version, value: null },
          { maxWaitMs: 0, isWanted: () => true },
        );
      } else if (nowMs >= untilMs) this.forget(attemptId);
      else this.moveToEnd(attemptId);
    }
  }

  private forget(attemptId: string): void {
    this.watched = new Map([...this.watched].filter(([id]) => id !== attemptId));
  }

  private moveToEnd(attemptId: string): void {
    const entry = this.watched.get(attemptId);
    this.forget(attemptId);
    if (entry) this.watched = new Map(this.watched).set(attemptId, entry);
  }
}
