/** Removes the rows of jobs that ended long ago, so that the tables do not grow for ever. */
import type { Clock } from '../kernel/clock';
import { cancelAddress, jobAddress, progressAddress } from '../scheduling/job_rows';
import { isStoreFailure, type RowStore, type RowWrite } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import type { JobBook } from './job_book';
import type { PlacementJournal } from './placement_journal';

/** States are kept this many times as long as promised: the holder notes an end later than callers may count from. */
const RETENTION_FACTOR = 2;

/** Time between two sweeps, in milliseconds; a sweep costs up to five transactions, and nothing waits for it. */
const SWEEP_INTERVAL_MS = 5_000;

/** Jobs of one sweep; each has two rows in its partition, of which a transaction takes 100. */
const MAX_JOBS = 40;

export interface EndedJobSweepOptions {
  readonly clock: Clock;
  readonly store: RowStore;
  readonly journal: PlacementJournal;
  readonly book: JobBook;
  /** How long the state of an ended job can be read at least, in milliseconds. */
  readonly retentionMs: number;
  readonly counters: Counters;
}

/**
 * The row of the job goes before its progress: a job with progress alone is
 * still shown as ended, one with its own row alone would look new.
 */
export class EndedJobSweep {
  private nextAtMs = 0;
  private isBusy = false;

  constructor(private readonly options: EndedJobSweepOptions) {}

  /** Sweeps if it is time; called several times a second. */
  async tick(): Promise<void> {
    const { clock, book, retentionMs } = this.options;
    const nowMs = clock.monotonicMs();
    if (this.isBusy || nowMs < this.nextAtMs) return;
    this.nextAtMs = nowMs + SWEEP_INTERVAL_MS;
    const jobIds = book.endedBefore(nowMs - retentionMs * RETENTION_FACTOR, MAX_JOBS);
    if (jobIds.length === 0) return;
    this.isBusy = true;
    try {
      await this.sweep(jobIds);
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      // Removing a row twice does no harm: the next sweep tries all of them again.
      this.options.counters.increment('placement.sweep_failed');
    } finally {
      this.isBusy = false;
    }
  }

  private async sweep(jobIds: readonly string[]): Promise<void> {
    const { store, journal, book, counters } = this.options;
    const writes = new Map<string, RowWrite[]>();
    for (const address of jobIds.flatMap((jobId) => [jobAddress(jobId), cancelAddress(jobId)])) {
      const ofPartition = writes.get(address.partition) ?? [];
      writes.set(address.partition, ofPartition);
      ofPartition.push({ ...address, value: null });
    }
    for (const ofPartition of writes.values()) await store.transact({ conditions: [], writes: ofPartition });
    for (const jobId of jobIds) {
      journal.stage({ ...progressAddress(jobId), value: null });
      book.forget(jobId);
    }
    counters.increment('placement.swept', undefined, jobIds.length);
  }
}
