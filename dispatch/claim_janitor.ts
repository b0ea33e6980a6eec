/** Removes claims that were given up while the table did not answer. */
import type { Clock } from '../kernel/clock';
import type { TableService } from '../platform/table_service';
import { claimRowSchema } from './claim_record';
import type { ClaimWriter } from './claim_writer';

const INTERVAL_MS = 1_000;
const KEYS_PER_ROUND = 64;

/** A transaction that was given up may arrive at the table this much later, in milliseconds. */
const WATCH_MS = 60_000;

export interface ClaimJanitorOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly writer: ClaimWriter;
}

interface Watched {
  readonly key: string;
  readonly untilMs: number;
}

/** Watches claims, by attempt id, that led to no dispatch and whose row may exist. */
export class ClaimJanitor {
  private watched: ReadonlyMap<string, Watched> = new Map();
  private isScheduled = false;
  private isStopped = false;

  constructor(private readonly options: ClaimJanitorOptions) {}

  /** Sees to it that no row of this attempt stays behind. The attempt must never be dispatched afterwards. */
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
    this.options.clock.schedule(INTERVAL_MS, () => {
      void this.round().finally(() => {
        this.isScheduled = false;
        this.schedule();
      });
    });
  }

  private async round(): Promise<void> {
    const due = [...this.watched].slice(0, KEYS_PER_ROUND);
    const keys = due.map(([, { key }]) => key);
    const rows = await this.options.table.read({ keys }).catch(() => null);
    if (rows === null) return;
    const nowMs = this.options.clock.monotonicMs();
    for (const [attemptId, { key, untilMs }] of due) {
      const row = rows.find((candidate) => candidate.key === key);
      const claim = row ? claimRowSchema.safeParse(row.value).data : undefined;
      if (row && claim?.attemptId === attemptId) {
        // The entry stays watched: the next round finds out whether the row is gone.
        void this.options.writer.submit(
          { key, expected: row.version, value: null },
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
