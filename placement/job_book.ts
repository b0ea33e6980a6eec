/** The open jobs as the holder of the placement role knows them. */
import type { AcceptedJob } from '../scheduling/job_definition';
import { JobRecord } from '../scheduling/job_record';
import { isEnded, type JobProgress } from '../scheduling/job_progress';

/** A job with what the holder notes about its arrival. */
export interface OpenJob {
  readonly record: JobRecord;
  /** When it was accepted, on the holder's steady clock as far as known. */
  readonly acceptedAtMs: number;
  /** Order of arrival. */
  readonly serial: number;
}

/** Keeps open jobs by queue and remembers which ones have ended. */
export class JobBook {
  private readonly open = new Map<string, OpenJob>();
  private readonly ended = new Set<string>();
  private serial = 0;

  constructor(private readonly maxAttempts: (queueId: string) => number) {}

  /** Adds a job unless it is known. Returns the job if it is new and open. */
  add(job: AcceptedJob, progress: JobProgress | undefined, acceptedAtMs: number): OpenJob | null {
    if (this.open.has(job.jobId) || this.ended.has(job.jobId)) return null;
    const record = new JobRecord({
      job,
      maxAttempts: () => this.maxAttempts(job.queueId),
      ...(progress === undefined ? {} : { progress }),
    });
    if (record.isSettled()) {
      this.ended.add(job.jobId);
      return null;
    }
    this.serial += 1;
    const added = { record, acceptedAtMs, serial: this.serial };
    this.open.set(job.jobId, added);
    return added;
  }

  get(jobId: string): OpenJob | undefined {
    return this.open.get(jobId);
  }

  /** Drops a job that has ended and of which nothing runs. */
  settle(jobId: string): void {
    this.open.delete(jobId);
    this.ended.add(jobId);
  }

  /** Forgets that a job has ended, after its rows have been removed. */
  forget(jobId: string): void {
    this.ended.delete(jobId);
  }

  jobs(): Iterable<OpenJob> {
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
