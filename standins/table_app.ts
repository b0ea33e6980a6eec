/** HTTP stand-in for the platform's table service, with fault injection. */
import { Hono } from 'hono';
import { z } from 'zod';
import type { TrafficBytes } from '../entry/http_server';
import type { Clock } from '../kernel/clock';
import type { TableStore } from '../platform/table_store';

const querySchema = z.object({
  keys: z.array(z.string()).optional(),
  prefixes: z.array(z.string()).optional(),
});

const transactionSchema = z.object({
  conditions: z.array(z.object({ key: z.string(), version: z.number().nullable() })),
  writes: z.array(z.object({ key: z.string(), value: z.unknown() })),
});

const faultsSchema = z.object({
  down: z.boolean().default(false),
  /** Delay before a call takes effect, in milliseconds. */
  requestDelayMs: z.number().default(0),
  /** Number of transactions from now on whose response is lost after they took effect. */
  loseAnswers: z.int().default(0),
});

type Faults = Readonly<z.infer<typeof faultsSchema>>;

export interface TableAppOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  /** Bytes exchanged with all clients, for `GET /stats`. */
  readonly traffic: () => TrafficBytes;
}

/** Returns the routes of the stand-in; `POST /faults` sets the faults of later calls. */
export function tableApp(options: TableAppOptions): Hono {
  const { store, clock, traffic } = options;
  const app = new Hono();
  let faults: Faults = faultsSchema.parse({});
  let reads = 0;
  let transactions = 0;
  app.post('/faults', async (context) => {
    faults = faultsSchema.parse(await context.req.json());
    return context.json(faults);
  });
  app.get('/stats', (context) => context.json({ reads, transactions, traffic: traffic() }));
  app.use('/v1/*', async (context, next) => {
    if (faults.down) return context.json({ error: 'down' }, 503);
    if (faults.requestDelayMs > 0) await clock.delay(faults.requestDelayMs);
    await next();
    return undefined;
  });
  app.post('/v1/read', async (context) => {
    reads += 1;
    const { keys, prefixes } = querySchema.parse(await context.req.json());
    return context.json({ rows: store.read({ ...(keys && { keys }), ...(prefixes && { prefixes }) }) });
  });
  app.post('/v1/transact', async (context) => {
    transactions += 1;
    const result = store.transact(transactionSchema.parse(await context.req.json()));
    if (faults.loseAnswers > 0) {
      faults = { ...faults, loseAnswers: faults.loseAnswers - 1 };
      return context.json({ error: 'answer lost' }, 500);
    }
    if (result.kind === 'conflict') return context.json(result);
    return context.json({ kind: result.kind, versions: Object.fromEntries(result.versions) });
  });
  return app;
}
