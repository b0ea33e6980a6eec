/** The placement leader's cache of the open jobs of one pool. */
import { TableOutcomeUnknownError, TableUnavailableError } from '../platform/table_service';
import type { HeldRole } from '../roles/role_lease';
import type { Counters } from '../telemetry/counters';
import { isTerminal, type Job } from './job';
import type { JobStore, StoredJob } from './job_store';

/** Largest number of rows in one read. */
const JOBS_PER_READ = 256;

export interface OpenJobCacheOptions {
  readonly store: JobStore;
  readonly poolId: string;
  readonly role: HeldRole;
  readonly counters: Counters;
  /** Called when a write shows that another entry instance has acquired the role. */
  readonly onRoleLost: () => void;
}

/**
 * Reads the open jobs from the table, and writes them on the condition that this
 * entry instance still holds the pool's placement role. While an operation has
 * locked a job, refreshes do not change it.
 *
 * @example
 * ```ts
 * await openJobs.refresh();
 * if (await openJobs.write({ ...job, state: 'done' })) openJobs.jobs();
 * ```
 */
export class OpenJobCache {
  private readonly stored = new Map<string, StoredJob>();
  /** Version of a job's index row when the job was last read. */
  private readonly lastIndexVersions = new Map<string, number>();
  private readonly locked = new Set<string>();
  private loaded = false;

  constructor(private readonly options: OpenJobCacheOptions) {}

  /** Whether the jobs have been read since the role was acquired. */
  isLoaded(): boolean {
    return this.loaded;
  }

  jobs(): readonly Job[] {
    return [...this.stored.values()].map(({ job }) => job);
  }

  get(jobId: string): Job | undefined {
    return this.stored.get(jobId)?.job;
  }

  isLocked(jobId: string): boolean {
    return this.locked.has(jobId);
  }

  /** Protects a job from refreshes and other operations until {@link unlock}. */
  lock(jobId: string): void {
    this.locked.add(jobId);
  }

  unlock(jobId: string): void {
    this.locked.delete(jobId);
  }

  /**
   * Reads the jobs that other processes have changed. Returns the ids of the locked
   * jobs that have reached a terminal state. Throws `TableUnavailableError`.
   */
  async refresh(): Promise<readonly string[]> {
    const { store, poolId } = this.options;
    const indexVersions = await store.openJobs(poolId);
    const endedJobIds = [...this.stored.keys()].filter((jobId) => !indexVersions.has(jobId));
    for (const jobId of endedJobIds) if (!this.locked.has(jobId)) this.remove(jobId);
    const changed = [...indexVersions].filter(
      ([jobId, version]) => this.lastIndexVersions.get(jobId) !== version,
    );
    for (let from = 0; from < changed.length; from += JOBS_PER_READ) {
      const jobIds = changed.slice(from, from + JOBS_PER_READ).map(([jobId]) => jobId);
      for (const stored of await store.readMany(jobIds)) this.applyRead(stored, indexVersions);
    }
    this.loaded = true;
    return endedJobIds.filter((jobId) => this.locked.has(jobId));
  }

  /**
   * Replaces the cached version of a job in the table. Returns `false` if the row
   * has changed, in which case the job is read again, and if the table is
   * unavailable or the outcome of the write is unknown, in which case a later
   * refresh reads what was written.
   */
  async write(next: Job): Promise<boolean> {
    const stored = this.stored.get(next.jobId);
    if (stored === undefined) return false;
    try {
      const written = await this.options.store.update(stored, next, this.options.role.condition);
      if (written === null) {
        await this.reload(stored);
        return false;
      }
      if (isTerminal(next.state)) this.remove(next.jobId);
      else this.stored.set(next.jobId, written);
      return true;
    } catch (error) {
      if (!(error instanceof TableUnavailableError || error instanceof TableOutcomeUnknownError)) throw error;
      this.options.counters.increment('jobs.write_failed', error.name);
      return false;
    }
  }

  /**
   * Reads a job again after a conflict. If its row is unchanged, the condition that
   * failed is the one on the role.
   */
  private async reload(stored: StoredJob): Promise<void> {
    const { jobId } = stored.job;
    this.options.counters.increment('jobs.write_failed', 'conflict');
    const current = await this.options.store.read(jobId);
    if (current === null || isTerminal(current.job.state)) this.remove(jobId);
    else if (current.version === stored.version) this.options.onRoleLost();
    else this.stored.set(jobId, current);
  }

  private applyRead(stored: StoredJob, indexVersions: ReadonlyMap<string, number>): void {
    const { jobId, state } = stored.job;
    const cached = this.stored.get(jobId);
    if (this.locked.has(jobId) || isTerminal(state)) return;
    if (cached && stored.version < cached.version) return;
    this.stored.set(jobId, stored);
    const version = indexVersions.get(jobId);
    if (version !== undefined) this.lastIndexVersions.set(jobId, version);
  }

  private remove(jobId: string): void {
    this.stored.delete(jobId);
    this.lastIndexVersions.delete(jobId);
  }
}
