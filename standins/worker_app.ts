/** Stand-in for a target instance: answers requests after a set service time. */
import { Hono } from 'hono';
import type { Clock } from '../kernel/clock';
import { taskApp } from './task_app';

export interface WorkerAppOptions {
  readonly clock: Clock;
  readonly instanceId: string;
  /** Time to serve one request, in milliseconds. */
  readonly serviceMs: number;
}

/** Routes of the stand-in; `GET /stats` on it tells what it has run. */
export function workerApp(options: WorkerAppOptions): Hono {
  const app = new Hono();
  let served = 0;
  app.get('/stats', (context) => context.json({ instanceId: options.instanceId, served }));
  app.route('/', taskApp({ clock: options.clock }));
  app.all('*', async (context) => {
    const body = await context.req.text();
    await options.clock.delay(options.serviceMs);
    served += 1;
    const attemptId = context.req.header('endivestand-attempt-id') ?? '';
    context.header('endivestand-attempt-id', attemptId);
    return context.json({ instanceId: options.instanceId, path: context.req.path, body });
  });
  return app;
}
