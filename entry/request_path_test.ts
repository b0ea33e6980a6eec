/**
 * Guards the request path end to end: requests that run twice, truncated
 * responses that look complete, and requests that a shutdown interrupts.
 */
import { once } from 'node:events';
import { request as httpRequest, type IncomingMessage } from 'node:http';
import { AdmissionGate, type Admission } from '../admission/admission_gate';
import { hashKey } from '../admission/key_index';
import { Claims } from '../dispatch/claims';
import { FleetDispatcher } from '../dispatch/fleet_dispatcher';
import { DrainingTargetTracker } from '../dispatch/draining_target_tracker';
import { TargetSelector } from '../dispatch/target_selector';
import { UndiciTransport } from '../dispatch/undici_transport';
import { SystemClock } from '../kernel/system_clock';
import { Membership, type Member, type IncarnationState } from '../membership/membership';
import { EMPTY_CONFIGURATION, instanceSchema, queueSchema, type FleetConfiguration } from '../model/fleet';
import { MemoryTableService } from '../platform/memory_table_service';
import { ObjectStore } from '../platform/object_store';
import { TableStore } from '../platform/table_store';
import { workerApp, type Execution } from '../standins/worker_app';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { callerApi } from './caller_api';
import { HttpServer } from './http_server';
import { RequestFlow } from './request_flow';

const KEY = 'key-of-the-desk';
const clock = new SystemClock();
const logger = Logger.create({ level: 'silent' });

class SingleMemberMembership extends Membership {
  override self(): Member {
    const address = { host: '127.0.0.1', peerPort: 1, availabilityZone: 'zone-1' };
    return { memberId: 'entry-1', incarnation: 'i1', ...address, status: 'active' };
  }
  override registered(): readonly Member[] {
    return [this.self()];
  }
  override incarnationState(): IncarnationState {
    return 'live';
  }
}

class MemoryObjects extends ObjectStore {
  private readonly objects = new Map<string, Buffer>();
  override put(name: string, content: Buffer): Promise<void> {
    this.objects.set(name, content);
    return Promise.resolve();
  }
  override get(name: string): Promise<Buffer | null> {
    return Promise.resolve(this.objects.get(name) ?? null);
  }
}

class CountingGate extends AdmissionGate {
  running = 0;
  override admit(): Promise<Admission> {
    this.running += 1;
    return Promise.resolve({
      release: () => {
        this.running -= 1;
      },
    });
  }
}

interface ReceivedResponse {
  readonly status: number;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  /** Whether the whole response was received. */
  readonly isComplete: boolean;
}

/** Test harness: one entry instance and its workers in this process. */
class RequestPathHarness {
  readonly counters = new MemoryCounters();
  readonly gate = new CountingGate();
  readonly table = new MemoryTableService(new TableStore(), clock);
  readonly drainingTracker = new DrainingTargetTracker();
  isFresh = true;
  private readonly transport = new UndiciTransport({ clock, counters: this.counters });
  private readonly claims: Claims;
  readonly flow: RequestFlow;
  private constructor(
    private readonly workers: readonly HttpServer[],
    fleet: FleetConfiguration,
  ) {
    const { counters, drainingTracker, transport, table } = this;
    const common = { clock, counters, logger };
    const targets = new TargetSelector({
      fleet: () => fleet,
      drainingTracker,
      availabilityZone: 'zone-1',
      entryInstanceCount: () => 1,
      random: Math.random,
    });
    this.claims = new Claims({
      ...common,
      table,
      objects: new MemoryObjects(),
      membership: new SingleMemberMembership(),
    });
    this.flow = new RequestFlow({
      clock,
      configuration: {
        fleet: () => fleet,
        isFresh: () => this.isFresh,
        untilFresh: () => Promise.resolve(this.isFresh),
      },
      admission: this.gate,
      dispatcher: new FleetDispatcher({
        ...common,
        transport,
        targets,
        drainingTracker,
        random: Math.random,
      }),
      claims: this.claims,
    });
  }
  server!: HttpServer;

  static async start(workerCount = 1, closedWorkers = 0): Promise<RequestPathHarness> {
    const listen = (index: number): Promise<HttpServer> => {
      const app = workerApp({ clock, instanceId: `w${index}`, serviceMs: 1 });
      return HttpServer.listen({ app, host: '127.0.0.1', port: 0 });
    };
    const workers = await Promise.all(Array.from({ length: workerCount }, (_, index) => listen(index)));
    const ports = workers.map(({ port }) => port);
    await Promise.all(workers.slice(0, closedWorkers).map((worker) => worker.close()));
    const harness = new RequestPathHarness(workers.slice(closedWorkers), fleetAt(ports));
    const { flow, counters } = harness;
    const app = callerApi({ flow, counters, logger, maxBodyBytes: 1_000_000 });
    harness.server = await HttpServer.listen({ app, host: '127.0.0.1', port: 0 });
    return harness;
  }

  async stop(): Promise<void> {
    await this.flow.close();
    await this.server.close();
    await this.claims.stop(1_000);
    await this.transport.close();
    await Promise.all(this.workers.map((worker) => worker.close()));
  }

  async setFaults(faults: Readonly<Record<string, number>>): Promise<void> {
    const set = ({ port }: HttpServer): Promise<unknown> =>
      fetch(`http://127.0.0.1:${port}/faults`, { method: 'POST', body: JSON.stringify(faults) });
    await Promise.all(this.workers.map(set));
  }

  async executions(): Promise<readonly Execution[]> {
    const logs = this.workers.map(async ({ port }) => {
      const response = await fetch(`http://127.0.0.1:${port}/stats`);
      return ((await response.json()) as { executions: Execution[] }).executions;
    });
    return (await Promise.all(logs)).flat();
  }

  /** Sends a request; `readDelayMs` makes a slow caller, `signal` one that disconnects. */
  async send(
    method: string,
    headers: Readonly<Record<string, string>> = {},
    options: { readonly readDelayMs?: number; readonly signal?: AbortSignal } = {},
  ): Promise<ReceivedResponse> {
    const outgoing = httpRequest({
      port: this.server.port,
      host: '127.0.0.1',
      path: '/v1/queues/quote/hold',
      method,
      headers: { authorization: `Bearer ${KEY}`, ...headers },
      agent: false,
      ...(options.signal && { signal: options.signal }),
    });
    const [response] = (await once(outgoing.end(), 'response')) as [IncomingMessage];
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of response) {
        chunks.push(chunk as Buffer);
        if (options.readDelayMs !== undefined) await clock.delay(options.readDelayMs);
      }
    } catch {
      // The connection was destroyed, which `isComplete` reports.
    }
    const body = Buffer.concat(chunks).toString();
    return {
      status: response.statusCode ?? 0,
      body,
      headers: response.headers,
      isComplete: response.complete,
    };
  }
}

function fleetAt(ports: readonly number[]): FleetConfiguration {
  const instances = ports.map((port, index) =>
    instanceSchema.parse({
      instanceId: `w${index}`,
      poolId: 'quotes',
      host: '127.0.0.1',
      port,
      availabilityZone: 'zone-1',
      rack: 'rack-1',
    }),
  );
  return {
    ...EMPTY_CONFIGURATION,
    teams: new Map([['desk', { teamId: 'desk', shareWeight: 1, upperLimit: 100 }]]),
    keys: new Map([['k', { keyId: 'k', teamId: 'desk', keyHashHex: hashKey(KEY) }]]),
    queues: new Map([['quote', queueSchema.parse({ queueId: 'quote', poolId: 'quotes' })]]),
    instances: new Map(instances.map((instance) => [instance.instanceId, instance])),
    instanceStates: new Map(
      instances.map(({ instanceId, poolId }) => [
        instanceId,
        { instanceId, poolId, movingTo: null, state: 'serving' as const, epoch: 0 },
      ]),
    ),
  };
}

function problemOf(response: ReceivedResponse): { readonly code: number; readonly outcome: string } {
  const { code, outcome } = JSON.parse(response.body) as { code: number; outcome: string };
  return { code, outcome };
}

let harness: RequestPathHarness;
afterEach(() => harness.stop());

describe('the request path', () => {
  test.each([0, 4])(
    'destroys the connection of a caller whose response was truncated (%p parts)',
    async (parts) => {
      harness = await RequestPathHarness.start();
      await harness.setFaults({ cut: 1, answerBytes: 50_000, parts });
      const response = await harness.send('POST', { 'endivestand-deadline-ms': '500' });
      expect(response.isComplete).toBe(false);
      expect(response.body).not.toContain('Error');
    },
  );

  test('runs a request that is not idempotent once, even if its connection is reset', async () => {
    harness = await RequestPathHarness.start(2);
    await harness.setFaults({ reset: -1 });
    const response = await harness.send('POST', { 'endivestand-deadline-ms': '300' });
    expect(problemOf(response)).toEqual({ code: 3004, outcome: 'may_have_run' });
    expect(await harness.executions()).toHaveLength(1);
    expect(harness.gate.running).toBe(1);
  });

  test('retries requests that did not run, and idempotent requests', async () => {
    harness = await RequestPathHarness.start(2);
    await harness.setFaults({ rejectNotRun: 1 });
    expect((await harness.send('POST')).status).toBe(200);
    expect(await harness.executions()).toHaveLength(1);
    await harness.setFaults({ reset: 1 });
    expect((await harness.send('GET', { 'endivestand-deadline-ms': '5000' })).status).toBe(200);
    const counts = harness.counters.snapshot();
    for (const reason of ['rejected_by_target', 'reset']) {
      expect(counts.get(`retries:${reason}`)).toBeGreaterThan(0);
      expect(counts.get(`retries:${reason}`)).toBe(counts.get(`attempts.failed:${reason}`));
    }
  });

  test('sends no further requests to a target that has refused a connection', async () => {
    harness = await RequestPathHarness.start(3, 1);
    for (let index = 0; index < 20; index += 1) expect((await harness.send('POST')).status).toBe(200);
    expect(harness.counters.snapshot().get('attempts.failed:refused') ?? 0).toBeLessThanOrEqual(1);
  });

  test.each([0, 100_000])(
    'replays the recorded response instead of running a request again (%p bytes)',
    async (answerBytes) => {
      harness = await RequestPathHarness.start();
      await harness.setFaults({ answerBytes });
      const first = await harness.send('POST', { 'idempotency-key': 'hold-1' });
      let second = await harness.send('POST', { 'idempotency-key': 'hold-1' });
      while (second.status === 409) second = await harness.send('POST', { 'idempotency-key': 'hold-1' });
      expect(second).toMatchObject({ status: 200, body: first.body });
      expect(second.headers['endivestand-replayed']).toBe('true');
      expect(await harness.executions()).toHaveLength(1);
    },
  );

  test('records the response for a caller that disconnected, so that its retry receives it', async () => {
    harness = await RequestPathHarness.start();
    await harness.setFaults({ lateMs: 50 });
    const caller = new AbortController();
    const disconnected = harness.send('POST', { 'idempotency-key': 'hold-1' }, { signal: caller.signal });
    disconnected.catch(() => undefined);
    while ((await harness.executions()).length === 0) await clock.delay(2);
    caller.abort();
    await expect(disconnected).rejects.toThrow();
    let retry = await harness.send('POST', { 'idempotency-key': 'hold-1' });
    while (retry.status === 409) retry = await harness.send('POST', { 'idempotency-key': 'hold-1' });
    expect(retry.status).toBe(200);
    expect(await harness.executions()).toHaveLength(1);
  });

  test('rejects a repeated request whose response was too large to be recorded', async () => {
    harness = await RequestPathHarness.start();
    await harness.setFaults({ answerBytes: 1_200_000 });
    await harness.send('POST', { 'idempotency-key': 'hold-1' });
    let second = await harness.send('POST', { 'idempotency-key': 'hold-1' });
    while (problemOf(second).code === 1008)
      second = await harness.send('POST', { 'idempotency-key': 'hold-1' });
    expect(problemOf(second)).toEqual({ code: 1010, outcome: 'ran' });
  });

  test('checks again after the claim that the configuration is current, and releases the key if it is not', async () => {
    harness = await RequestPathHarness.start();
    harness.table.faults = { ...harness.table.faults, requestDelayMs: 30 };
    const pending = harness.send('POST', { 'idempotency-key': 'hold-1' });
    while ((harness.counters.snapshot().get('claims.transactions') ?? 0) === 0) await clock.delay(1);
    harness.isFresh = false;
    expect(problemOf(await pending)).toEqual({ code: 2005, outcome: 'not_run' });
    expect(await harness.executions()).toEqual([]);
    harness.isFresh = true;
    expect((await harness.send('POST', { 'idempotency-key': 'hold-1' })).status).toBe(200);
  });

  test('rejects a request with an idempotency key as not run while the table is down, and serves others', async () => {
    harness = await RequestPathHarness.start();
    harness.table.faults = { ...harness.table.faults, down: true };
    const rejected = await harness.send('POST', { 'idempotency-key': 'hold-1' });
    expect(problemOf(rejected)).toEqual({ code: 1012, outcome: 'not_run' });
    expect((await harness.send('POST')).status).toBe(200);
    expect(await harness.executions()).toHaveLength(1);
  });

  test('completes all responses at a graceful shutdown, also streams and those to slow callers', async () => {
    harness = await RequestPathHarness.start(2);
    await harness.setFaults({ answerBytes: 400_000, parts: 8, partDelayMs: 10 });
    const callers = [{}, { readDelayMs: 5 }, {}, { readDelayMs: 20 }].map((options) =>
      harness.send('POST', {}, options),
    );
    const withIdempotencyKey = harness.send('POST', { 'idempotency-key': 'hold-1' }, { readDelayMs: 5 });
    while ((await harness.executions()).length < 5) await clock.delay(2);
    const closed = harness.flow.close();
    expect(problemOf(await harness.send('GET'))).toEqual({ code: 2004, outcome: 'not_run' });
    await closed;
    // While anything could still run at a target, the member could not leave at once.
    expect(harness.gate.running).toBe(0);
    await harness.server.close();
    for (const response of await Promise.all([...callers, withIdempotencyKey])) {
      expect(response).toMatchObject({ status: 200, isComplete: true });
      expect(JSON.parse(response.body)).toMatchObject({ path: '/hold' });
    }
  });
});
