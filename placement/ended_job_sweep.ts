/** Removes the rows of ended jobs, so that neither the tables nor what a successor has to read grow for ever. */
import type { Clock } from '../kernel/clock';
import { cancelAddress, jobAddress, progressAddress } from '../scheduling/job_rows';
import { isStoreFailure, type RowStore, type RowWrite } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import type { JobRegistry } from './job_registry';
import type { FencedWriter } from './fenced_writer';

/** States are kept this many times as long as promised: the holder notes an end later than callers may count from. */
const RETENTION_FACTOR = 2;

/**
 * The row of an ended job goes this long after its end, in milliseconds. A
 * successor reads all rows of jobs, which takes seconds over a slow link, and
 * needs none of an ended one. Long enough to remove many with one transaction.
 */
const JOB_ROW_RETENTION_MS = 2_000;

/** Time between two sweeps, in milliseconds; a sweep costs up to four transactions, and nothing waits for it. */
const SWEEP_INTERVAL_MS = 2_000;

/** Jobs of one sweep; each has two rows in its partition, of which a transaction takes 100. */
const MAX_JOBS_PER_SWEEP = 150;
const MAX_ROWS_PER_TRANSACTION = 100;

export interface EndedJobSweepOptions {
  readonly clock: Clock;
  readonly store: RowStore;
  readonly writer: FencedWriter;
  readonly jobs: JobRegistry;
  /** How long the state of an ended job can be read at least, in milliseconds. */
  readonly retentionMs: number;
  readonly counters: Counters;
}

/**
 * The row of the job goes first and its progress, which names the state, once
 * the state need not be known any more. A repeated submission in between
 * creates the row again; the progress shows that the job has ended.
 */
export class EndedJobSweep {
  private nextAtMs = 0;
  private isBusy = false;

  constructor(private readonly options: EndedJobSweepOptions) {}

  /** Sweeps if it is time; called several times a second. */
  async tick(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (this.isBusy || nowMs < this.nextAtMs) return;
    this.nextAtMs = nowMs + SWEEP_INTERVAL_MS;
    this.isBusy = true;
    try {
      await this.removeJobRows(nowMs - JOB_ROW_RETENTION_MS);
      await this.removeProgress(nowMs);
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      // Removing a row twice does no harm: the next sweep tries all of them again.
      this.options.counters.increment('placement.sweep_failed');
    } finally {
      this.isBusy = false;
    }
  }

  private async removeJobRows(endedBeforeMs: number): Promise<void> {
    const { jobs: book, counters } = this.options;
    const jobIds = book.withRemovableRowsBefore(endedBeforeMs, MAX_JOBS_PER_SWEEP);
    await this.removeRows(jobIds.flatMap((jobId) => [jobAddress(jobId), cancelAddress(jobId)]));
    book.recordRowsRemoved(jobIds);
    if (jobIds.length > 0) counters.increment('placement.swept', undefined, jobIds.length);
  }

  private async removeProgress(nowMs: number): Promise<void> {
    const { writer: journal, jobs: book, retentionMs } = this.options;
    const jobIds = book.endedBefore(nowMs - retentionMs * RETENTION_FACTOR, MAX_JOBS_PER_SWEEP);
    // Again, since a repeated submission may have created the row anew, which alone would look like a new job.
    await this.removeRows(jobIds.map(jobAddress));
    for (const jobId of jobIds) {
      journal.stage({ ...progressAddress(jobId), value: null });
      book.forget(jobId);
    }
  }

  private async removeRows(addresses: readonly Omit<RowWrite, 'value'>[]): Promise<void> {
    const byPartition = new Map<string, RowWrite[]>();
    for (const address of addresses) {
      const writes = byPartition.get(address.partition) ?? [];
      byPartition.set(address.partition, writes);
      writes.push({ ...address, value: null });
    }
    for (const writes of byPartition.values()) {
      for (let start = 0; start < writes.length; start += MAX_ROWS_PER_TRANSACTION) {
        await this.options.store.transact({
          conditions: [],
          writes: writes.slice(start, start + MAX_ROWS_PER_TRANSACTION),
        });
      }
    }
  }
}
