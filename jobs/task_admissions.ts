/** Admissions of tasks, each held while its task may be running. */
import type { Admission, AdmissionGate } from '../admission/admission_gate';
import type { Clock } from '../kernel/clock';
import type { Queue } from '../model/fleet';
import { RequestError } from '../model/request_error';
import type { Counters } from '../telemetry/counters';
import { taskIdOf, type Job } from './job';

export interface TaskAdmissionsOptions {
  readonly clock: Clock;
  readonly gate: AdmissionGate;
  readonly counters: Counters;
}

/** Holds and requests admissions, one for each job. */
export class TaskAdmissions {
  private readonly held = new Map<string, Admission>();
  private readonly pending = new Map<string, AbortController>();

  constructor(private readonly options: TaskAdmissionsOptions) {}

  has(jobId: string): boolean {
    return this.held.has(jobId);
  }

  isPending(jobId: string): boolean {
    return this.pending.has(jobId);
  }

  /** Acquires an admission for a job, waiting for at most `timeoutMs`. Returns whether the job may run. */
  async acquire(job: Job, queue: Queue, timeoutMs: number): Promise<boolean> {
    if (this.held.has(job.jobId)) return true;
    const { clock, gate, counters } = this.options;
    const abort = new AbortController();
    this.pending.set(job.jobId, abort);
    try {
      const admission = await gate.admit({
        requestId: taskIdOf(job),
        teamId: job.teamId,
        queue,
        priority: job.priority,
        occupiesSlot: false,
        deadlineAtMs: clock.monotonicMs() + timeoutMs,
        signal: abort.signal,
      });
      if (abort.signal.aborted) {
        admission.release();
        return false;
      }
      this.held.set(job.jobId, admission);
      return true;
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      counters.increment('jobs.admission_refused', error.result.name);
      return false;
    } finally {
      this.pending.delete(job.jobId);
    }
  }

  /** Stops waiting for an admission that is no longer needed. */
  abort(jobId: string): void {
    this.pending.get(jobId)?.abort();
  }

  /** Releases the admission of a job whose task has certainly ended or was certainly not started. */
  release(jobId: string): void {
    const admission = this.held.get(jobId);
    this.held.delete(jobId);
    admission?.release();
  }

  /**
   * Cancels pending admissions at once and releases the held ones after `delayMs`,
   * by which time another placement leader counts the tasks.
   */
  releaseAllAfter(delayMs: number): void {
    for (const jobId of this.pending.keys()) this.abort(jobId);
    const held = [...this.held.values()];
    this.held.clear();
    this.options.clock.schedule(delayMs, () => {
      for (const admission of held) admission.release();
    });
  }
}
