/** HTTP stand-in for the platform: instance list, pool operations and object store, with fault injection. */
import { Hono, type Context } from 'hono';
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import type { OperationKind, OperationState } from '../platform/pool_operations';
import type { SimulatedPlatform } from '../platform/simulated_platform';

const faultsSchema = z.object({
  down: z.boolean().default(false),
  /** Delay before a call takes effect, in milliseconds. */
  requestDelayMs: z.number().default(0),
  /** Number of operations and writes from now on whose response is lost after they took effect. */
  loseAnswers: z.int().default(0),
});

type Faults = Readonly<z.infer<typeof faultsSchema>>;

const registrationSchema = z.object({
  instanceIds: z.array(z.string()),
});

const operationSchema = z.object({ operationId: z.string().min(1) });
const OPERATION_KINDS: readonly OperationKind[] = ['drain', 'reboot', 'undrain'];

/**
 * Returns the routes of the stand-in. `POST /instances` adds instances that are already
 * running, `POST /instances/<id>/fail` and `/recover` simulate the failure and
 * the recovery of an instance, and `POST /faults` sets the faults of later calls.
 */
export function platformApp(platform: SimulatedPlatform, clock: Clock): Hono {
  const app = new Hono();
  const injector = new FaultInjector(clock);
  app.post('/faults', async (context) => context.json(injector.set(await context.req.json())));
  app.post('/instances', async (context) => {
    const { instanceIds } = registrationSchema.parse(await context.req.json());
    for (const instanceId of instanceIds) platform.add(instanceId);
    return context.json({ added: instanceIds.length });
  });
  app.post('/instances/:id/fail', (context) => {
    platform.fail(context.req.param('id'));
    return context.json({});
  });
  app.post('/instances/:id/recover', (context) => {
    platform.recover(context.req.param('id'));
    return context.json({});
  });
  app.use('/v1/*', async (context, next) => {
    if (!(await injector.admitCall())) return context.json({ error: 'down' }, 503);
    await next();
    return undefined;
  });
  app.get('/v1/instances', (context) => context.json(platform.list()));
  addOperationRoutes(app, platform, injector);
  addObjectRoutes(app, injector);
  return app;
}

/** Decides which calls fail and which responses are lost. */
class FaultInjector {
  private faults: Faults = faultsSchema.parse({});

  constructor(private readonly clock: Clock) {}

  set(value: unknown): Faults {
    this.faults = faultsSchema.parse(value);
    return this.faults;
  }

  /** Delays the call if a delay is set; resolves with whether the platform is up. */
  async admitCall(): Promise<boolean> {
    if (this.faults.down) return false;
    if (this.faults.requestDelayMs > 0) await this.clock.delay(this.faults.requestDelayMs);
    return true;
  }

  /** Whether the response of this call is lost; decrements the number of responses to lose if so. */
  losesResponse(): boolean {
    if (this.faults.loseAnswers === 0) return false;
    this.faults = { ...this.faults, loseAnswers: this.faults.loseAnswers - 1 };
    return true;
  }
}

function addOperationRoutes(app: Hono, platform: SimulatedPlatform, injector: FaultInjector): void {
  const respond = (context: Context, state: OperationState | null): Response => {
    if (injector.losesResponse()) return context.json({ error: 'answer lost' }, 500);
    return state === null ? context.json({ error: 'unknown' }, 404) : context.json({ state });
  };
  for (const kind of OPERATION_KINDS) {
    app.post(`/v1/instances/:id/${kind}`, async (context) => {
      const { operationId } = operationSchema.parse(await context.req.json());
      return respond(context, platform.start({ operationId, instanceId: context.req.param('id'), kind }));
    });
    app.get(`/v1/instances/:id/${kind}/:operationId`, (context) => {
      const state = platform.operationState(context.req.param('operationId'));
      return state === null ? context.json({ error: 'unknown' }, 404) : context.json({ state });
    });
  }
}

function addObjectRoutes(app: Hono, injector: FaultInjector): void {
  const objects = new Map<string, ArrayBuffer>();
  app.put('/v1/objects/:name', async (context) => {
    objects.set(context.req.param('name'), await context.req.arrayBuffer());
    if (injector.losesResponse()) return context.json({ error: 'answer lost' }, 500);
    return context.json({});
  });
  app.get('/v1/objects/:name', (context) => {
    const content = objects.get(context.req.param('name'));
    return content === undefined ? context.json({ error: 'unknown' }, 404) : context.body(content);
  });
}
