/** The open jobs of one pool as the placement holder knows them. */
import { TableOutcomeUnknownError, TableUnavailableError } from '../platform/table_service';
import type { HeldRole } from '../roles/role_lease';
import type { Counters } from '../telemetry/counters';
import { isTerminal, type Job } from './job';
import type { JobStore, StoredJob } from './job_store';

/** Rows that one read names. */
const JOBS_PER_READ = 256;

export interface JobLedgerOptions {
  readonly store: JobStore;
  readonly poolId: string;
  readonly role: HeldRole;
  readonly counters: Counters;
  /** Called when a write shows that another holder has the role. */
  readonly onRoleLost: () => void;
}

/**
 * Follows the jobs in the table and writes them under the condition of the
 * role. While a job is claimed by a flow, refreshes leave it alone.
 *
 * @example
 * ```ts
 * await ledger.refresh();
 * if (await ledger.write({ ...job, state: 'done' })) ledger.jobs();
 * ```
 */
export class JobLedger {
  private readonly known = new Map<string, StoredJob>();
  private readonly seen = new Map<string, number>();
  private readonly claimed = new Set<string>();
  private loaded = false;

  constructor(private readonly options: JobLedgerOptions) {}

  /** Whether the jobs have been read since the role was acquired. */
  isLoaded(): boolean {
    return this.loaded;
  }

  jobs(): readonly Job[] {
    return [...this.known.values()].map(({ job }) => job);
  }

  get(jobId: string): Job | undefined {
    return this.known.get(jobId)?.job;
  }

  isClaimed(jobId: string): boolean {
    return this.claimed.has(jobId);
  }

  /** Keeps refreshes and other flows off a job until {@link unclaim}. */
  claim(jobId: string): void {
    this.claimed.add(jobId);
  }

  unclaim(jobId: string): void {
    this.claimed.delete(jobId);
  }

  /**
   * Takes in what others have changed. Returns the claimed jobs that have
   * reached a terminal state. Throws `TableUnavailableError`.
   */
  async refresh(): Promise<readonly string[]> {
    const { store, poolId } = this.options;
    const index = await store.openJobs(poolId);
    const vanished = [...this.known.keys()].filter((jobId) => !index.has(jobId));
    for (const jobId of vanished) if (!this.claimed.has(jobId)) this.forget(jobId);
    const changed = [...index].filter(([jobId, version]) => this.seen.get(jobId) !== version);
    for (let from = 0; from < changed.length; from += JOBS_PER_READ) {
      const jobIds = changed.slice(from, from + JOBS_PER_READ).map(([jobId]) => jobId);
      for (const stored of await store.readMany(jobIds)) this.take(stored, index);
    }
    this.loaded = true;
    return vanished.filter((jobId) => this.claimed.has(jobId));
  }

  /**
   * Replaces a job as known here. `false` if the row has changed, the table is
   * away, or the fate of the write is unknown; the job is read again before
   * anything else is concluded from it.
   */
  async write(next: Job): Promise<boolean> {
    const stored = this.known.get(next.jobId);
    if (stored === undefined) return false;
    try {
      const written = await this.options.store.update(stored, next, this.options.role.condition);
      if (written === null) {
        await this.reload(stored);
        return false;
      }
      if (isTerminal(next.state)) this.forget(next.jobId);
      else this.known.set(next.jobId, written);
      return true;
    } catch (error) {
      if (!(error instanceof TableUnavailableError || error instanceof TableOutcomeUnknownError)) throw error;
      this.options.counters.increment('jobs.write_failed', error.name);
      return false;
    }
  }

  /** An unchanged row shows that it was the condition on the role that did not hold. */
  private async reload(stored: StoredJob): Promise<void> {
    const { jobId } = stored.job;
    this.options.counters.increment('jobs.write_failed', 'conflict');
    const current = await this.options.store.read(jobId);
    if (current === null || isTerminal(current.job.state)) this.forget(jobId);
    else if (current.version === stored.version) this.options.onRoleLost();
    else this.known.set(jobId, current);
  }

  private take(stored: StoredJob, index: ReadonlyMap<string, number>): void {
    const { jobId, state } = stored.job;
    const known = this.known.get(jobId);
    if (this.claimed.has(jobId) || isTerminal(state)) return;
    if (known && stored.version < known.version) return;
    this.known.set(jobId, stored);
    const version = index.get(jobId);
    if (version !== undefined) this.seen.set(jobId, version);
  }

  private forget(jobId: string): void {
    this.known.delete(jobId);
    this.seen.delete(jobId);
  }
}
