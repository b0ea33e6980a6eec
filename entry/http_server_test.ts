/** Guards against connections that are cut while a request is on its way to a server that stops. */
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

async function nextAnswer(socket: Socket): Promise<string> {
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  return chunk.toString();
}

describe('a server that stops', () => {
  test('answers a request that arrives on an idle connection after it began to leave', async () => {
    const server = await startServer();
    const socket = connect(server.port, '127.0.0.1');
    socket.write(REQUEST);
    expect(await nextAnswer(socket)).toContain('keep-alive');
    const stopped = server.linger().then(() => server.close());
    socket.write(REQUEST);
    const answer = await nextAnswer(socket);
    expect(answer).toContain('200 OK');
    expect(answer.toLowerCase()).toContain('connection: close');
    await stopped;
  });

  test('answers a connection that is still waiting to be accepted', async () => {
    const server = await startServer();
    const socket = connect(server.port, '127.0.0.1');
    socket.write(REQUEST);
    const stopped = server.linger().then(() => server.close());
    expect(await nextAnswer(socket)).toContain('200 OK');
    await stopped;
  });

  test('ends the connection of an answer that is under way', async () => {
    const app = new Hono();
    let release: () => void = () => undefined;
    const held = new Promise<void>((resolve) => {
      release = resolve;
    });
    app.all('*', async (context) => {
      await held;
      return context.text('served');
    });
    const server = await HttpServer.listen({ app, host: '127.0.0.1', port: 0 });
    const socket = connect(server.port, '127.0.0.1');
    await once(socket, 'connect');
    socket.write(REQUEST);
    const answer = nextAnswer(socket);
    await new Promise((resolve) => setImmediate(resolve));
    server.leave();
    release();
    expect((await answer).toLowerCase()).toContain('connection: close');
    await server.close();
  });
});
