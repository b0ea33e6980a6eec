/** The HTTP interface for callers. */
import { Readable } from 'node:stream';
import { Hono, type Context } from 'hono';
import { z } from 'zod';
import type { Headers as HeaderMap } from '../dispatch/dispatcher';
import { Refusal } from '../model/refusal';
import { RESULT_CODES } from '../model/result_code';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { CallerRoutes } from './caller_routes';
import { problemResponse, toRefusal } from './problem';
import { readBody } from './request_body';
import type { CallerRequest, RequestFlow } from './request_flow';

/** A caller that has not sent its whole body by then is refused. */
const BODY_TIMEOUT_MS = 10_000;

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or to this system. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'connection',
  'content-length',
  'endivestand-deadline-ms',
  'endivestand-priority',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const callerHeadersSchema = z.object({
  authorization: z
    .string()
    .regex(/^Bearer \S+$/i, 'authorization must be "Bearer <key>"')
    .optional(),
  'idempotency-key': z.string().min(1).max(255).optional(),
  'endivestand-deadline-ms': z.coerce.number().int().min(1).max(60_000).optional(),
  'endivestand-priority': z.enum(['urgent', 'normal', 'batch']).optional(),
});

export interface CallerApiOptions {
  readonly flow: RequestFlow;
  readonly counters: Counters;
  readonly logger: Logger;
  readonly maxBodyBytes: number;
  /** Routes of other parts, for example jobs. */
  readonly furtherRoutes?: readonly CallerRoutes[];
}

/** Routes of the callers API. */
export function callerApi(options: CallerApiOptions): Hono {
  const app = new Hono();
  app.all('/v1/queues/:queueId/*', async (context) => {
    const request = await decodeRequest(context, options);
    const answer = await options.flow.handle(request);
    options.counters.increment('requests.answered');
    return toResponse(answer.status, answer.headers, answer.body);
  });
  for (const routes of options.furtherRoutes ?? []) routes.addTo(app);
  app.onError((error) => {
    const refusal = toRefusal(error);
    options.counters.increment('requests.refused', refusal.result.name);
    const event = error instanceof Refusal ? LOG_EVENTS.requestRefused : LOG_EVENTS.requestFailed;
    options.logger.info(event, {
      code: refusal.result.code,
      outcome: refusal.outcome,
      cause: causeOf(error),
    });
    return problemResponse(error);
  });
  return app;
}

async function decodeRequest(context: Context, options: CallerApiOptions): Promise<CallerRequest> {
  const raw = context.req.raw;
  const parsed = callerHeadersSchema.safeParse(context.req.header());
  if (!parsed.success) {
    const detail = parsed.error.issues.map(({ message }) => message).join('; ');
    throw new Refusal(RESULT_CODES.malformedRequest, { outcome: 'not_run', detail });
  }
  const headers = parsed.data;
  const body = await readBody(raw.body, { maxBytes: options.maxBodyBytes, timeoutMs: BODY_TIMEOUT_MS });
  const queueId = context.req.param('queueId') ?? '';
  const url = new URL(raw.url);
  return {
    queueId,
    key: headers.authorization?.slice('Bearer '.length) ?? null,
    method: raw.method,
    path: url.pathname.slice(`/v1/queues/${queueId}`.length) + url.search,
    headers: forwardedHeaders(raw.headers),
    body: body.byteLength > 0 ? body : null,
    idempotencyKey: headers['idempotency-key'] ?? null,
    deadlineMs: headers['endivestand-deadline-ms'] ?? null,
    priority: headers['endivestand-priority'] ?? null,
    signal: raw.signal,
  };
}

function forwardedHeaders(headers: Headers): HeaderMap {
  return Object.fromEntries([...headers].filter(([name]) => !UNFORWARDED_HEADERS.has(name)));
}

function toResponse(status: number, headers: HeaderMap, body: Readable): Response {
  const target = new Headers();
  for (const [name, value] of Object.entries(headers)) {
    if (name === 'connection' || name === 'keep-alive' || name === 'transfer-encoding') continue;
    for (const item of typeof value === 'string' ? [value] : value) target.append(name, item);
  }
  const hasBody = status !== 204 && status !== 304;
  if (!hasBody) body.resume();
  return new Response(hasBody ? (Readable.toWeb(body) as ReadableStream<Uint8Array>) : null, {
    status,
    headers: target,
  });
}

function causeOf(error: unknown): string {
  if (!(error instanceof Refusal))
    return error instanceof Error ? (error.stack ?? error.message) : String(error);
  return error.cause instanceof Error ? error.cause.message : '';
}
