/** Routes of the task commands of a worker stand-in; `POST /task-faults` sets the faults of later commands. */
import { Hono, type Context } from 'hono';
import type { Clock } from '../kernel/clock';
import { TaskHost, taskHostFaultsSchema } from '../platform/task_host';
import {
  TASK_ROUTE_PREFIX,
  openRequestSchema,
  renewRequestSchema,
  startRequestSchema,
  taskRequestSchema,
  throttleRequestSchema,
} from '../platform/task_protocol';
import { SessionEndedError, TaskRefusedError, type WorkerSession } from '../platform/worker_control';

export interface TaskAppOptions {
  readonly clock: Clock;
}

/**
 * Returns a Hono application to mount at the root of a worker stand-in.
 *
 * @example
 * ```ts
 * app.route('/', taskApp({ clock }));
 * ```
 */
export function taskApp(options: TaskAppOptions): Hono {
  const app = new Hono();
  const host = new TaskHost(options.clock);
  app.post('/task-faults', async (context) => {
    host.faults = taskHostFaultsSchema.parse(await context.req.json());
    return context.json(host.faults);
  });
  app.get(`${TASK_ROUTE_PREFIX}/intervals`, (context) => context.json({ intervals: host.intervals() }));
  addCommandRoute(app, 'open', (body) => {
    const { poolId, epoch } = openRequestSchema.parse(body);
    return host.open(poolId, epoch);
  });
  addCommandRoute(app, 'renew', (body) => {
    const { session, ...request } = renewRequestSchema.parse(body);
    return { tasks: host.renew(withoutTasks(session), request) };
  });
  addCommandRoute(app, 'start', (body) => {
    const { session, spec } = startRequestSchema.parse(body);
    return host.start(withoutTasks(session), spec);
  });
  addCommandRoute(app, 'checkpoint', (body) => {
    const { session, taskId } = taskRequestSchema.parse(body);
    return host.checkpoint(withoutTasks(session), taskId);
  });
  addCommandRoute(app, 'throttle', (body) => {
    const { session, taskId, fraction } = throttleRequestSchema.parse(body);
    return host.throttle(withoutTasks(session), taskId, fraction);
  });
  addCommandRoute(app, 'stop', (body) => {
    const { session, taskId } = taskRequestSchema.parse(body);
    return host.stop(withoutTasks(session), taskId);
  });
  return app;
}

function addCommandRoute(app: Hono, command: string, run: (body: unknown) => object): void {
  app.post(`${TASK_ROUTE_PREFIX}/${command}`, async (context) => {
    const body: unknown = await context.req.json();
    return respond(context, () => run(body));
  });
}

function respond(context: Context, run: () => object): Response {
  try {
    return context.json(run());
  } catch (error) {
    if (error instanceof SessionEndedError) {
      return context.json({ error: error.message, staleEpoch: error.staleEpoch }, 409);
    }
    if (error instanceof TaskRefusedError) return context.json({ error: error.message }, 422);
    throw error;
  }
}

function withoutTasks(session: Omit<WorkerSession, 'tasks'>): WorkerSession {
  return { ...session, tasks: [] };
}
