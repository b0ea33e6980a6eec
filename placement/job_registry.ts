/** The open jobs and the recently ended ones, as the placement leader knows them. */
import type { Clock } from '../kernel/clock';
import type { AcceptedJob } from '../scheduling/job_definition';
import type { FleetRules } from '../scheduling/fleet_rules';
import { callerQueueId, queueOf } from '../scheduling/job_queue';
import { JobRecord } from '../scheduling/job_record';
import { isEnded, type JobProgress } from '../scheduling/job_progress';

/** An open job with its arrival. */
export interface OpenJob {
  readonly record: JobRecord;
  /**
   * When it was accepted, on the leader's monotonic clock; an estimate if it was
   * accepted before the leader started.
   */
  readonly acceptedAtMs: number;
  /** Position in the order of arrival. */
  readonly arrivalNumber: number;
}

export interface JobRegistryOptions {
  readonly clock: Clock;
  readonly rules: () => FleetRules | null;
}

/** Contains the open jobs by id, and the ids of ended jobs whose rows are not all removed yet. */
export class JobRegistry {
  private readonly open = new Map<string, OpenJob>();
  /** When each ended job was found to have ended, on the monotonic clock, oldest first. */
  private readonly ended = new Map<string, number>();
  /**
   * Ended jobs whose own rows (the job and its cancellation, not its progress) are
   * still stored and may be removed, oldest first.
   */
  private readonly withRemovableRows = new Set<string>();
  /** When each cancellation was found whose job is not open, on the monotonic clock, oldest first. */
  private readonly cancelledEarly = new Map<string, number>();
  private lastArrivalNumber = 0;

  constructor(private readonly options: JobRegistryOptions) {}

  /** Adds a job unless it is already registered. Returns the job if it is new and open, otherwise `null`. */
  add(job: AcceptedJob, progress: JobProgress | undefined, acceptedAtMs: number): OpenJob | null {
    if (this.has(job.jobId)) return null;
    const record = new JobRecord({
      job,
      maxAttempts: () => queueOf(this.options.rules(), job)?.maxAttempts ?? Infinity,
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

  /**
   * Records a cancellation that is stored although its job is not open: it has not arrived, or
   * has ended, in which case the cancellation may have been stored after the job's own rows
   * were removed.
   */
  recordEarlyCancellation(jobId: string): void {
    if (!this.cancelledEarly.has(jobId)) this.cancelledEarly.set(jobId, this.options.clock.monotonicMs());
  }

  /** Whether a job was cancelled before it arrived. */
  isCancelledEarly(jobId: string): boolean {
    return this.cancelledEarly.has(jobId);
  }

  /** Ids of jobs whose cancellation was recorded before a time on the monotonic clock, oldest first. */
  cancelledEarlyBefore(cancelledBeforeMs: number, limit: number): readonly string[] {
    return idsBefore(this.cancelledEarly, cancelledBeforeMs, limit);
  }

  /** Forgets a cancellation whose job has arrived, or whose rows have been removed. */
  forgetEarlyCancellation(jobId: string): void {
    this.cancelledEarly.delete(jobId);
  }

  /** Records that a job has ended. */
  recordEnded(jobId: string): void {
    this.ended.set(jobId, this.options.clock.monotonicMs());
  }

  /** Allows the removal of an ended job's own rows, once its end is stored. */
  allowRowRemoval(jobId: string): void {
    if (this.ended.has(jobId)) this.withRemovableRows.add(jobId);
  }

  /** Moves a job that has ended and has no runs left from the open jobs to the ended ones. */
  close(jobId: string): void {
    this.open.delete(jobId);
    this.recordEnded(jobId);
  }

  /**
   * Ids of jobs that ended before a time on the monotonic clock and whose own rows may
   * be removed, oldest first.
   */
  withRemovableRowsBefore(endedBeforeMs: number, limit: number): readonly string[] {
    const found: string[] = [];
    for (const jobId of this.withRemovableRows) {
      if ((this.ended.get(jobId) ?? 0) >= endedBeforeMs || found.length >= limit) break;
      found.push(jobId);
    }
    return found;
  }

  /** Records that the own rows of ended jobs have been removed. */
  recordRowsRemoved(jobIds: readonly string[]): void {
    for (const jobId of jobIds) this.withRemovableRows.delete(jobId);
  }

  has(jobId: string): boolean {
    return this.open.has(jobId) || this.ended.has(jobId);
  }

  /** Ids of jobs that ended before a time on the monotonic clock, oldest first. */
  endedBefore(endedBeforeMs: number, limit: number): readonly string[] {
    return idsBefore(this.ended, endedBeforeMs, limit);
  }

  /** Forgets an ended job after all of its rows have been removed. */
  forget(jobId: string): void {
    this.ended.delete(jobId);
    this.withRemovableRows.delete(jobId);
  }

  openJobs(): Iterable<OpenJob> {
    return this.open.values();
  }

  /** Number of open jobs of which no task has started, by the queue at which callers ask for them. */
  pendingByQueue(): ReadonlyMap<string, number> {
    const rules = this.options.rules();
    const counts = new Map<string, number>();
    for (const { record } of this.open.values()) {
      const queueId = callerQueueId(rules, record.job);
      const isPending = record.state === 'queued' && !isEnded(record.state);
      counts.set(queueId, (counts.get(queueId) ?? 0) + (isPending ? 1 : 0));
    }
    return counts;
  }
}

/** The first ids whose time is before `beforeMs`; the times are ascending. */
function idsBefore(times: ReadonlyMap<string, number>, beforeMs: number, limit: number): readonly string[] {
  const found: string[] = [];
  for (const [jobId, atMs] of times) {
    if (atMs >= beforeMs || found.length >= limit) break;
    found.push(jobId);
  }
  return found;
}
