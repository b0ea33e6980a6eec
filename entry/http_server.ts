/** HTTP listener for a hono application. */
import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import type { Hono } from 'hono';

/** Limits against slow and oversized requests. */
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 5_000;

export interface HttpServerOptions {
  readonly app: Hono;
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

/** Bytes on the wire, headers included. */
export interface TrafficBytes {
  readonly received: number;
  readonly sent: number;
}

export class HttpServer {
  private readonly sockets = new Set<Socket>();
  private closedTraffic: TrafficBytes = { received: 0, sent: 0 };

  private constructor(
    private readonly server: Server,
    readonly port: number,
  ) {
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => {
        this.sockets.delete(socket);
        this.closedTraffic = addTraffic(this.closedTraffic, socket);
      });
    });
  }

  /** Resolves once the port accepts connections. Rejects if it cannot be opened. */
  static async listen(options: HttpServerOptions): Promise<HttpServer> {
    const listener = getRequestListener(options.app.fetch);
    const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
      void listener(request, response);
    });
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    const address = server.address();
    return new HttpServer(server, typeof address === 'object' && address ? address.port : options.port);
  }

  /** Bytes exchanged with all clients since the start. */
  traffic(): TrafficBytes {
    return [...this.sockets].reduce(addTraffic, this.closedTraffic);
  }

  /** Stops accepting connections and resolves once the open ones have ended. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }
}

function addTraffic(total: TrafficBytes, socket: Socket): TrafficBytes {
  return { received: total.received + socket.bytesRead, sent: total.sent + socket.bytesWritten };
}
