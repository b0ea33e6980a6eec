/** Guards against closing a connection while a request is in transit to a stopping server. */
import { connect, type Socket } from 'node:net';
import { once } from 'node:events';
import { Hono } from 'hono';
import { HttpServer } from './http_server';

const REQUEST = 'GET / HTTP/1.1\r\nhost: localhost\r\n\r\n';

async function startServer(): Promise<HttpServer> {
  const app = new Hono();
  app.all('*', (context) => context.text('served'));
  return HttpServer.listen({ app, host: '127.0.0.1', port: 0 });
}

async function nextResponse(socket: Socket): Promise<string> {
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  return chunk.toString();
}

describe('a stopping server', () => {
  test('responds to a request that arrives on an idle connection while connections are drained', async () => {
    const server = await startServer();
    const socket = connect(server.port, '127.0.0.1');
    socket.write(REQUEST);
    expect(await nextResponse(socket)).toContain('keep-alive');
    const stopped = server.drainConnections().then(() => server.close());
    socket.write(REQUEST);
    const response = await nextResponse(socket);
    expect(response).toContain('200 OK');
    expect(response.toLowerCase()).toContain('connection: close');
    await stopped;
  });

  test('serves a connection that is still waiting to be accepted', async () => {
    const server = await startServer();
    const socket = connect(server.port, '127.0.0.1');
    socket.write(REQUEST);
    const stopped = server.drainConnections().then(() => server.close());
    expect(await nextResponse(socket)).toContain('200 OK');
    await stopped;
  });

  test('closes the connection after a response that was in progress when keep-alive was disabled', async () => {
    const app = new Hono();
    let release: () => void = () => undefined;
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    app.all('*', async (context) => {
      await released;
      return context.text('served');
    });
    const server = await HttpServer.listen({ app, host: '127.0.0.1', port: 0 });
    const socket = connect(server.port, '127.0.0.1');
    await once(socket, 'connect');
    socket.write(REQUEST);
    const response = nextResponse(socket);
    await new Promise((resolve) => setImmediate(resolve));
    server.disableKeepAlive();
    release();
    expect((await response).toLowerCase()).toContain('connection: close');
    await server.close();
  });
});
