/** HTTP stand-in for a target instance: runs requests in a fixed number of slots, with fault injection. */
import { randomUUID } from 'node:crypto';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import type { Clock } from '../kernel/clock';
import { taskApp } from './task_app';
import { consumeFault, workerFaultsSchema, type CountedFault, type WorkerFaults } from './worker_faults';
import { WorkerSlots } from './worker_slots';

const DEFAULT_SLOTS = 8;

/** Executions after this number are counted but not listed in `GET /stats`. */
const MAX_LOGGED_EXECUTIONS = 100_000;

/** Response header with the boot id. */
export const BOOT_ID_HEADER = 'endivestand-boot-id';

export interface WorkerAppOptions {
  readonly clock: Clock;
  readonly instanceId: string;
  /** Time to serve one request, in milliseconds. */
  readonly serviceMs: number;
  /** Number of requests that may run at once; 8 if absent. */
  readonly slots?: number;
  /** Random if absent. */
  readonly bootId?: string;
}

/** A request that the stand-in has started to run. */
export interface Execution {
  readonly requestId: string;
  readonly attemptId: string;
  readonly idempotencyKey: string;
  readonly path: string;
  readonly deadlineMs: number;
}

type WorkerContext = Context<{ Bindings: HttpBindings }>;

/**
 * Returns the routes of the stand-in. `GET /stats` returns what it has run, `POST /faults`
 * sets the faults, and `POST /drain` makes it reject requests that have not started.
 */
export function workerApp(options: WorkerAppOptions): Hono<{ Bindings: HttpBindings }> {
  const worker = new Worker(options);
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.get('/stats', (context) => context.json(worker.stats()));
  app.post('/faults', async (context) =>
    context.json(worker.setFaults(workerFaultsSchema.parse(await context.req.json()))),
  );
  app.post('/drain', (context) => context.json(worker.drain()));
  app.route('/', taskApp({ clock: options.clock }));
  app.all('*', (context) => worker.serve(context));
  return app;
}

class Worker {
  private readonly slots: WorkerSlots;
  private readonly bootId: string;
  private readonly executions: Execution[] = [];
  private faults: WorkerFaults = workerFaultsSchema.parse({});
  private served = 0;
  private isDraining = false;
  private lastAttemptId = 'none';

  constructor(private readonly options: WorkerAppOptions) {
    this.slots = new WorkerSlots(options.slots ?? DEFAULT_SLOTS);
    this.bootId = options.bootId ?? randomUUID();
  }

  stats(): Readonly<Record<string, unknown>> {
    return {
      instanceId: this.options.instanceId,
      bootId: this.bootId,
      served: this.served,
      running: this.slots.runningCount(),
      draining: this.isDraining,
      executions: this.executions,
    };
  }

  setFaults(faults: WorkerFaults): WorkerFaults {
    this.faults = faults;
    return faults;
  }

  drain(): Readonly<Record<string, unknown>> {
    this.isDraining = true;
    return { draining: true, running: this.slots.runningCount() };
  }

  async serve(context: WorkerContext): Promise<Response> {
    const body = await context.req.text();
    if (this.isDraining || this.consumesFault('rejectNotRun')) return this.rejectNotRun(context);
    return this.slots.run(async () => {
      if (this.isDraining) return this.rejectNotRun(context);
      this.record(context);
      await this.options.clock.delay(this.options.serviceMs);
      this.served += 1;
      if (this.faults.lateMs > 0) await this.options.clock.delay(this.faults.lateMs);
      return this.respond(context, body);
    });
  }

  private respond(context: WorkerContext, body: string): Response {
    const attemptId = context.req.header('endivestand-attempt-id') ?? '';
    const returnsLastAttemptId = this.consumesFault('crossAttemptIds');
    context.header('endivestand-attempt-id', returnsLastAttemptId ? this.lastAttemptId : attemptId);
    context.header(BOOT_ID_HEADER, this.bootId);
    this.lastAttemptId = attemptId;
    if (this.consumesFault('fail')) return context.json({ error: 'failed' }, 500);
    if (this.consumesFault('failAfterRun')) return context.json({ error: 'failed after it began' }, 503);
    if (this.consumesFault('reset')) {
      context.env.incoming.socket.resetAndDestroy();
      return RESPONSE_ALREADY_SENT;
    }
    const payload = 'x'.repeat(this.faults.answerBytes);
    const text = JSON.stringify({
      instanceId: this.options.instanceId,
      path: context.req.path,
      body,
      ...(payload && { payload }),
    });
    if (this.consumesFault('cut')) return this.sendTruncated(context, text);
    return this.faults.parts > 0 ? this.sendStreamed(context, text) : this.sendWhole(context, text);
  }

  private sendWhole(context: WorkerContext, text: string): Response {
    context.header('content-type', 'application/json');
    context.header('content-length', String(Buffer.byteLength(text)));
    return context.body(text);
  }

  private sendStreamed(context: WorkerContext, text: string): Response {
    const { parts, partDelayMs } = this.faults;
    const partLength = Math.ceil(text.length / parts);
    const { clock } = this.options;
    let sent = 0;
    const stream = new ReadableStream<Uint8Array>({
      pull: async (controller) => {
        if (sent > 0 && partDelayMs > 0) await clock.delay(partDelayMs);
        controller.enqueue(Buffer.from(text.slice(sent, sent + partLength)));
        sent += partLength;
        if (sent >= text.length) controller.close();
      },
    });
    context.header('content-type', 'application/json');
    return context.body(stream);
  }

  private sendTruncated(context: WorkerContext, text: string): Response {
    const { outgoing } = context.env;
    const isStreamed = this.faults.parts > 0;
    outgoing.writeHead(200, {
      'endivestand-attempt-id': context.req.header('endivestand-attempt-id') ?? '',
      ...(!isStreamed && { 'content-length': Buffer.byteLength(text) }),
    });
    outgoing.write(text.slice(0, Math.ceil(text.length / 2)), () => outgoing.destroy());
    return RESPONSE_ALREADY_SENT;
  }

  private rejectNotRun(context: WorkerContext): Response {
    context.header('endivestand-not-run', 'true');
    context.header('endivestand-attempt-id', context.req.header('endivestand-attempt-id') ?? '');
    context.header(BOOT_ID_HEADER, this.bootId);
    context.header('retry-after', '1');
    return context.json({ error: 'rejected before it began' }, 503);
  }

  private record(context: WorkerContext): void {
    if (this.executions.length >= MAX_LOGGED_EXECUTIONS) return;
    this.executions.push({
      requestId: context.req.header('endivestand-request-id') ?? '',
      attemptId: context.req.header('endivestand-attempt-id') ?? '',
      idempotencyKey: context.req.header('idempotency-key') ?? '',
      path: context.req.path,
      deadlineMs: Number(context.req.header('endivestand-deadline-ms') ?? 0),
    });
  }

  /** Whether the fault affects this request; decrements the count of the fault if so. */
  private consumesFault(fault: CountedFault): boolean {
    if (this.faults[fault] === 0) return false;
    this.faults = consumeFault(this.faults, fault);
    return true;
  }
}
