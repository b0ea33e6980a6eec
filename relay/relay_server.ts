/** Serves the other processes of the system. */
import { Hono } from 'hono';
import { JSONRPCServer } from 'json-rpc-2.0';
import type { JobOperations } from '../callers/job_operations';
import type { Clock } from '../kernel/clock';
import { decodeJob } from '../scheduling/job_rows';
import { StoreOutcomeUnknownError, StoreUnavailableError } from '../store/row_store';
import {
  CANCEL,
  epochSchema,
  jobIdSchema,
  MAY_TAKE_OVER,
  PENDING,
  queueIdSchema,
  STATE,
  SUBMIT,
  submitSchema,
  TAKE_OVER,
  type RelayOutcome,
} from './relay_calls';
import { RELAY_PATH } from './relay_client';

export interface RelayServerOptions {
  readonly clock: Clock;
  /** Answers from the store alone, so that calls do not travel in circles. */
  readonly desk: JobOperations;
  readonly isStoreReachable: () => boolean;
  /** The holder of this epoch has stopped and asks this process to follow it. */
  readonly onTakeoverRequest: (epoch: number) => void;
}

export function relayApp(options: RelayServerOptions): Hono {
  const { clock, desk, isStoreReachable } = options;
  const server = new JSONRPCServer();
  const serve = (method: string, run: (params: unknown) => Promise<unknown>): void => {
    server.addMethod(method, (params: unknown) => answer(isStoreReachable(), () => run(params)));
  };
  serve(SUBMIT, (params) => {
    const { job, patienceMs } = submitSchema.parse(params);
    return desk.submit({ ...decodeJob(job), deadlineAtMs: clock.monotonicMs() + patienceMs });
  });
  serve(STATE, (params) => desk.state(jobIdSchema.parse(params).jobId));
  serve(CANCEL, (params) => desk.cancel(jobIdSchema.parse(params).jobId));
  serve(PENDING, (params) => desk.pending(queueIdSchema.parse(params).queueId));
  // A real call: a store that is down for all must not make its holder resign.
  serve(MAY_TAKE_OVER, async () => {
    await desk.pending('');
    return true;
  });
  serve(TAKE_OVER, (params) => {
    options.onTakeoverRequest(epochSchema.parse(params).epoch);
    return Promise.resolve(true);
  });
  const app = new Hono();
  app.post(RELAY_PATH, async (context) => context.json(await server.receive(await context.req.json())));
  return app;
}

async function answer(isReachable: boolean, run: () => Promise<unknown>): Promise<RelayOutcome> {
  if (!isReachable) return { kind: 'unavailable' };
  try {
    return { kind: 'done', value: await run() };
  } catch (error) {
    if (error instanceof StoreUnavailableError) return { kind: 'unavailable' };
    if (error instanceof StoreOutcomeUnknownError) return { kind: 'unknown' };
    throw error;
  }
}
