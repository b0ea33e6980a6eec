/** HTTP server for a Hono application. */
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';
import { ClientConnections } from './client_connections';
import type { ClientGuard } from './client_guard';
import type { ServerKind } from './client_limits';

/** Limits of a server without a guard, whose clients are the project's own. */
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 5_000;

/** Time after which a closing server destroys connections whose callers have not read their responses, in milliseconds. */
const CLOSE_TIMEOUT_MS = 60_000;

/**
 * Maximum time, when a server stops, for callers to use or close their open
 * connections, in milliseconds. On a loaded machine, a caller may be delayed by
 * some hundred milliseconds.
 */
const DRAIN_TIMEOUT_MS = 1_000;

/** Interval of the checks for open connections while they are drained, in milliseconds. */
const DRAIN_POLL_MS = 20;

export interface HttpServerOptions {
  readonly app: Hono | Hono<{ Bindings: HttpBindings }>;
  readonly host: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
  /** Connections beyond this number are closed at once, on a server without `clients`; unlimited if absent. */
  readonly maxConnections?: number;
  /** Limits what clients may hold; absent for servers whose clients are the project's own. */
  readonly clients?: ServerClients;
}

/** The limits that apply to a server. */
export interface ServerClients {
  readonly guard: ClientGuard;
  readonly kind: ServerKind;
}

/** Bytes on the wire, headers included. */
export interface TrafficBytes {
  readonly received: number;
  readonly sent: number;
}

/** State that a server shares with its request listener. */
interface ListenerState {
  isKeepAliveDisabled: boolean;
  /** Responses that have not ended, of a server without a guard. */
  readonly openResponses: Set<ServerResponse>;
}

export class HttpServer {
  private readonly sockets = new Set<Socket>();
  private closedTraffic: TrafficBytes = { received: 0, sent: 0 };

  private constructor(
    private readonly server: Server,
    readonly port: number,
    private readonly listenerState: ListenerState,
    private readonly clients: ClientConnections | null,
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
    const listenerState: ListenerState = { isKeepAliveDisabled: false, openResponses: new Set() };
    const { server, clients } =
      options.clients === undefined
        ? { server: ownClientsServer(options, getRequestListener(fetch), listenerState), clients: null }
        : guardedServer(options.clients, fetch, listenerState);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    const address = server.address();
    const port = typeof address === 'object' && address ? address.port : options.port;
    return new HttpServer(server, port, listenerState, clients);
  }

  /** Bytes exchanged with all clients since the start. */
  traffic(): TrafficBytes {
    return [...this.sockets].reduce(addTraffic, this.closedTraffic);
  }

  /** Closes each connection after its next response, so that callers open new ones to other instances. */
  disableKeepAlive(): void {
    this.listenerState.isKeepAliveDisabled = true;
    const openResponses = this.clients?.openResponses() ?? this.listenerState.openResponses;
    for (const response of openResponses) {
      if (!response.headersSent) response.shouldKeepAlive = false;
    }
  }

  /**
   * Keeps serving until all connections are closed, but for at most
   * {@link DRAIN_TIMEOUT_MS}. If a connection were closed at once, a request in
   * transit on it would get no response.
   */
  async drainConnections(): Promise<void> {
    this.disableKeepAlive();
    const deadlineAtMs = performance.now() + DRAIN_TIMEOUT_MS;
    // Connections that wait to be accepted are not counted yet, so at least one event-loop turn has to pass.
    do await delay(DRAIN_POLL_MS);
    while (performance.now() < deadlineAtMs && this.sockets.size > 0);
  }

  /** Stops accepting connections and resolves once the open ones are closed. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      const closeTimer = setTimeout(() => {
        this.server.closeAllConnections();
      }, CLOSE_TIMEOUT_MS);
      this.server.close(() => {
        clearTimeout(closeTimer);
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }
}

/** A server whose clients are the project's own. */
function ownClientsServer(
  { maxConnections }: HttpServerOptions,
  listener: ReturnType<typeof getRequestListener>,
  listenerState: ListenerState,
): Server {
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
    if (listenerState.isKeepAliveDisabled) response.shouldKeepAlive = false;
    listenerState.openResponses.add(response);
    response.once('close', () => listenerState.openResponses.delete(response));
    void listener(request, response);
  });
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  if (maxConnections !== undefined) server.maxConnections = maxConnections;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  return server;
}

function guardedServer(
  { guard, kind }: ServerClients,
  fetch: Parameters<typeof getRequestListener>[0],
  listenerState: ListenerState,
): { readonly server: Server; readonly clients: ClientConnections } {
  const { settings } = guard.limits;
  // The connection decides what happens to the rest of an unread body.
  const listener = getRequestListener(fetch, { autoCleanupIncoming: false });
  const clients = new ClientConnections({
    guard,
    kind,
    listener: (request, response) => {
      if (listenerState.isKeepAliveDisabled) response.shouldKeepAlive = false;
      void listener(request, response);
    },
  });
  // A request without Host is rejected by its connection, once for all that were pipelined.
  const options = { maxHeaderSize: settings.clientMaxHeaderBytes, requireHostHeader: false };
  const server = createServer(options, (request, response) => {
    clients.handle(request, response);
  });
  server.headersTimeout = settings.clientIdleTimeoutMs + settings.clientHeaderTimeoutMs;
  server.keepAliveTimeout = settings.clientIdleTimeoutMs;
  server.on('connection', (socket: Socket) => {
    clients.accept(socket);
  });
  return { server, clients };
}

function addTraffic(total: TrafficBytes, socket: Socket): TrafficBytes {
  return { received: total.received + socket.bytesRead, sent: total.sent + socket.bytesWritten };
}
