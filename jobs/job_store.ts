/** Stores jobs as rows of the table service, with an index of the open jobs of each pool. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../kernel/clock';
import {
  TableOutcomeUnknownError,
  type Condition,
  type Row,
  type TableService,
  type Transaction,
  type Write,
} from '../platform/table_service';
import { isTerminal, jobSchema, type Job } from './job';

/** Maximum number of attempts to read back a write whose response was lost. */
const MAX_READ_BACK_ATTEMPTS = 3;
/** Delay before the first of these attempts, in milliseconds; it grows with each attempt. */
const READ_BACK_DELAY_MS = 100;

/** A job as read, with the version of its row. */
export interface StoredJob {
  readonly job: Job;
  readonly version: number;
}

/**
 * Reads and conditionally writes jobs. The index row `open_job/<poolId>/<jobId>`
 * exists while a job is not in a terminal state, and each write of the job
 * rewrites it, so that the placement leader finds changed jobs with one prefix
 * read.
 *
 * @example
 * ```ts
 * const stored = await store.read(jobId);
 * const next = await store.update(stored, { ...stored.job, state: 'cancelled' });
 * ```
 */
export class JobStore {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  /** Inserts a job; `exists` if there is one with the same id. Throws the errors of the table service. */
  async insert(job: Job): Promise<'inserted' | 'exists'> {
    const stored = await this.write(job, [{ key: jobKey(job.jobId), version: null }]);
    return stored ? 'inserted' : 'exists';
  }

  /**
   * Replaces a job if it has not changed since it was read; `null` if it has,
   * or if the extra condition fails. If the response is lost, reads the row
   * back. Throws `TableUnavailableError`, or `TableOutcomeUnknownError` if the
   * write may still be applied.
   */
  update(stored: StoredJob, next: Job, extra?: Condition): Promise<StoredJob | null> {
    const own = { key: jobKey(next.jobId), version: stored.version };
    return this.write(next, extra ? [own, extra] : [own]);
  }

  async read(jobId: string): Promise<StoredJob | null> {
    const [row] = await this.table.read({ keys: [jobKey(jobId)] });
    return row ? parseRow(row) : null;
  }

  async readMany(jobIds: readonly string[]): Promise<readonly StoredJob[]> {
    if (jobIds.length === 0) return [];
    return (await this.table.read({ keys: jobIds.map(jobKey) })).map(parseRow);
  }

  /** Ids of the open jobs of a pool, each with the version of its index row, which changes with the job. */
  async openJobs(poolId: string): Promise<ReadonlyMap<string, number>> {
    const prefix = `open_job/${poolId}/`;
    const rows = await this.table.read({ prefixes: [prefix] });
    return new Map(rows.map(({ key, version }) => [key.slice(prefix.length), version]));
  }

  /** Pools that have open jobs. Reads the whole index. */
  async poolsWithOpenJobs(): Promise<ReadonlySet<string>> {
    const rows = await this.table.read({ prefixes: ['open_job/'] });
    return new Set(rows.map(({ key }) => key.split('/')[1] ?? ''));
  }

  private async write(job: Job, conditions: readonly Condition[]): Promise<StoredJob | null> {
    const writeId = randomUUID();
    const key = jobKey(job.jobId);
    const indexValue = isTerminal(job.state) ? null : { state: job.state };
    const index: Write = { key: `open_job/${job.poolId}/${job.jobId}`, value: indexValue };
    const transaction: Transaction = {
      conditions,
      writes: [{ key, value: { ...job, writeId } }, index],
    };
    try {
      const result = await this.table.transact(transaction);
      if (result.kind === 'conflict') return null;
      return { job, version: result.versions.get(key) ?? 0 };
    } catch (error) {
      if (!(error instanceof TableOutcomeUnknownError)) throw error;
      return await this.readBack(job, writeId, conditions[0]?.version ?? null);
    }
  }

  private async readBack(job: Job, writeId: string, baseVersion: number | null): Promise<StoredJob | null> {
    for (let attempt = 1; attempt <= MAX_READ_BACK_ATTEMPTS; attempt += 1) {
      await this.clock.delay(READ_BACK_DELAY_MS * attempt);
      try {
        const [row] = await this.table.read({ keys: [jobKey(job.jobId)] });
        if (row && (row.value as { readonly writeId?: unknown }).writeId === writeId) {
          return { job, version: row.version };
        }
        if (row && row.version !== baseVersion) return null;
      } catch {
        // The table is still unavailable; the next attempt may reach it.
      }
    }
    // The write may still be in transit, so it cannot be reported as not applied.
    throw new TableOutcomeUnknownError('The outcome of the write of a job could not be read back.');
  }
}

function jobKey(jobId: string): string {
  return `job/${jobId}`;
}

function parseRow(row: Row): StoredJob {
  return { job: jobSchema.parse(row.value), version: row.version };
}
