import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { text } from 'node:stream/consumers';
import { HttpServer } from '../entry/http_server';
import { SystemClock } from '../kernel/system_clock';
import { VirtualClock } from '../kernel/virtual_clock';
import { workerApp, type Execution } from '../standins/worker_app';
import { MemoryCounters } from '../telemetry/counters';
import type { AttemptRequest, AttemptResult, AttemptTarget } from './attempt_transport';
import { UndiciTransport } from './undici_transport';

const clock = new VirtualClock();
const systemClock = new SystemClock();
let counters: MemoryCounters;
let transport: UndiciTransport;
let worker: HttpServer;
let target: AttemptTarget;
let rawServers: Server[] = [];

beforeEach(async () => {
  counters = new MemoryCounters();
  transport = new UndiciTransport({ clock, counters });
  const app = workerApp({ clock: systemClock, instanceId: 'worker-1', serviceMs: 1, slots: 4 });
  worker = await HttpServer.listen({ app, host: '127.0.0.1', port: 0 });
  target = targetAt(worker.port);
});

afterEach(async () => {
  await transport.close();
  await worker.close();
  await Promise.all(rawServers.map((server) => new Promise((resolve) => server.close(resolve))));
  rawServers = [];
});

function targetAt(port: number, connections = 4): AttemptTarget {
  return { instanceId: 'worker-1', host: '127.0.0.1', port, connections };
}

function request(overrides: Partial<AttemptRequest> = {}): AttemptRequest {
  const nowMs = clock.monotonicMs();
  return {
    attemptId: 'attempt-1',
    requestId: 'request-1',
    method: 'POST',
    path: '/hold',
    headers: {},
    body: Buffer.from('slot 7'),
    deadlineAtMs: nowMs + 10_000,
    bodyDeadlineAtMs: nowMs + 60_000,
    signal: new AbortController().signal,
    beforeSend: () => undefined,
    ...overrides,
  };
}

async function setFaults(faults: Readonly<Record<string, number>>): Promise<void> {
  await fetch(`http://127.0.0.1:${worker.port}/faults`, { method: 'POST', body: JSON.stringify(faults) });
}

async function stats(): Promise<{ readonly running: number; readonly executions: readonly Execution[] }> {
  const response = await fetch(`http://127.0.0.1:${worker.port}/stats`);
  return (await response.json()) as { running: number; executions: Execution[] };
}

async function waitUntilRunning(): Promise<void> {
  while ((await stats()).running === 0) await systemClock.delay(2);
}

function summary(result: AttemptResult): string {
  return result.kind === 'responded'
    ? `responded ${result.response.status}`
    : `${result.outcome} ${result.reason}`;
}

/** Starts a server that handles each chunk of a request with `onRequest`, and counts its connections. */
async function rawTarget(
  onRequest: (socket: Socket, connection: number) => void,
): Promise<{ readonly target: AttemptTarget; readonly connections: () => number }> {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    const connectionNumber = connections;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      onRequest(socket, connectionNumber);
    });
  });
  rawServers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { target: targetAt((server.address() as AddressInfo).port, 1), connections: () => connections };
}

function okResponse(attemptId: string, body = 'ok'): string {
  return `HTTP/1.1 200 OK\r\nendivestand-attempt-id: ${attemptId}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

describe('an attempt', () => {
  test('passes on a complete response and sends the remaining time to the target', async () => {
    const result = await transport.attempt(target, request());
    if (result.kind !== 'responded') throw new Error(summary(result));
    expect(await text(result.response.body)).toContain('slot 7');
    expect(await result.response.ended).toBe('complete');
    expect((await stats()).executions).toMatchObject([{ requestId: 'request-1', deadlineMs: 10_000 }]);
  });

  test('did not run if the connection is refused', async () => {
    const { target: closed } = await rawTarget(() => undefined);
    await new Promise((resolve) => rawServers.pop()?.close(resolve));
    expect(summary(await transport.attempt(closed, request()))).toBe('not_run refused');
  });

  test('did not run if the caller disconnects while the connection is being opened', async () => {
    const caller = new AbortController();
    const pending = transport.attempt(target, request({ signal: caller.signal }));
    caller.abort();
    expect(summary(await pending)).toBe('not_run cancelled_before_send');
    await transport.attempt(target, request({ requestId: 'later' }));
    expect((await stats()).executions.map(({ requestId }) => requestId)).toEqual(['later']);
  });

  test('did not run if the deadline passes while it waits for a connection', async () => {
    await setFaults({ lateMs: 50 });
    const singleConnection = targetAt(worker.port, 1);
    const first = transport.attempt(singleConnection, request({ requestId: 'first' }));
    await waitUntilRunning();
    const waiting = transport.attempt(singleConnection, request({ deadlineAtMs: clock.monotonicMs() + 100 }));
    clock.advance(100);
    expect(summary(await waiting)).toBe('not_run deadline_before_send');
    expect(summary(await first)).toBe('responded 200');
    await transport.attempt(singleConnection, request({ requestId: 'later' }));
    expect((await stats()).executions.map(({ requestId }) => requestId)).toEqual(['first', 'later']);
  });

  test('is not sent if the permission is withdrawn in the event-loop turn of the first byte', async () => {
    const beforeSend = (): void => {
      throw new Error('The key was revoked.');
    };
    expect(summary(await transport.attempt(target, request({ beforeSend })))).toBe('not_run not_permitted');
    expect((await stats()).executions).toEqual([]);
  });

  test('is not sent after its deadline, even if a process pause has delayed the timer of the deadline', async () => {
    const late = request({ deadlineAtMs: clock.monotonicMs() - 1 });
    expect(summary(await transport.attempt(target, late))).toBe('not_run deadline_before_send');
    expect((await stats()).executions).toEqual([]);
  });

  test.each(['deadline', 'cancelled'])(
    'may have run if it ends by %s after the first byte',
    async (reason) => {
      await setFaults({ lateMs: 20 });
      const caller = new AbortController();
      const pending = transport.attempt(target, request({ signal: caller.signal }));
      await waitUntilRunning();
      if (reason === 'deadline') clock.advance(10_000);
      else caller.abort();
      expect(summary(await pending)).toBe(`may_have_run ${reason}`);
    },
  );

  test.each([
    [{ reset: 1 }, 'may_have_run reset'],
    [{ crossAttemptIds: 1 }, 'may_have_run mismatch'],
    [{ failAfterRun: 1 }, 'responded 503'],
    [{ rejectNotRun: 1 }, 'not_run rejected_by_target'],
  ])('reports the outcome correctly with the fault %p', async (faults, expected) => {
    await setFaults(faults);
    expect(summary(await transport.attempt(target, request()))).toBe(expected);
    const executed = (await stats()).executions.length;
    expect(executed).toBe(expected.startsWith('not_run') ? 0 : 1);
  });

  test.each([0, 4])('never presents a cut response as complete (%p parts)', async (parts) => {
    await setFaults({ cut: 1, answerBytes: 20_000, parts });
    const result = await transport.attempt(target, request());
    if (result.kind !== 'responded') throw new Error(summary(result));
    await expect(text(result.response.body)).rejects.toThrow();
    expect(await result.response.ended).toBe('cut');
    expect(counters.snapshot().get('attempts.answer_incomplete:cut')).toBe(1);
  });

  test('streams a response to a slow reader without loss', async () => {
    await setFaults({ answerBytes: 3_000_000, parts: 40 });
    const result = await transport.attempt(target, request());
    if (result.kind !== 'responded') throw new Error(summary(result));
    let length = 0;
    for await (const chunk of result.response.body) {
      length += (chunk as Buffer).byteLength;
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(length).toBeGreaterThan(3_000_000);
    expect(await result.response.ended).toBe('complete');
  });

  test('rejects a response whose end cannot be distinguished from a cut', async () => {
    const { target: raw } = await rawTarget((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nall of it?'));
    expect(summary(await transport.attempt(raw, request()))).toBe('may_have_run unverifiable');
  });

  test('a late response reaches no other request: the next attempt uses another connection', async () => {
    let sendLateResponse = (): void => undefined;
    const { target: raw, connections } = await rawTarget((socket, connection) => {
      if (connection === 1) sendLateResponse = () => socket.write(okResponse('attempt-1', 'late'));
      else socket.write(okResponse('attempt-2', 'fresh'));
    });
    const timedOut = transport.attempt(raw, request({ deadlineAtMs: clock.monotonicMs() + 100 }));
    while (connections() === 0) await systemClock.delay(2);
    await systemClock.delay(5);
    clock.advance(100);
    expect((await timedOut).kind).toBe('failed');
    const next = await transport.attempt(raw, request({ attemptId: 'attempt-2' }));
    sendLateResponse();
    if (next.kind !== 'responded') throw new Error(summary(next));
    expect(await text(next.response.body)).toBe('fresh');
    expect(connections()).toBe(2);
  });

  test('closes a connection on which a response with another attempt id arrived', async () => {
    const { target: raw, connections } = await rawTarget((socket, connection) => {
      socket.write(okResponse(connection === 1 ? 'attempt-9' : 'attempt-2'));
    });
    expect(summary(await transport.attempt(raw, request()))).toBe('may_have_run mismatch');
    const next = await transport.attempt(raw, request({ attemptId: 'attempt-2' }));
    expect(summary(next)).toBe('responded 200');
    if (next.kind === 'responded') await text(next.response.body);
    expect(connections()).toBe(2);
  });
});
