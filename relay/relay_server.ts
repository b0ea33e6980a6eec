/** HTTP application that serves the calls of the other scheduler processes. */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0';
import { BodyRejectedError, readLimitedBody } from '../entry/body_reader';
import type { ClientGuard } from '../entry/client_guard';
import type { JobOperations } from '../callers/job_operations';
import type { Clock } from '../kernel/clock';
import { decodeJob } from '../scheduling/job_rows';
import { StoreOutcomeUnknownError, StoreUnavailableError } from '../store/row_store';
import {
  JOB_CANCEL_METHOD,
  epochSchema,
  jobIdSchema,
  MAY_TAKE_OVER,
  PENDING_JOBS_METHOD,
  queueIdSchema,
  laterLeaderSchema,
  RULE_OUT_LATER_LEADER,
  JOB_STATE_METHOD,
  JOB_SUBMIT_METHOD,
  submitSchema,
  TAKE_OVER,
  type RelayOutcome,
} from './relay_calls';
import { RELAY_PATH } from './relay_client';

const HTTP_BAD_REQUEST = 400;

export interface RelayServerOptions {
  readonly clock: Clock;
  /** Uses only the store, so that calls are not forwarded in a loop. */
  readonly jobs: JobOperations;
  readonly isStoreReachable: () => boolean;
  /** Whether this process knows of a placement leader later than that of `epoch`, itself included. */
  readonly knowsLaterLeader: (epoch: number) => boolean;
  readonly clients: ClientGuard;
  /** Called when the placement leader of this epoch has stopped and requests that this process succeed it. */
  readonly onTakeoverRequest: (epoch: number) => void;
}

/** Builds the application that serves {@link RELAY_PATH}. */
export function relayApp(options: RelayServerOptions): Hono<{ Bindings: HttpBindings }> {
  const { clock, jobs, isStoreReachable } = options;
  const server = new JSONRPCServer();
  const serve = (method: string, run: (params: unknown) => Promise<unknown>): void => {
    server.addMethod(method, (params: unknown) => runForOutcome(isStoreReachable(), () => run(params)));
  };
  serve(JOB_SUBMIT_METHOD, (params) => {
    const { job, patienceMs: timeoutMs } = submitSchema.parse(params);
    return jobs.submit({ ...decodeJob(job), deadlineAtMs: clock.monotonicMs() + timeoutMs });
  });
  serve(JOB_STATE_METHOD, (params) => jobs.state(jobIdSchema.parse(params).jobId));
  serve(JOB_CANCEL_METHOD, (params) => jobs.cancel(jobIdSchema.parse(params).jobId));
  serve(PENDING_JOBS_METHOD, (params) => jobs.pending(queueIdSchema.parse(params).queueId));
  // Calls the store, because the placement leader must not step down while no process can reach the store.
  serve(MAY_TAKE_OVER, async () => {
    await jobs.pending('');
    return true;
  });
  const startedAtMs = clock.monotonicMs();
  // Answered without the store, since it is asked in an outage.
  server.addMethod(RULE_OUT_LATER_LEADER, (params: unknown): RelayOutcome => {
    const { epoch, sinceMs } = laterLeaderSchema.parse(params);
    const hasSeenWholeTime = clock.monotonicMs() - startedAtMs >= sinceMs;
    const isRuledOut = hasSeenWholeTime && !isStoreReachable() && !options.knowsLaterLeader(epoch);
    return { kind: 'done', value: isRuledOut };
  });
  serve(TAKE_OVER, (params) => {
    options.onTakeoverRequest(epochSchema.parse(params).epoch);
    return Promise.resolve(true);
  });
  const app = new Hono<{ Bindings: HttpBindings }>();
  const guard = options.clients;
  const maxBytes = guard.limits.settings.clientMaxBodyBytes;
  app.post(RELAY_PATH, async (context) => {
    try {
      const body = await readLimitedBody(context.env.incoming, { guard, maxBytes });
      return context.json(await server.receive(JSON.parse(body.toString()) as JSONRPCRequest));
    } catch (error) {
      if (error instanceof SyntaxError) return context.json({ error: 'bad_body' }, HTTP_BAD_REQUEST);
      if (!(error instanceof BodyRejectedError)) throw error;
      const headers = { 'content-type': 'application/json', connection: 'close' };
      return new Response(JSON.stringify({ error: error.reason }), { status: error.status, headers });
    }
  });
  return app;
}

/** Runs a call and encodes store failures as an outcome that the calling process decodes. */
async function runForOutcome(isReachable: boolean, run: () => Promise<unknown>): Promise<RelayOutcome> {
  if (!isReachable) return { kind: 'unavailable' };
  try {
    return { kind: 'done', value: await run() };
  } catch (error) {
    if (error instanceof StoreUnavailableError) return { kind: 'unavailable' };
    if (error instanceof StoreOutcomeUnknownError) return { kind: 'unknown' };
    throw error;
  }
}
