/**
 * Removes the rows of ended jobs, so that neither the tables nor the rows that a
 * successor has to load grow without bound.
 */
import type { Clock } from '../kernel/clock';
import { cancelAddress, jobAddress, progressAddress } from '../scheduling/job_rows';
import { isStoreFailure, type RowStore, type RowWrite } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import type { JobRegistry } from './job_registry';
import type { FencedWriter } from './fenced_writer';

/**
 * States are retained this many times as long as promised, because callers and the
 * leader may count from different times.
 */
const RETENTION_FACTOR = 2;

/**
 * The row of an ended job is removed this long after its end, in milliseconds. A
 * successor loads all job rows, which takes seconds over a slow link, and does not
 * need those of ended jobs. The delay lets one transaction remove many rows.
 */
const JOB_ROW_RETENTION_MS = 2_000;

/** Interval between sweeps, in milliseconds. A sweep costs several transactions, and nothing waits for it. */
const SWEEP_INTERVAL_MS = 2_000;

/**
 * Maximum number of jobs in one sweep. Each has two rows in one of four partitions, and
 * a transaction takes at most 100 rows.
 */
const MAX_JOBS_PER_SWEEP = 150;
const MAX_ROWS_PER_TRANSACTION = 100;

export interface EndedJobSweepOptions {
  readonly clock: Clock;
  readonly store: RowStore;
  readonly writer: FencedWriter;
  readonly jobs: JobRegistry;
  /** Minimum time for which the state of an ended job can be read, in milliseconds. */
  readonly retentionMs: number;
  readonly counters: Counters;
}

/**
 * Removes the row of the job first, and its progress, which contains the state,
 * once the retention time is over. A repeated submission in between creates the
 * job's row again; the progress still shows that the job has ended.
 */
export class EndedJobSweep {
  private nextAtMs = 0;
  private isBusy = false;

  constructor(private readonly options: EndedJobSweepOptions) {}

  /** Sweeps if a sweep is due; called several times a second. */
  async tick(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (this.isBusy || nowMs < this.nextAtMs) return;
    this.nextAtMs = nowMs + SWEEP_INTERVAL_MS;
    this.isBusy = true;
    try {
      await this.removeJobRows(nowMs - JOB_ROW_RETENTION_MS);
      await this.removeProgress(nowMs);
      await this.removeEarlyCancellations(nowMs);
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      // Removing a row is idempotent, so the next sweep tries all of them again.
      this.options.counters.increment('placement.sweep_failed');
    } finally {
      this.isBusy = false;
    }
  }

  private async removeJobRows(endedBeforeMs: number): Promise<void> {
    const { jobs, counters } = this.options;
    const jobIds = jobs.withRemovableRowsBefore(endedBeforeMs, MAX_JOBS_PER_SWEEP);
    await this.removeRows(jobIds.flatMap((jobId) => [jobAddress(jobId), cancelAddress(jobId)]));
    jobs.recordRowsRemoved(jobIds);
    if (jobIds.length > 0) counters.increment('placement.swept', undefined, jobIds.length);
  }

  private async removeProgress(nowMs: number): Promise<void> {
    const { writer, jobs, retentionMs } = this.options;
    const jobIds = jobs.endedBefore(nowMs - retentionMs * RETENTION_FACTOR, MAX_JOBS_PER_SWEEP);
    // Removes the job's row again, since a repeated submission may have re-created it:
    // without the progress it would look like a new job.
    await this.removeRows(jobIds.map(jobAddress));
    for (const jobId of jobIds) {
      writer.stage({ ...progressAddress(jobId), value: null });
      jobs.forget(jobId);
    }
  }

  /** A cancellation without a job is kept as long as the state of an ended job, since both stand for it. */
  private async removeEarlyCancellations(nowMs: number): Promise<void> {
    const { jobs, retentionMs } = this.options;
    const jobIds = jobs.cancelledEarlyBefore(nowMs - retentionMs * RETENTION_FACTOR, MAX_JOBS_PER_SWEEP);
    await this.removeRows(jobIds.map(cancelAddress));
    for (const jobId of jobIds) jobs.forgetEarlyCancellation(jobId);
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
