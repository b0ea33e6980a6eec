/** The HTTP API for callers. */
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import { z } from 'zod';
import type { HttpHeaders } from '../dispatch/dispatcher';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { CallerRoutes } from './caller_routes';
import { problemResponse, toRequestError } from './problem';
import { readBody } from './request_body';
import type { CallerRequest, RequestFlow } from './request_flow';
import { sendResponse } from './send_response';

/** Time for a caller to send its whole body, in milliseconds; a slower request is rejected. */
const BODY_TIMEOUT_MS = 10_000;

/** Prefix of the headers that are addressed to this system; they are not forwarded to targets. */
const RESERVED_HEADER_PREFIX = 'endivestand-';

/**
 * Headers that are not forwarded: they belong to one connection (RFC 9110, section
 * 7.6.1) or are meant for this system.
 */
const STRIPPED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'connection',
  'content-length',
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
  /** Routes that other modules add, for example for jobs. */
  readonly additionalRoutes?: readonly CallerRoutes[];
}

/** Builds the routes of the caller API, for a server that provides Node's request and response as bindings. */
export function callerApi(options: CallerApiOptions): Hono {
  const app = new Hono();
  app.all('/v1/queues/:queueId/*', async (context) => {
    const request = await decodeRequest(context, options);
    const response = await options.flow.handle(request);
    options.counters.increment('requests.answered');
    const { outgoing } = context.env as HttpBindings;
    sendResponse(outgoing, context.req.raw.method, response);
    return RESPONSE_ALREADY_SENT;
  });
  for (const routes of options.additionalRoutes ?? []) routes.addTo(app);
  app.onError((error) => {
    const requestError = toRequestError(error);
    options.counters.increment('requests.refused', requestError.result.name);
    const event = error instanceof RequestError ? LOG_EVENTS.requestRejected : LOG_EVENTS.requestFailed;
    options.logger.info(event, {
      code: requestError.result.code,
      outcome: requestError.outcome,
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
    throw new RequestError(RESULT_CODES.malformedRequest, { outcome: 'not_run', detail });
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

function forwardedHeaders(headers: Headers): HttpHeaders {
  return Object.fromEntries(
    [...headers].filter(([name]) => !STRIPPED_HEADERS.has(name) && !name.startsWith(RESERVED_HEADER_PREFIX)),
  );
}

function causeOf(error: unknown): string {
  if (!(error instanceof RequestError))
    return error instanceof Error ? (error.stack ?? error.message) : String(error);
  return error.cause instanceof Error ? error.cause.message : '';
}
