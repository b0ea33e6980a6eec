/** The HTTP API for operators, with health endpoints. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { Hono } from 'hono';
import type { ConfigurationService } from '../config/configuration_service';
import type { TicketService } from '../config/ticket_service';
import type { MaintenanceProgress } from '../maintenance/maintenance_progress';
import type { Membership } from '../membership/membership';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { ticketSchema, type Ticket } from '../model/ticket';
import { TableUnavailableError } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { problemResponse, toRequestError } from './problem';
import type { Readiness } from './readiness';
import { readBody } from './request_body';

/** Largest accepted ticket; one that defines 21,000 instances has about 5 MB. */
const MAX_TICKET_BYTES = 16 * 1024 * 1024;
const BODY_TIMEOUT_MS = 10_000;

export interface OperatorApiOptions {
  readonly tickets: TicketService;
  readonly configuration: ConfigurationService;
  readonly membership: Membership;
  readonly readiness: Readiness;
  readonly progress: MaintenanceProgress;
  readonly counters: Counters;
  readonly operatorToken: string;
  /** Builds the response to `GET /v1/status`. */
  readonly status: () => Readonly<Record<string, unknown>>;
}

/** Builds the routes of the operator API. */
export function operatorApi(options: OperatorApiOptions): Hono {
  const app = new Hono();
  const { tickets, configuration, readiness } = options;
  app.get('/live', (context) => context.json({ live: true }));
  app.get('/ready', (context) => {
    const ready = readiness.isReady() && configuration.isFresh();
    return context.json({ ready }, ready ? 200 : 503);
  });
  app.use('/v1/*', async (context, next) => {
    if (!isOperator(context.req.header('authorization'), options.operatorToken)) {
      throw new RequestError(RESULT_CODES.notOperator, { outcome: 'not_run' });
    }
    await next();
  });
  app.post('/v1/tickets', async (context) => {
    const body = await readBody(context.req.raw.body, {
      maxBytes: MAX_TICKET_BYTES,
      timeoutMs: BODY_TIMEOUT_MS,
    });
    const ticket = parseTicket(body.toString('utf8'));
    const dryRun = context.req.query('dryRun') === 'true';
    return context.json(dryRun ? tickets.dryRun(ticket) : await tickets.apply(ticket));
  });
  app.get('/v1/tickets', async (context) => context.json({ tickets: await tickets.list() }));
  app.get('/v1/tickets/:number', async (context) =>
    context.json(await tickets.get(Number(context.req.param('number')))),
  );
  app.get('/v1/status', (context) => context.json(options.status()));
  for (const kind of ['teams', 'pools', 'queues'] as const) {
    app.get(`/v1/${kind}`, (context) => context.json({ [kind]: [...configuration.fleet()[kind].values()] }));
  }
  app.get('/v1/waves', async (context) => context.json({ waves: await options.progress.waves() }));
  app.get('/v1/members', (context) => context.json({ members: options.membership.registered() }));
  app.get('/v1/instances', (context) => {
    const { instances, instanceStates } = configuration.fleet();
    const list = [...instances.values()].map((instance) => ({
      ...instance,
      current: instanceStates.get(instance.instanceId) ?? null,
    }));
    return context.json({ instances: list });
  });
  app.onError((error) => {
    const requestError =
      error instanceof TableUnavailableError
        ? new RequestError(RESULT_CODES.platformUnavailable, {
            outcome: 'not_run',
            retryAfterS: 1,
            cause: error,
          })
        : toRequestError(error);
    options.counters.increment('operators.refused', requestError.result.name);
    return problemResponse(requestError);
  });
  return app;
}

function parseTicket(text: string): Ticket {
  const parsed = ticketSchema.safeParse(parseJson(text));
  if (parsed.success) return parsed.data;
  const detail = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ');
  throw new RequestError(RESULT_CODES.invalidTicket, { outcome: 'not_run', detail });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new RequestError(RESULT_CODES.invalidTicket, {
      outcome: 'not_run',
      detail: 'The ticket is not valid JSON.',
      cause: error,
    });
  }
}

function isOperator(header: string | undefined, token: string): boolean {
  const digest = (value: string): Buffer => createHash('sha256').update(value).digest();
  return timingSafeEqual(digest(header ?? ''), digest(`Bearer ${token}`));
}
