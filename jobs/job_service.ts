/** Submits, reads and cancels jobs on behalf of callers, independent of the front end. */
import { createHash, randomUUID } from 'node:crypto';
import { authorize, type Authorization } from '../admission/authorize';
import { keyIndexOf } from '../admission/key_index';
import { capability } from '../kernel/capability';
import type { Clock } from '../kernel/clock';
import { eventType } from '../kernel/events';
import type { FleetConfiguration } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { TableOutcomeUnknownError, TableUnavailableError } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { cannotRunReason } from './feasibility';
import { isOnWorker, isTerminal, type Job, type JobRequest, INITIAL_PROGRESS } from './job';
import type { JobStore, StoredJob } from './job_store';

/** Maximum number of attempts to write a row that the placement leader writes as well. */
const MAX_WRITE_ATTEMPTS = 8;

/** Published when a job of the pool was submitted, or its cancellation requested, through this entry instance. */
export const JOB_CHANGED = eventType<{ readonly poolId: string }>('jobs.changed');

export const JOB_SERVICE = capability<JobService>('jobs.service');

export interface JobServiceOptions {
  readonly clock: Clock;
  /** Returns the configuration, or `null` if it has not recently been confirmed to be the newest. */
  readonly freshFleet: () => FleetConfiguration | null;
  readonly store: JobStore;
  readonly counters: Counters;
  readonly onChanged: (poolId: string) => void;
}

/** A decoded submission. */
export interface JobSubmission {
  readonly request: JobRequest;
  readonly key: string | null;
  readonly idempotencyKey: string | null;
}

/**
 * Job operations of callers.
 *
 * @example
 * ```ts
 * const job = await service.submit({ request, key, idempotencyKey: 'night-run-7' });
 * await service.cancel(job.jobId, key);
 * ```
 */
export class JobService {
  constructor(private readonly options: JobServiceOptions) {}

  /**
   * Accepts a job, or returns the one that was submitted before with the same
   * idempotency key. Rejects with `RequestError`, which names the reason if no
   * instance of the pool can run the job.
   */
  async submit(submission: JobSubmission): Promise<Job> {
    const { request, key, idempotencyKey } = submission;
    const fleet = this.requireFresh();
    const { queue, teamId } = authorize(fleet, request.queueId, key);
    if (teamId === null) throw notRunError('missingKey');
    const existing = idempotencyKey === null ? null : await this.findExisting(teamId, idempotencyKey);
    if (existing) return requireSameRequest(existing.job, request);
    const reason = cannotRunReason(fleet, queue.poolId, request);
    if (reason !== null) {
      this.options.counters.increment('jobs.refused', 'cannot_run');
      throw new RequestError(RESULT_CODES.jobCannotRun, { outcome: 'not_run', detail: reason });
    }
    const job = this.newJob(request, { queue, teamId }, idempotencyKey);
    return this.insert(job, request);
  }

  /** Rejects with the `RequestError` `unknownJob` if there is no such job or it is another team's. */
  async get(jobId: string, key: string | null): Promise<Job> {
    const stored = await this.callTable(() => this.options.store.read(jobId), 'not_run');
    return this.requireOwnJob(stored, key).job;
  }

  /**
   * Cancels a job; cancelling it again has no further effect. A job that is on a
   * worker is in state `cancelled` only once the placement leader has stopped its
   * task.
   */
  async cancel(jobId: string, key: string | null): Promise<Job> {
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt += 1) {
      const read = await this.callTable(() => this.options.store.read(jobId), 'not_run');
      const stored = this.requireOwnJob(read, key);
      const next = withCancellationRequested(stored.job);
      if (next === stored.job) return next;
      const written = await this.callTable(() => this.options.store.update(stored, next), 'may_have_run');
      if (written) {
        this.options.counters.increment('jobs.cancel_requested');
        this.options.onChanged(next.poolId);
        return next;
      }
      this.options.counters.increment('jobs.write_retried', 'conflict');
    }
    throw new RequestError(RESULT_CODES.jobConflict, { outcome: 'not_run', retryAfterS: 1 });
  }

  private async insert(job: Job, request: JobRequest): Promise<Job> {
    const { store, counters, onChanged } = this.options;
    const result = await this.callTable(() => store.insert(job), 'may_have_run');
    if (result === 'inserted') {
      counters.increment('jobs.submitted');
      onChanged(job.poolId);
      return job;
    }
    const existing = await this.callTable(() => store.read(job.jobId), 'may_have_run');
    if (existing === null) throw notRunError('jobConflict');
    return requireSameRequest(existing.job, request);
  }

  private findExisting(teamId: string, idempotencyKey: string): Promise<StoredJob | null> {
    return this.callTable(() => this.options.store.read(jobIdFor(teamId, idempotencyKey)), 'not_run');
  }

  private newJob(request: JobRequest, authorization: Authorization, idempotencyKey: string | null): Job {
    const { queue } = authorization;
    const teamId = authorization.teamId ?? '';
    return {
      jobId: idempotencyKey === null ? randomUUID() : jobIdFor(teamId, idempotencyKey),
      teamId,
      queueId: queue.queueId,
      poolId: queue.poolId,
      processors: request.processors,
      memoryBytes: request.memoryBytes,
      accelerators: request.accelerators,
      runTimeMs: request.runTimeMs,
      priority: request.priority ?? queue.priority,
      payload: request.payload,
      fingerprint: fingerprintOf(request),
      submittedAtMs: this.options.clock.wallMs(),
      ...INITIAL_PROGRESS,
    };
  }

  private requireOwnJob(stored: StoredJob | null, key: string | null): StoredJob {
    const fleet = this.requireFresh();
    if (key === null) throw notRunError('missingKey');
    const teamKey = keyIndexOf(fleet.keys).find(key);
    if (teamKey === undefined) throw notRunError('unknownKey');
    if (teamKey.teamId !== stored?.job.teamId) throw notRunError('unknownJob');
    return stored;
  }

  private requireFresh(): FleetConfiguration {
    const fleet = this.options.freshFleet();
    if (fleet) return fleet;
    throw new RequestError(RESULT_CODES.staleConfiguration, { outcome: 'not_run', retryAfterS: 1 });
  }

  /** Converts errors of the table service into request errors. */
  private async callTable<T>(call: () => Promise<T>, unknownOutcome: 'not_run' | 'may_have_run'): Promise<T> {
    try {
      return await call();
    } catch (error) {
      if (error instanceof TableUnavailableError) {
        this.options.counters.increment('jobs.refused', 'table_unavailable');
        throw new RequestError(RESULT_CODES.platformUnavailable, {
          outcome: 'not_run',
          retryAfterS: 1,
          cause: error,
        });
      }
      if (!(error instanceof TableOutcomeUnknownError)) throw error;
      this.options.counters.increment('jobs.refused', 'outcome_unknown');
      throw new RequestError(RESULT_CODES.jobOutcomeUnknown, {
        outcome: unknownOutcome,
        retryAfterS: 1,
        cause: error,
      });
    }
  }
}

/** Derives the job id from the idempotency key, so that a repeated submission maps to the same job on every entry instance. */
export function jobIdFor(teamId: string, idempotencyKey: string): string {
  return createHash('sha256').update(`${teamId}\n${idempotencyKey}`, 'utf8').digest('hex').slice(0, 32);
}

/** The job after a request to cancel it; the same object if nothing changes. */
export function withCancellationRequested(job: Job): Job {
  if (isTerminal(job.state) || job.cancelRequested) return job;
  if (isOnWorker(job.state)) return { ...job, cancelRequested: true };
  return { ...job, cancelRequested: true, state: 'cancelled' };
}

function fingerprintOf(request: JobRequest): string {
  const { queueId, priority, processors, memoryBytes, accelerators, runTimeMs, payload } = request;
  const fields = [
    queueId,
    priority ?? null,
    processors,
    memoryBytes,
    accelerators,
    runTimeMs,
    payload,
  ] as const;
  return createHash('sha256').update(JSON.stringify(fields), 'utf8').digest('hex');
}

function requireSameRequest(job: Job, request: JobRequest): Job {
  if (job.fingerprint === fingerprintOf(request)) return job;
  throw notRunError('idempotencyKeyReused');
}

function notRunError(
  name: 'missingKey' | 'unknownKey' | 'unknownJob' | 'jobConflict' | 'idempotencyKeyReused',
): RequestError {
  return new RequestError(RESULT_CODES[name], { outcome: 'not_run' });
}
