/** The open jobs as the holder of the placement role knows them. */
import type { Clock } from '../kernel/clock';
import type { AcceptedJob } from '../scheduling/job_definition';
import { JobRecord } from '../scheduling/job_record';
import { isEnded, type JobProgress } from '../scheduling/job_progress';

/** A job with what the holder notes about its arrival. */
export interface OpenJob {
  readonly record: JobRecord;
  /** When it was accepted, on the holder's steady clock as far as known. */
  readonly acceptedAtMs: number;
  /** Order of arrival. */
  readonly arrivalNumber: number;
}

export interface JobRegistryOptions {
  readonly clock: Clock;
  readonly maxAttempts: (queueId: string) => number;
}

/** Keeps open jobs by queue and remembers which ones have ended. */
export class JobRegistry {
  private readonly open = new Map<string, OpenJob>();
  /** When each ended job was found to have ended, on the steady clock; the oldest first. */
  private readonly ended = new Map<string, number>();
  /** Ended jobs whose own rows are still stored, the oldest first. */
  private readonly withRemovableRows = new Set<string>();
  private lastArrivalNumber = 0;

  constructor(private readonly options: JobRegistryOptions) {}

  /** Adds a job unless it is known. Returns the job if it is new and open. */
  add(job: AcceptedJob, progress: JobProgress | undefined, acceptedAtMs: number): OpenJob | null {
    if (this.has(job.jobId)) return null;
    const record = new JobRecord({
      job,
      maxAttempts: () => this.options.maxAttempts(job.queueId),
      ...(progress === undefined ? {} : { progress }),
    });
    if (record.isSettled()) {
      this.recordEnded(job.jobId);
      this.allowRowRemoval(job.jobId);
      return null;
    }
    this.lastArrivalNumber += 1;
    const added = { record, acceptedAtMs, arrivalNumber: this.lastArrivalNumber };
    this.open.set(job.jobId, added);
    return added;
  }

  get(jobId: string): OpenJob | undefined {
    return this.open.get(jobId);
  }

  /** Remembers that a job has ended. */
  recordEnded(jobId: string): void {
    this.ended.set(jobId, this.options.clock.monotonicMs());
  }

  /** The end of a job is stored, so that its own row may be removed. */
  allowRowRemoval(jobId: string): void {
    if (this.ended.has(jobId)) this.withRemovableRows.add(jobId);
  }

  /** Drops a job that has ended and of which nothing runs. */
  close(jobId: string): void {
    this.open.delete(jobId);
    this.recordEnded(jobId);
  }

  /** Jobs that ended before a moment of the steady clock and whose own rows are still stored. */
  withRemovableRowsBefore(beforeMs: number, limit: number): readonly string[] {
    const found: string[] = [];
    for (const jobId of this.withRemovableRows) {
      if ((this.ended.get(jobId) ?? 0) >= beforeMs || found.length >= limit) break;
      found.push(jobId);
    }
    return found;
  }

  /** Notes that the own rows of ended jobs have been removed. */
  recordRowsRemoved(jobIds: readonly string[]): void {
    for (const jobId of jobIds) this.withRemovableRows.delete(jobId);
  }

  has(jobId: string): boolean {
    return this.open.has(jobId) || this.ended.has(jobId);
  }

  /** Jobs that ended before a moment of the steady clock, the oldest first. */
  endedBefore(beforeMs: number, limit: number): readonly string[] {
    const found: string[] = [];
    for (const [jobId, endedAtMs] of this.ended) {
      if (endedAtMs >= beforeMs || found.length >= limit) break;
      found.push(jobId);
    }
    return found;
  }

  /** Forgets that a job has ended, after all of its rows have been removed. */
  forget(jobId: string): void {
    this.ended.delete(jobId);
    this.withRemovableRows.delete(jobId);
  }

  openJobs(): Iterable<OpenJob> {
    return this.open.values();
  }

  /** Number of jobs of which no task has started, by queue. */
  pendingByQueue(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { record } of this.open.values()) {
      const { queueId } = record.job;
      const isPending = record.state === 'queued' && !isEnded(record.state);
      counts.set(queueId, (counts.get(queueId) ?? 0) + (isPending ? 1 : 0));
    }
    return counts;
  }
}
