/** The HTTP routes of jobs: they decode requests for the job service and encode its responses. */
import type { Context, Hono } from 'hono';
import { z } from 'zod';
import type { JobService } from '../jobs/job_service';
import { jobRequestSchema, type Job, type JobRequest } from '../jobs/job';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { CallerRoutes } from './caller_routes';
import { readBody } from './request_body';

const BODY_TIMEOUT_MS = 10_000;

/**
 * Maximum length of a submission's body, in bytes. It has room for a payload of
 * the maximum length in which every character is escaped, and for the other
 * fields.
 */
const MAX_JOB_BODY_BYTES = 128 * 1024;

const headersSchema = z.object({
  authorization: z
    .string()
    .regex(/^Bearer \S+$/i, 'authorization must be "Bearer <key>"')
    .optional(),
  'idempotency-key': z.string().min(1).max(255).optional(),
});

/** `POST /v1/jobs`, `GET /v1/jobs/<jobId>` and `DELETE /v1/jobs/<jobId>`. */
export class JobRoutes extends CallerRoutes {
  constructor(private readonly service: JobService) {
    super();
  }

  override addTo(app: Hono): void {
    app.post('/v1/jobs', async (context) => {
      const { key, idempotencyKey } = decodeHeaders(context);
      const request = await decodeJob(context);
      const job = await this.service.submit({ request, key, idempotencyKey });
      return context.json(jobView(job), 201);
    });
    app.get('/v1/jobs/:jobId', async (context) => {
      const job = await this.service.get(context.req.param('jobId'), decodeHeaders(context).key);
      return context.json(jobView(job));
    });
    app.delete('/v1/jobs/:jobId', async (context) => {
      const job = await this.service.cancel(context.req.param('jobId'), decodeHeaders(context).key);
      return context.json(jobView(job), job.state === 'placed' || job.state === 'running' ? 202 : 200);
    });
  }
}

interface JobHeaders {
  readonly key: string | null;
  readonly idempotencyKey: string | null;
}

function decodeHeaders(context: Context): JobHeaders {
  const parsed = headersSchema.safeParse(context.req.header());
  if (!parsed.success) throw malformed(parsed.error);
  return {
    key: parsed.data.authorization?.slice('Bearer '.length) ?? null,
    idempotencyKey: parsed.data['idempotency-key'] ?? null,
  };
}

async function decodeJob(context: Context): Promise<JobRequest> {
  const body = await readBody(context.req.raw.body, {
    maxBytes: MAX_JOB_BODY_BYTES,
    timeoutMs: BODY_TIMEOUT_MS,
  });
  const parsed = jobRequestSchema.safeParse(parseJson(body.toString('utf8')));
  if (!parsed.success) throw malformed(parsed.error);
  return parsed.data;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new RequestError(RESULT_CODES.malformedRequest, {
      outcome: 'not_run',
      detail: 'The body is not JSON.',
      cause: error,
    });
  }
}

function malformed(error: z.ZodError): RequestError {
  const detail = error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ');
  return new RequestError(RESULT_CODES.malformedRequest, { outcome: 'not_run', detail });
}

function jobView(job: Job): Readonly<Record<string, unknown>> {
  const { jobId, queueId, priority, state, attempt, failures, reason, cancelRequested } = job;
  return { jobId, queueId, priority, state, attempt, failures, reason, cancelRequested };
}
