/** Job operations on the store, forwarded to another process while this one cannot reach the store. */
import { z } from 'zod';
import { JobOperations, type Submission } from '../callers/job_operations';
import type { Clock } from '../kernel/clock';
import type { JobState } from '../scheduling/job_progress';
import { encodeJob } from '../scheduling/job_rows';
import { isStoreFailure, StoreOutcomeUnknownError, StoreUnavailableError } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { JOB_CANCEL_METHOD, PENDING_JOBS_METHOD, JOB_STATE_METHOD, JOB_SUBMIT_METHOD } from './relay_calls';
import { RelayOutcomeUnknownError, type RelayClient } from './relay_client';

/** Time for which a submission is tried on the store before it is forwarded, in milliseconds. */
const LOCAL_TIMEOUT_MS = 900;

/**
 * Timeout of a forwarded call, in milliseconds. It allows for two calls to the
 * store and the network round trip.
 */
const RELAY_TIMEOUT_MS = 1_300;

const stateSchema = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']).nullable();

export interface ForwardingJobOperationsOptions {
  readonly clock: Clock;
  readonly local: JobOperations;
  readonly client: RelayClient;
  readonly isStoreReachable: () => boolean;
  readonly counters: Counters;
}

/** Performs each operation locally, and through another process if the store cannot be reached from here. */
export class ForwardingJobOperations extends JobOperations {
  constructor(private readonly options: ForwardingJobOperationsOptions) {
    super();
  }

  /** Creating a row is idempotent, so a submission that may have been stored can safely be forwarded. */
  override submit(submission: Submission): Promise<boolean> {
    const { clock, local } = this.options;
    const localDeadlineAtMs = Math.min(submission.deadlineAtMs, clock.monotonicMs() + LOCAL_TIMEOUT_MS);
    return this.localThenForwarded(
      () => local.submit({ ...submission, deadlineAtMs: localDeadlineAtMs }),
      async () => {
        const { deadlineAtMs, ...job } = submission;
        const timeoutMs = Math.min(deadlineAtMs - clock.monotonicMs(), RELAY_TIMEOUT_MS);
        if (timeoutMs <= 0)
          throw new StoreUnavailableError('The deadline leaves no time to forward the submission.');
        const row = encodeJob({ ...job, acceptedAtMs: clock.wallMs() });
        return decodeResult(
          z.boolean(),
          await this.forward(JOB_SUBMIT_METHOD, { job: row, patienceMs: timeoutMs }),
        );
      },
    );
  }

  override state(jobId: string): Promise<JobState | null> {
    return this.localThenForwarded(
      () => this.options.local.state(jobId),
      async () => decodeResult(stateSchema, await this.forward(JOB_STATE_METHOD, { jobId })),
    );
  }

  override cancel(jobId: string): Promise<boolean> {
    return this.localThenForwarded(
      () => this.options.local.cancel(jobId),
      async () => decodeResult(z.boolean(), await this.forward(JOB_CANCEL_METHOD, { jobId })),
    );
  }

  override pending(queueId: string): Promise<number> {
    return this.localThenForwarded(
      () => this.options.local.pending(queueId),
      async () => decodeResult(z.number(), await this.forward(PENDING_JOBS_METHOD, { queueId })),
    );
  }

  private async localThenForwarded<T>(local: () => Promise<T>, forwarded: () => Promise<T>): Promise<T> {
    if (!this.options.isStoreReachable()) return forwarded();
    try {
      return await local();
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      return this.forwardAfterFailure(error as Error, forwarded);
    }
  }

  /**
   * Forwards a call after a local failure. Throws the local failure again if no
   * process can reach the store, because the local call may have been applied.
   */
  private async forwardAfterFailure<T>(failure: Error, forwarded: () => Promise<T>): Promise<T> {
    try {
      return await forwarded();
    } catch (error) {
      if (error instanceof StoreUnavailableError) throw failure;
      throw error;
    }
  }

  private async forward(method: string, params: object): Promise<unknown> {
    const { client, counters } = this.options;
    try {
      const outcome = await client.call(method, params, RELAY_TIMEOUT_MS);
      counters.increment('relay.calls', outcome.kind);
      if (outcome.kind === 'done') return outcome.value;
      if (outcome.kind === 'unavailable') throw new StoreUnavailableError('No process can reach the store.');
      throw new StoreOutcomeUnknownError('The other process does not know whether the call was applied.');
    } catch (error) {
      if (!(error instanceof RelayOutcomeUnknownError)) throw error;
      counters.increment('relay.calls', 'unanswered');
      throw new StoreOutcomeUnknownError(error.message);
    }
  }
}

/** Throws {@link StoreOutcomeUnknownError} for a result that another version may have sent: its call was applied. */
function decodeResult<T>(schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (!parsed.success) throw new StoreOutcomeUnknownError('The other process sent a malformed result.');
  return parsed.data;
}
