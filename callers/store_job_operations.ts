/** Stores submitted jobs and reads their states from the store. */
import type { Clock } from '../kernel/clock';
import { decodeQueueStatus, queueStatusAddress } from '../placement/queue_status';
import type { AcceptedJob } from '../scheduling/job_definition';
import { JobOperations, type Submission } from './job_operations';
import { isEnded, type JobState } from '../scheduling/job_progress';
import {
  cancelAddress,
  decodeProgress,
  encodeJob,
  JOB_PARTITIONS,
  jobAddress,
  progressAddress,
} from '../scheduling/job_rows';
import { GroupCommitWriter } from '../store/group_commit_writer';
import type { RowStore } from '../store/row_store';

/** Number of ended jobs whose state is cached, so that repeated queries need no call to the store. */
const MAX_CACHED_STATES = 2_000;

export interface StoreJobOperationsOptions {
  readonly store: RowStore;
  readonly clock: Clock;
}

/**
 * Job operations on the rows in the store.
 *
 * @example
 * ```ts
 * const jobs = new StoreJobOperations({ store, clock });
 * await jobs.submit({ jobId, queueId, teamId, definition, deadlineAtMs });
 * ```
 */
export class StoreJobOperations extends JobOperations {
  private readonly writers: ReadonlyMap<string, GroupCommitWriter>;
  private readonly endedStates = new Map<string, JobState>();

  constructor(private readonly options: StoreJobOperationsOptions) {
    super();
    this.writers = new Map(JOB_PARTITIONS.map((partition) => [partition, new GroupCommitWriter(options)]));
  }

  override async submit({ deadlineAtMs, ...submission }: Submission): Promise<boolean> {
    const job: AcceptedJob = { ...submission, acceptedAtMs: this.options.clock.wallMs() };
    const address = jobAddress(job.jobId);
    const writer = this.writers.get(address.partition);
    if (writer === undefined) throw new Error(`No writer serves the partition "${address.partition}".`);
    return writer.create({ ...address, value: encodeJob(job) }, deadlineAtMs);
  }

  override async state(jobId: string): Promise<JobState | null> {
    const cached = this.endedStates.get(jobId);
    if (cached !== undefined) return cached;
    const { store } = this.options;
    const progress = await store.readOne(progressAddress(jobId));
    if (progress === null) return (await store.readOne(jobAddress(jobId))) === null ? null : 'queued';
    const { state } = decodeProgress(progress.value);
    if (isEnded(state)) this.cacheState(jobId, state);
    return state;
  }

  override async cancel(jobId: string): Promise<boolean> {
    const { store } = this.options;
    const isKnown = (await store.readOne(jobAddress(jobId))) !== null;
    // Also without the job: its submission may be on the way, for example in a process that is suspended.
    await store.transact({ conditions: [], writes: [{ ...cancelAddress(jobId), value: '{}' }] });
    return isKnown;
  }

  override async pending(queueId: string): Promise<number> {
    const row = await this.options.store.readOne(queueStatusAddress(queueId));
    return row === null ? 0 : decodeQueueStatus(row.value).pending;
  }

  private cacheState(jobId: string, state: JobState): void {
    const [oldest] = this.endedStates.keys();
    if (this.endedStates.size >= MAX_CACHED_STATES && oldest !== undefined) this.endedStates.delete(oldest);
    this.endedStates.set(jobId, state);
  }
}
