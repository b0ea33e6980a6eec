/** Guards against calls that are sent after their time limit, and responses that end the process. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { CallNotSentError, CallOutcomeUnknownError, HttpChannel } from './http_channel';

const servers: Server[] = [];
const channels: HttpChannel[] = [];

afterEach(() => {
  for (const channel of channels.splice(0)) channel.close();
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

async function serve(handle: Parameters<typeof createServer>[1]): Promise<HttpChannel> {
  const server = createServer({}, handle);
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const channel = new HttpChannel(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
  channels.push(channel);
  return channel;
}

const CALL = { method: 'POST', path: '/', timeoutMs: 5_000, body: { a: 1 } } as const;

test('returns the status and the decoded body', async () => {
  const channel = await serve((_request, response) => response.writeHead(409).end('{"reason":"x"}'));
  expect(await channel.call(CALL)).toEqual({ status: 409, body: { reason: 'x' } });
});

test('a body in several chunks is decoded as a whole', async () => {
  const channel = await serve((_request, response) => {
    response.write('{"text":"é');
    setImmediate(() => response.end('"}'));
  });
  expect((await channel.call(CALL)).body).toEqual({ text: 'é' });
});

test.each(['{"trunc', 'not JSON'])('the body %s leaves the outcome unknown', async (body) => {
  const channel = await serve((_request, response) => response.end(body));
  await expect(channel.call(CALL)).rejects.toThrow(CallOutcomeUnknownError);
});

test('a connection that is closed without a response leaves the outcome unknown', async () => {
  const channel = await serve((request) => request.socket.destroy());
  await expect(channel.call(CALL)).rejects.toThrow(CallOutcomeUnknownError);
});

test('a new connection and a broken one show that the server may have restarted', async () => {
  const channel = await serve((_request, response) => response.end('{}'));
  expect(channel.connectionChanges).toBe(0);
  await channel.call(CALL);
  const afterFirst = channel.connectionChanges;
  expect(afterFirst).toBeGreaterThan(0);
  await channel.call(CALL);
  expect(channel.connectionChanges).toBe(afterFirst);
  servers[0]?.closeAllConnections();
  await expect(channel.call(CALL).catch(() => channel.call(CALL))).resolves.toMatchObject({ status: 200 });
  expect(channel.connectionChanges).toBeGreaterThan(afterFirst);
});

test('a refused connection means that the call was not sent', async () => {
  const channel = new HttpChannel('127.0.0.1:1', 1);
  channels.push(channel);
  await expect(channel.call(CALL)).rejects.toThrow(CallNotSentError);
});

test.each([
  '10.0.0.1:99999',
  '10.0.0.1:-1',
  '999.0.0.1:80',
  '10.08.0.1:80',
  '10.0.0.1:80/path',
  'a b:80',
  '',
])(
  'a call to %j, which is no address, is reported as not sent instead of ending the process',
  async (address) => {
    const channel = new HttpChannel(address, 1);
    channels.push(channel);
    await expect(channel.call(CALL)).rejects.toThrow(CallNotSentError);
  },
);

test('a call with a header that cannot be sent is reported as not sent', async () => {
  const channel = await serve((_request, response) => response.end('{}'));
  const headers = { 'expect-instance': 'a\nb' };
  await expect(channel.call({ ...CALL, headers })).rejects.toThrow(CallNotSentError);
});

test('a call that waits for a connection beyond its time limit is reported as not sent, and never is', async () => {
  const received: string[] = [];
  let release: () => void = () => undefined;
  const channel = await serve((request, response) => {
    received.push(request.url ?? '');
    if (request.url === '/first') release = () => response.end('{}');
    else response.end('{}');
  });
  const first = channel.call({ ...CALL, path: '/first' });
  await expect(channel.call({ ...CALL, path: '/second', timeoutMs: 50 })).rejects.toThrow(CallNotSentError);
  release();
  await first;
  await channel.call({ ...CALL, path: '/third' });
  expect(received).toEqual(['/first', '/third']);
});

test('a call whose permission ends while it waits for a connection is never sent', async () => {
  const received: string[] = [];
  let release: () => void = () => undefined;
  const channel = await serve((request, response) => {
    received.push(request.url ?? '');
    if (request.url === '/first') release = () => response.end('{}');
    else response.end('{}');
  });
  let isPermitted = true;
  const first = channel.call({ ...CALL, path: '/first' });
  const second = channel.call({ ...CALL, path: '/second', maySend: () => isPermitted });
  const rejected = expect(second).rejects.toThrow(CallNotSentError);
  while (received.length === 0) await new Promise((resolve) => setImmediate(resolve));
  isPermitted = false;
  release();
  await Promise.all([first, rejected]);
  await channel.call({ ...CALL, path: '/third' });
  expect(received).toEqual(['/first', '/third']);
});
