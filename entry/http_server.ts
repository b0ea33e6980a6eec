/** HTTP listener for a hono application. */
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';

/** Limits against slow and oversized requests. */
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 5_000;

/** A connection whose caller has not taken its answer this long after the server closed is ended, in milliseconds. */
const CLOSE_LIMIT_MS = 60_000;

/** Time for callers to use or close connections that are open when a server stops, in milliseconds: a loaded machine lets a caller wait for some hundred. */
const CONNECTION_LINGER_MS = 1_000;

/** How often a server that is about to close looks whether callers have left, in milliseconds. */
const LINGER_POLL_MS = 20;

export interface HttpServerOptions {
  readonly app: Hono | Hono<{ Bindings: HttpBindings }>;
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  /** Connections beyond this number are closed at once; unlimited if absent. */
  readonly maxConnections?: number;
}

/** Bytes on the wire, headers included. */
export interface TrafficBytes {
  readonly received: number;
  readonly sent: number;
}

/** What the listener of a server knows about it. */
interface ServingState {
  isLeaving: boolean;
  readonly open: Set<ServerResponse>;
}

export class HttpServer {
  private readonly sockets = new Set<Socket>();
  private closedTraffic: TrafficBytes = { received: 0, sent: 0 };

  private constructor(
    private readonly server: Server,
    readonly port: number,
    private readonly serving: ServingState,
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
    const fetch = options.app.fetch as Parameters<typeof getRequestListener>[0];
    const listener = getRequestListener(fetch);
    const serving: ServingState = { isLeaving: false, open: new Set() };
    const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
      if (serving.isLeaving) response.shouldKeepAlive = false;
      serving.open.add(response);
      response.once('close', () => serving.open.delete(response));
      void listener(request, response);
    });
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    if (options.maxConnections !== undefined) server.maxConnections = options.maxConnections;
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    const address = server.address();
    const port = typeof address === 'object' && address ? address.port : options.port;
    return new HttpServer(server, port, serving);
  }

  /** Bytes exchanged with all clients since the start. */
  traffic(): TrafficBytes {
    return [...this.sockets].reduce(addTraffic, this.closedTraffic);
  }

  /** From now on each answer ends its connection, so that callers open the next one elsewhere. */
  leave(): void {
    this.serving.isLeaving = true;
    for (const response of this.serving.open) {
      if (!response.headersSent) response.shouldKeepAlive = false;
    }
  }

  /**
   * Serves on until all callers have left, {@link CONNECTION_LINGER_MS} at most:
   * a request that is on its way when its connection is closed gets no answer.
   */
  async linger(): Promise<void> {
    this.leave();
    const untilMs = performance.now() + CONNECTION_LINGER_MS;
    // Connections that wait to be accepted are not counted yet, so that at least one turn has to pass.
    do await delay(LINGER_POLL_MS);
    while (performance.now() < untilMs && this.sockets.size > 0);
  }

  /** Stops accepting connections and resolves once the open ones have ended. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      const limit = setTimeout(() => {
        this.server.closeAllConnections();
      }, CLOSE_LIMIT_MS);
      this.server.close(() => {
        clearTimeout(limit);
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }
}

function addTraffic(total: TrafficBytes, socket: Socket): TrafficBytes {
  return { received: total.received + socket.bytesRead, sent: total.sent + socket.bytesWritten };
}
