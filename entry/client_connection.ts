/** One connection of a client: its requests in order, and what it holds. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { SweptConnection, type ClientGuard } from './client_guard';
import type { CloseReason, ConnectionPhase, ConnectionView, EvictionRank } from './client_limits';

const HTTP_BAD_REQUEST = 400;

/** Processes a request and ends its response. */
export type RequestListener = (incoming: IncomingMessage, response: ServerResponse) => void;

interface WaitingRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
}

/**
 * Node.js parses all requests that it has read at once. This class starts only as many as the
 * limits allow, and reads no more while others wait.
 */
export class ClientConnection extends SweptConnection implements ConnectionView {
  override readonly remoteAddress: string;
  /** Responses that have not ended. */
  readonly responses = new Set<ServerResponse>();
  phase: ConnectionPhase = 'idle';
  phaseSinceMs: number;
  unsentBytes = 0;
  unsentSinceMs: number;
  private readonly waiting: WaitingRequest[] = [];
  private requestsInProgress = 0;
  private requestCount = 0;
  /** Requests that the last sweep saw, and the bytes that had been read when the wait for the next one began. */
  private seenRequestCount = 0;
  private waitStartBytes = 0;
  private isClosing = false;
  private isLingering = false;
  private isPaused = false;
  private isDrainObserved = false;

  constructor(
    readonly socket: Socket,
    private readonly guard: ClientGuard,
    private readonly listener: RequestListener,
  ) {
    super();
    this.remoteAddress = socket.remoteAddress ?? '';
    this.phaseSinceMs = guard.nowMs();
    this.unsentSinceMs = this.phaseSinceMs;
    guard.addConnection(this);
    socket.once('close', () => {
      this.isClosing = true;
      this.waiting.length = 0;
      // Responses that wait for others of their connection get no event when it is closed.
      this.responses.clear();
      guard.removeConnection(this);
    });
  }

  /** What would be lost if the connection was closed now. */
  evictionRank(): EvictionRank {
    if (this.isLingering) return 'answered';
    if (this.responses.size > 0) return 'in_progress';
    return this.requestCount === 0 && this.socket.bytesRead === 0 ? 'silent' : 'waiting';
  }

  handle(incoming: IncomingMessage, response: ServerResponse): void {
    // Requests that were parsed together with the one for which the connection is closed.
    if (this.isClosing) return;
    if (incoming.headers.host === undefined) {
      this.rejectWithoutHost(response);
      return;
    }
    if (this.guard.limits.isPipelineFull(this.responses.size)) {
      this.close('pipelined');
      return;
    }
    this.requestCount += 1;
    this.responses.add(response);
    response.once('close', () => {
      this.finish(incoming, response);
    });
    if (this.waiting.length === 0 && this.mayProcess()) this.process(incoming, response);
    else this.wait({ incoming, response });
  }

  close(reason: CloseReason): void {
    if (this.isClosing && !this.isLingering) return;
    this.isClosing = true;
    this.guard.countClosed(reason, this.remoteAddress);
    stopParsing(this.socket);
    this.socket.destroy();
  }

  override sweep(nowMs: number, isMemoryShort: boolean): void {
    const { bytesRead, writableLength } = this.socket;
    const phase = this.currentPhase(bytesRead);
    if (phase !== this.phase || this.requestCount !== this.seenRequestCount) {
      this.phase = phase;
      this.phaseSinceMs = nowMs;
      this.seenRequestCount = this.requestCount;
    }
    if (writableLength === 0 || writableLength < this.unsentBytes) this.unsentSinceMs = nowMs;
    this.unsentBytes = writableLength;
    const reason = this.guard.limits.closeReason(this, nowMs, isMemoryShort);
    if (reason !== null) this.close(reason);
    else if (this.waiting.length > 0) this.deferNext();
  }

  private currentPhase(bytesRead: number): ConnectionPhase {
    if (this.isLingering) return 'lingering';
    if (this.responses.size > 0) return 'busy';
    if (this.phase === 'busy' || this.requestCount !== this.seenRequestCount) this.waitStartBytes = bytesRead;
    return bytesRead > this.waitStartBytes ? 'headers' : 'idle';
  }

  private mayProcess(): boolean {
    return this.guard.limits.mayProcess(this.requestsInProgress, !this.socket.writableNeedDrain);
  }

  private process(incoming: IncomingMessage, response: ServerResponse): void {
    this.requestsInProgress += 1;
    this.listener(incoming, response);
  }

  /** Reads no more while a request waits. */
  private wait(request: WaitingRequest): void {
    this.waiting.push(request);
    if (this.isPaused) return;
    this.isPaused = true;
    this.stopReading();
    if (this.isDrainObserved) return;
    this.isDrainObserved = true;
    this.socket.on('drain', () => {
      if (this.waiting.length > 0) this.deferNext();
    });
  }

  private finish(incoming: IncomingMessage, response: ServerResponse): void {
    if (!this.responses.delete(response)) return;
    this.requestsInProgress -= 1;
    if (this.isClosing) return;
    if (!incoming.complete && !this.mayDiscard(incoming)) this.linger();
    else if (this.waiting.length > 0) this.deferNext();
  }

  /** Whether the rest of an unread body is small enough to be read and discarded by Node.js. */
  private mayDiscard(incoming: IncomingMessage): boolean {
    const declaredBytes = Number(incoming.headers['content-length'] ?? Number.POSITIVE_INFINITY);
    return declaredBytes <= this.guard.limits.settings.clientMaxBodyBytes;
  }

  /**
   * Reads no more, but leaves the client time to read the response, which closing a connection
   * with unread bytes would discard. The next sweeps close it.
   */
  private linger(): void {
    this.isClosing = true;
    this.isLingering = true;
    this.waiting.length = 0;
    this.stopReading();
  }

  /** The parser resumes the socket in its ticks, which run before the microtask. */
  private stopReading(): void {
    queueMicrotask(() => this.socket.pause());
  }

  private deferNext(): void {
    this.guard.defer(() => {
      this.processNext();
    });
  }

  /** Processes one request that waits, in a turn of its own, so that one connection does not delay the others. */
  private processNext(): void {
    if (this.isClosing || !this.mayProcess()) return;
    const next = this.waiting.shift();
    if (next !== undefined) this.process(next.incoming, next.response);
    if (this.waiting.length > 0 || !this.isPaused) return;
    this.isPaused = false;
    this.socket.resume();
  }

  private rejectWithoutHost(response: ServerResponse): void {
    this.isClosing = true;
    this.guard.countRejected('no_host', this.remoteAddress);
    if (this.responses.size > 0) {
      this.socket.destroy();
      return;
    }
    response.writeHead(HTTP_BAD_REQUEST, { connection: 'close', 'content-length': 0 });
    response.end();
    stopParsing(this.socket);
    this.stopReading();
  }
}

/** Result of the parser's callback for a request: what follows is not HTTP, so it is not parsed. */
const NOT_HTTP = 2;

/**
 * Ends the parsing of what has been read already. Up to 3,600 requests fit into one read of
 * Node.js; parsing and aborting them took 117 ms a connection, and 3 ms without. The parser is
 * not part of the documented interface: without it, closing takes that time and nothing else changes.
 */
function stopParsing(socket: Socket): void {
  const { parser } = socket as { readonly parser?: { onIncoming?: unknown } | null };
  if (typeof parser?.onIncoming === 'function') parser.onIncoming = () => NOT_HTTP;
}
