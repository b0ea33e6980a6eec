/** HTTP interface for the callers of a scheduler process. */
import { Hono, type Context } from 'hono';
import type { HttpBindings } from '@hono/node-server';
import type { Clock } from '../kernel/clock';
import { findQueue, type FleetRules, type QueueRule } from '../scheduling/fleet_rules';
import { StoreOutcomeUnknownError, StoreUnavailableError } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { BadBodyError, type CallerCodec } from './caller_codec';
import type { JobOperations } from './job_operations';

/** Ids of jobs are chosen by callers. */
const JOB_ID = /^[0-9a-f]{16}$/;

/** Told to callers whose job was not accepted, in seconds; the store is away for some seconds at a time. */
const RETRY_AFTER_S = '1';

/** Time kept back from the caller's patience, so that the answer still arrives, in milliseconds. */
const ANSWER_MARGIN_MS = 200;

/** How long a caller that does not say is assumed to wait, in milliseconds. */
const DEFAULT_PATIENCE_MS = 3_000;

export interface JobApiOptions {
  readonly clock: Clock;
  readonly codec: CallerCodec;
  readonly desk: JobOperations;
  readonly rules: () => FleetRules | null;
  readonly counters: Counters;
  readonly logger: Logger;
}

type Handled = Promise<Response> | Response;

/** What a call asks for, once its queue and its team are known. */
interface Call {
  readonly context: Context<{ Bindings: HttpBindings }>;
  readonly queue: QueueRule;
  readonly rules: FleetRules;
  readonly teamId: string | null;
  /** What follows the queue's prefix. */
  readonly rest: string;
}

/**
 * Builds the application: POST, GET and DELETE of a job below its queue's
 * prefix, and GET of the prefix.
 *
 * @example
 * ```ts
 * const server = await HttpServer.listen({ app: jobApi(options), host, port });
 * ```
 */
export function jobApi(options: JobApiOptions): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>();
  const handlers = new JobHandlers(options);
  app.all('*', (context) => handlers.handle(context));
  return app;
}

class JobHandlers {
  constructor(private readonly options: JobApiOptions) {}

  async handle(context: Context<{ Bindings: HttpBindings }>): Promise<Response> {
    const rules = this.options.rules();
    if (rules === null) return this.refuse(context, 503, 'no_rules');
    const host = (context.req.header('host') ?? '').replace(/:\d+$/, '').toLowerCase();
    const queue = findQueue(rules, host, context.req.path);
    if (queue === null) return this.refuse(context, 404, 'unknown_queue');
    const key = this.options.codec.readKey((name) => context.req.header(name));
    const teamId = key === null ? null : (rules.teamByKey.get(key) ?? null);
    if (teamId === null && !queue.openToAll) return this.refuse(context, 401, 'unknown_key');
    const rest = context.req.path.slice(queue.pathPrefix.length);
    return this.guard(context, () => this.dispatch({ context, queue, rules, teamId, rest }));
  }

  private dispatch(call: Call): Handled {
    const { method } = call.context.req;
    if (call.rest === '') {
      return method === 'GET' ? this.pending(call) : this.refuse(call.context, 405, 'bad_method');
    }
    if (!JOB_ID.test(call.rest)) return this.refuse(call.context, 404, 'bad_job_id');
    if (method === 'POST') return this.submit(call);
    if (method === 'GET') return this.state(call);
    if (method === 'DELETE') return this.cancel(call);
    return this.refuse(call.context, 405, 'bad_method');
  }

  /** Answers for a store that is away. */
  private async guard(context: Context, run: () => Handled): Promise<Response> {
    try {
      return await run();
    } catch (error) {
      if (error instanceof StoreUnavailableError) return this.refuse(context, 503, 'store_unavailable');
      if (error instanceof StoreOutcomeUnknownError) return this.refuse(context, 504, 'outcome_unknown');
      if (error instanceof BadBodyError) return this.refuse(context, 400, 'bad_body', error.message);
      throw error;
    }
  }

  private async submit({ context, queue, rules, teamId, rest }: Call): Promise<Response> {
    const { codec, desk, clock } = this.options;
    const patienceMs = codec.readCallerTimeoutMs((name) => context.req.header(name)) ?? DEFAULT_PATIENCE_MS;
    const deadlineAtMs = clock.monotonicMs() + patienceMs - ANSWER_MARGIN_MS;
    if (Number(context.req.header('content-length') ?? 0) > rules.maxBodyBytes) {
      return this.refuse(context, 413, 'body_too_large');
    }
    const text = await context.req.text();
    if (Buffer.byteLength(text) > rules.maxBodyBytes) return this.refuse(context, 413, 'body_too_large');
    const definition = codec.decodeJob(text);
    const submission = { jobId: rest, queueId: queue.queueId, teamId, definition, deadlineAtMs };
    const isNew = await desk.submit(submission);
    this.options.counters.increment('jobs.accepted', isNew ? 'new' : 'repeated');
    this.options.logger.info(LOG_EVENTS.jobAccepted, { jobId: rest, queueId: queue.queueId, teamId, isNew });
    return context.json({}, 200);
  }

  private async state({ context, rest }: Call): Promise<Response> {
    const state = await this.options.desk.state(rest);
    if (state === null) return context.json({ error: 'There is no such job.' }, 410);
    return context.json(this.options.codec.encodeState(state), 200);
  }

  private async cancel({ context, rest }: Call): Promise<Response> {
    const isKnown = await this.options.desk.cancel(rest);
    this.options.counters.increment('jobs.cancel', isKnown ? 'accepted' : 'unknown_job');
    return isKnown ? context.json({}, 200) : context.json({ error: 'There is no such job.' }, 410);
  }

  private async pending({ context, queue }: Call): Promise<Response> {
    const pending = await this.options.desk.pending(queue.queueId);
    return context.json(this.options.codec.encodePending(pending), 200);
  }

  private refuse(context: Context, status: number, reason: string, detail?: string): Response {
    this.options.counters.increment('calls.refused', reason);
    const { method, path } = context.req;
    this.options.logger.info(LOG_EVENTS.jobRejected, { method, path, status, reason, detail });
    const headers = new Headers({ 'content-type': 'application/json' });
    if (status === 503) {
      headers.set('retry-after', RETRY_AFTER_S);
      // A new connection may go to a process that reaches the store.
      headers.set('connection', 'close');
    }
    return new Response(JSON.stringify({ error: reason, detail }), { status, headers });
  }
}
