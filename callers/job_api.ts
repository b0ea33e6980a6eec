/** HTTP API for the callers of a scheduler process. */
import { Readable } from 'node:stream';
import { Hono, type Context } from 'hono';
import type { HttpBindings } from '@hono/node-server';
import type { AdmissionControl } from '../admission_control/admission_control';
import { BodyRejectedError, readLimitedBody } from '../entry/body_reader';
import type { ClientGuard } from '../entry/client_guard';
import type { Clock } from '../kernel/clock';
import { findQueue, type FleetRules, type QueueRule } from '../scheduling/fleet_rules';
import { RowFormatError } from '../scheduling/job_rows';
import { unstorableReason } from '../scheduling/stored_job';
import { StoreOutcomeUnknownError, StoreUnavailableError } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { BadBodyError, type CallerCodec } from './caller_codec';
import type { JobOperations } from './job_operations';
import { ShortageRejection, type Screening } from './shortage_rejection';

/** Format of job ids, which callers choose. */
const JOB_ID = /^[0-9a-f]{16}$/;

/**
 * Value of `Retry-After` in responses with status 503, in seconds, the shortest that the
 * header can state. A process cannot know when the store will respond, when rules arrive or
 * when a row is repaired. Outages last some seconds and callers wait about 3 s in all; a
 * caller that returns after one second may also meet another process that reaches the store.
 */
const UNAVAILABLE_RETRY_AFTER_S = 1;

/** Part of the caller's timeout that is reserved for sending the response, in milliseconds. */
const RESPONSE_MARGIN_MS = 200;

/** Timeout assumed for a caller that states none, in milliseconds. */
const DEFAULT_CALLER_TIMEOUT_MS = 3_000;

export interface JobApiOptions {
  readonly clock: Clock;
  readonly codec: CallerCodec;
  readonly jobs: JobOperations;
  readonly admission: AdmissionControl;
  readonly rules: () => FleetRules | null;
  readonly counters: Counters;
  readonly logger: Logger;
  readonly clients: ClientGuard;
}

type HandlerResult = Promise<Response> | Response;

/** A request whose queue and team have been determined. */
interface JobCall {
  readonly context: Context<{ Bindings: HttpBindings }>;
  readonly queue: QueueRule;
  readonly rules: FleetRules;
  readonly teamId: string | null;
  /** The path after the queue's prefix: a job id, or empty for the queue itself. */
  readonly pathSuffix: string;
}

/**
 * Builds the application: `POST`, `GET` and `DELETE` of a job below its
 * queue's prefix, and `GET` of the prefix for the number of pending jobs.
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

const textDecoder = new TextDecoder();

/** The request of Node.js, or the body of a request that did not come from a server. */
function bodyOf(context: Context<{ Bindings: HttpBindings }>): Readable {
  const bindings = context.env as Partial<HttpBindings> | undefined;
  if (bindings?.incoming !== undefined) return bindings.incoming;
  const { body } = context.req.raw;
  return body === null ? Readable.from([]) : Readable.fromWeb(body);
}

class JobHandlers {
  private readonly shortage: ShortageRejection;

  constructor(private readonly options: JobApiOptions) {
    this.shortage = new ShortageRejection(options);
  }

  async handle(context: Context<{ Bindings: HttpBindings }>): Promise<Response> {
    const rules = this.options.rules();
    if (rules === null) return this.reject(context, 503, 'no_rules');
    const host = (context.req.header('host') ?? '').replace(/:\d+$/, '').toLowerCase();
    const queue = findQueue(rules, host, context.req.path);
    if (queue === null) return this.reject(context, 404, 'unknown_queue');
    const key = this.options.codec.readKey((name) => context.req.header(name));
    const teamId = key === null ? null : (rules.teamByKey.get(key) ?? null);
    if (teamId === null && !queue.openToAll) return this.reject(context, 401, 'unknown_key');
    const pathSuffix = context.req.path.slice(queue.pathPrefix.length);
    return this.mapErrors(context, () => this.dispatch({ context, queue, rules, teamId, pathSuffix }));
  }

  private dispatch(call: JobCall): HandlerResult {
    const { method } = call.context.req;
    if (call.pathSuffix === '') {
      return method === 'GET' ? this.pending(call) : this.reject(call.context, 405, 'bad_method');
    }
    if (!JOB_ID.test(call.pathSuffix)) return this.reject(call.context, 404, 'bad_job_id');
    if (method === 'POST') return this.submit(call);
    if (method === 'GET') return this.state(call);
    if (method === 'DELETE') return this.cancel(call);
    return this.reject(call.context, 405, 'bad_method');
  }

  /** Converts store failures and invalid bodies into responses. */
  private async mapErrors(context: Context, operation: () => HandlerResult): Promise<Response> {
    try {
      return await operation();
    } catch (error) {
      if (error instanceof StoreUnavailableError) return this.reject(context, 503, 'store_unavailable');
      if (error instanceof StoreOutcomeUnknownError) return this.reject(context, 504, 'outcome_unknown');
      if (error instanceof RowFormatError) return this.reject(context, 503, 'row_unusable');
      if (error instanceof BodyRejectedError) return this.reject(context, error.status, error.reason);
      if (error instanceof BadBodyError) return this.reject(context, 400, 'bad_body', error.message);
      throw error;
    }
  }

  private async submit({ context, queue, rules, teamId, pathSuffix }: JobCall): Promise<Response> {
    const { codec, jobs, clock } = this.options;
    const callerTimeoutMs =
      codec.readCallerTimeoutMs((name) => context.req.header(name)) ?? DEFAULT_CALLER_TIMEOUT_MS;
    const deadlineAtMs = clock.monotonicMs() + callerTimeoutMs - RESPONSE_MARGIN_MS;
    const body = await readLimitedBody(bodyOf(context), {
      guard: this.options.clients,
      maxBytes: rules.maxBodyBytes,
    });
    const definition = codec.decodeJob(textDecoder.decode(body));
    const job = { jobId: pathSuffix, queueId: queue.queueId, teamId, acceptedUnder: queue, definition };
    const unstorable = unstorableReason({ ...job, acceptedAtMs: clock.wallMs() });
    if (unstorable !== null) return this.reject(context, 400, 'job_too_large', unstorable);
    const screening = await this.shortage.screen({ jobId: pathSuffix, teamId, queue, definition });
    if (screening.kind === 'reject') return this.rejectShort(screening);
    const isNew = screening.kind === 'submit' && (await jobs.submit({ ...job, deadlineAtMs }));
    this.options.counters.increment('jobs.accepted', isNew ? 'new' : 'repeated');
    this.options.logger.info(LOG_EVENTS.jobAccepted, {
      jobId: pathSuffix,
      queueId: queue.queueId,
      teamId,
      isNew,
    });
    return context.json({}, 200);
  }

  private async state({ context, pathSuffix }: JobCall): Promise<Response> {
    const state = await this.options.jobs.state(pathSuffix);
    if (state === null) return context.json({ error: 'There is no such job.' }, 410);
    return context.json(this.options.codec.encodeState(state), 200);
  }

  private async cancel({ context, pathSuffix }: JobCall): Promise<Response> {
    const isKnown = await this.options.jobs.cancel(pathSuffix);
    this.options.counters.increment('jobs.cancel', isKnown ? 'accepted' : 'unknown_job');
    return isKnown ? context.json({}, 200) : context.json({ error: 'There is no such job.' }, 410);
  }

  private async pending({ context, queue }: JobCall): Promise<Response> {
    const pending = await this.options.jobs.pending(queue.queueId);
    return context.json(this.options.codec.encodePending(pending), 200);
  }

  /** The job has not been stored by this attempt; it is logged with the inputs that decided. */
  private rejectShort({ reason, retryAfterS }: Extract<Screening, { readonly kind: 'reject' }>): Response {
    this.options.counters.increment('calls.refused', reason);
    const headers = { 'content-type': 'application/json', 'retry-after': String(retryAfterS) };
    return new Response(JSON.stringify({ error: reason }), { status: 429, headers });
  }

  private reject(context: Context, status: number, reason: string, detail?: string): Response {
    this.options.counters.increment('calls.refused', reason);
    const { method, path } = context.req;
    this.options.logger.info(LOG_EVENTS.jobRejected, { method, path, status, reason, detail });
    const headers = new Headers({ 'content-type': 'application/json' });
    if (status === 503) {
      headers.set('retry-after', String(UNAVAILABLE_RETRY_AFTER_S));
    }
    if (status === 503 || status === 408) {
      // The load balancer may route a new connection to a process that reaches the store.
      headers.set('connection', 'close');
    }
    return new Response(JSON.stringify({ error: reason, detail }), { status, headers });
  }
}
