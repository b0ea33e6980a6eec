/** Small JSON server on a loopback port, for the stand-ins of the review's cases. */
import { createServer, type IncomingHttpHeaders, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

export type Fields = Readonly<Record<string, unknown>>;

export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: Fields;
}

export interface ServiceReply {
  readonly status: number;
  readonly body: Fields;
}

export type ServiceHandler = (call: ServiceCall) => Promise<ServiceReply> | ServiceReply;

/** A server that can fall silent or end like a killed process, and start again on its port. */
export class HttpService {
  private server: Server | null = null;
  private port = 0;

  constructor(private readonly handler: ServiceHandler) {}

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Listens on a free port; after {@link stop}, on the same port again. */
  async listen(): Promise<void> {
    const server = createServer((request, response) => {
      readBody(request)
        .then((body) => this.handler(toCall(request, body)))
        .then(({ status, body }) => {
          response.writeHead(status, { 'content-type': 'application/json' });
          response.end(JSON.stringify(body));
        })
        .catch(() => {
          response.destroy();
        });
    });
    server.keepAliveTimeout = 120_000;
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, '127.0.0.1', resolve);
    });
    this.port = (server.address() as AddressInfo).port;
  }

  /** Resets all connections and refuses new ones. */
  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    this.server = null;
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

function toCall(request: IncomingMessage, body: string): ServiceCall {
  const url = new URL(request.url ?? '/', 'http://127.0.0.1');
  return {
    method: request.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body: body === '' ? {} : (JSON.parse(body) as Fields),
  };
}

export function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
