/** Serves callers from the store, and through another process while this one does not reach it. */
import { z } from 'zod';
import { JobOperations, type Submission } from '../callers/job_operations';
import type { Clock } from '../kernel/clock';
import type { JobState } from '../scheduling/job_progress';
import { encodeJob } from '../scheduling/job_rows';
import { isStoreFailure, StoreOutcomeUnknownError, StoreUnavailableError } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { CANCEL, PENDING, STATE, SUBMIT } from './relay_calls';
import { RelayOutcomeUnknownError, type RelayClient } from './relay_client';

/** How long the store is tried for a submission before another process is asked, in milliseconds. */
const LOCAL_PATIENCE_MS = 900;

/** Time limit of a call to another process, in milliseconds: two calls to the store and the way. */
const RELAY_TIMEOUT_MS = 1_300;

const stateSchema = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']).nullable();

export interface RelayedDeskOptions {
  readonly clock: Clock;
  readonly local: JobOperations;
  readonly client: RelayClient;
  readonly isStoreReachable: () => boolean;
  readonly counters: Counters;
}

export class RelayedDesk extends JobOperations {
  constructor(private readonly options: RelayedDeskOptions) {
    super();
  }

  /** Creating the same row twice is one job, so that a submission may be repeated through another process. */
  override submit(submission: Submission): Promise<boolean> {
    const { clock, local } = this.options;
    const localUntilMs = Math.min(submission.deadlineAtMs, clock.monotonicMs() + LOCAL_PATIENCE_MS);
    return this.perform(
      () => local.submit({ ...submission, deadlineAtMs: localUntilMs }),
      async () => {
        const { deadlineAtMs, ...job } = submission;
        const patienceMs = Math.min(deadlineAtMs - clock.monotonicMs(), RELAY_TIMEOUT_MS);
        if (patienceMs <= 0) throw new StoreUnavailableError('There is no time left to ask another process.');
        const row = encodeJob({ ...job, acceptedAtMs: clock.wallMs() });
        return z.boolean().parse(await this.relay(SUBMIT, { job: row, patienceMs }));
      },
    );
  }

  override state(jobId: string): Promise<JobState | null> {
    return this.perform(
      () => this.options.local.state(jobId),
      async () => stateSchema.parse(await this.relay(STATE, { jobId })),
    );
  }

  override cancel(jobId: string): Promise<boolean> {
    return this.perform(
      () => this.options.local.cancel(jobId),
      async () => z.boolean().parse(await this.relay(CANCEL, { jobId })),
    );
  }

  override pending(queueId: string): Promise<number> {
    return this.perform(
      () => this.options.local.pending(queueId),
      async () => z.number().parse(await this.relay(PENDING, { queueId })),
    );
  }

  private async perform<T>(local: () => Promise<T>, relayed: () => Promise<T>): Promise<T> {
    if (!this.options.isStoreReachable()) return relayed();
    try {
      return await local();
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      return this.afterFailure(error as Error, relayed);
    }
  }

  /** A call that may have taken effect here is not refused as not done, whatever the other process says. */
  private async afterFailure<T>(failure: Error, relayed: () => Promise<T>): Promise<T> {
    try {
      return await relayed();
    } catch (error) {
      if (error instanceof StoreUnavailableError) throw failure;
      throw error;
    }
  }

  private async relay(method: string, params: object): Promise<unknown> {
    const { client, counters } = this.options;
    try {
      const outcome = await client.call(method, params, RELAY_TIMEOUT_MS);
      counters.increment('relay.calls', outcome.kind);
      if (outcome.kind === 'done') return outcome.value;
      if (outcome.kind === 'unavailable') throw new StoreUnavailableError('No process reaches the store.');
      throw new StoreOutcomeUnknownError('Another process does not know whether the call took effect.');
    } catch (error) {
      if (!(error instanceof RelayOutcomeUnknownError)) throw error;
      counters.increment('relay.calls', 'unanswered');
      throw new StoreOutcomeUnknownError(error.message);
    }
  }
}
