/** Reads the body of a Node.js request into one growing buffer, within the limits of the process. */
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { HeldBody, type ClientGuard } from './client_guard';
import type { BodyRejection } from './client_limits';

/** Capacity of the buffer once a second chunk arrives, in bytes; it doubles from there. */
const FIRST_CAPACITY_BYTES = 8_192;

const STATUS_BY_REJECTION: Readonly<Record<BodyRejection, number>> = {
  body_too_large: 413,
  body_chunks: 503,
  body_timeout: 408,
  body_stalled: 408,
  body_memory: 503,
  body_aborted: 400,
};

/** The body was not read to its end, so the request has not run. */
export class BodyRejectedError extends Error {
  override readonly name = 'BodyRejectedError';
  readonly status: number;

  constructor(readonly reason: BodyRejection) {
    super(`The body was not read: ${reason}.`);
    this.status = STATUS_BY_REJECTION[reason];
  }
}

export interface BodyReaderOptions {
  readonly guard: ClientGuard;
  readonly maxBytes: number;
}

/**
 * Resolves with the body. Rejects with {@link BodyRejectedError}.
 *
 * @example
 * ```ts
 * const body = await readLimitedBody(context.env.incoming, { guard, maxBytes: 262_144 });
 * ```
 */
export function readLimitedBody(
  incoming: IncomingMessage | Readable,
  options: BodyReaderOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    new BodyReader(incoming, options, resolve, reject).start();
  });
}

class BodyReader extends HeldBody {
  override readonly startedAtMs: number;
  override progressAtMs: number;
  override heldBytes = 0;
  override chunks = 0;
  override isSmallChunked = false;
  private receivedBytes = 0;
  /** The only chunk so far; most bodies arrive in one. */
  private firstChunk: Buffer | null = null;
  private buffer: Buffer | null = null;
  private isSettled = false;
  private unpacedChunks = 0;
  private isPaced = false;

  constructor(
    private readonly incoming: IncomingMessage | Readable,
    private readonly options: BodyReaderOptions,
    private readonly resolve: (body: Buffer) => void,
    private readonly rejectPromise: (error: Error) => void,
  ) {
    super();
    this.startedAtMs = options.guard.nowMs();
    this.progressAtMs = this.startedAtMs;
  }

  override get remoteAddress(): string {
    return 'socket' in this.incoming ? (this.incoming.socket.remoteAddress ?? '') : '';
  }

  start(): void {
    const { incoming } = this;
    const declaredBytes = 'headers' in incoming ? Number(incoming.headers['content-length'] ?? 0) : 0;
    const rejection = this.options.guard.limits.bodyRejection(declaredBytes, 0, this.options.maxBytes);
    this.options.guard.addBody(this);
    if (rejection !== null) {
      this.reject(rejection);
      return;
    }
    if (incoming.destroyed && !incoming.readableEnded) {
      this.reject('body_aborted');
      return;
    }
    incoming.on('data', this.onData);
    incoming.on('end', this.onEnd);
    incoming.on('close', this.onClose);
    incoming.on('error', this.onClose);
  }

  override reject(reason: BodyRejection): void {
    if (!this.settle()) return;
    // What has been parsed already would be buffered without a reader.
    this.incoming.on('data', discardChunk);
    this.options.guard.countRejected(reason, this.remoteAddress);
    this.rejectPromise(new BodyRejectedError(reason));
  }

  private readonly onData = (chunk: Buffer): void => {
    const { guard, maxBytes } = this.options;
    const heldBefore = this.heldBytes;
    this.chunks += 1;
    this.receivedBytes += chunk.length;
    this.progressAtMs = guard.nowMs();
    const rejection = guard.limits.bodyRejection(this.receivedBytes, this.chunks, maxBytes);
    if (rejection === null) this.append(chunk);
    guard.growBody(this.heldBytes - heldBefore, 1);
    if (rejection !== null) this.reject(rejection);
    this.unpacedChunks += 1;
    if (this.unpacedChunks < guard.limits.settings.clientTurnChunks) return;
    if (!this.isSmallChunked && guard.limits.isSmallChunked(this.receivedBytes, this.chunks)) {
      this.isSmallChunked = guard.addSmallChunkedBody();
      if (!this.isSmallChunked) this.reject('body_chunks');
    }
    this.pace();
  };

  private readonly onEnd = (): void => {
    const { buffer, firstChunk, receivedBytes } = this;
    if (!this.settle()) return;
    this.resolve(buffer?.subarray(0, receivedBytes) ?? firstChunk ?? Buffer.alloc(0));
  };

  private readonly onClose = (): void => {
    this.reject('body_aborted');
  };

  private append(chunk: Buffer): void {
    if (this.chunks === 1) {
      this.firstChunk = chunk;
      this.heldBytes = chunk.length;
      return;
    }
    const { buffer, receivedBytes } = this;
    const target = buffer !== null && buffer.length >= receivedBytes ? buffer : this.enlarge();
    chunk.copy(target, receivedBytes - chunk.length);
  }

  private enlarge(): Buffer {
    const doubled = Math.max(FIRST_CAPACITY_BYTES, 2 * (this.buffer?.length ?? 0));
    const capacity = Math.max(Math.min(doubled, this.options.maxBytes), this.receivedBytes);
    // Not from the shared pool, which a small slice would keep in memory.
    const enlarged = Buffer.allocUnsafeSlow(capacity);
    (this.buffer ?? this.firstChunk)?.copy(enlarged);
    this.buffer = enlarged;
    this.firstChunk = null;
    this.heldBytes = capacity;
    return enlarged;
  }

  /**
   * Reads no more of the connection until other connections have had their turn. The parser
   * resumes the socket in its ticks, which run before the microtask.
   */
  private pace(): void {
    this.unpacedChunks = 0;
    if (this.isPaced || !('socket' in this.incoming)) return;
    this.isPaced = true;
    const { socket } = this.incoming;
    queueMicrotask(() => socket.pause());
    this.options.guard.defer(() => {
      this.isPaced = false;
      if (!this.isSettled) socket.resume();
    });
  }

  private settle(): boolean {
    if (this.isSettled) return false;
    this.isSettled = true;
    this.options.guard.removeBody(this);
    const { incoming } = this;
    incoming.off('data', this.onData);
    incoming.off('end', this.onEnd);
    incoming.off('close', this.onClose);
    // A request that fails after its body was given up has no other listener for its error.
    incoming.on('error', ignoreError);
    incoming.off('error', this.onClose);
    this.buffer = null;
    this.firstChunk = null;
    return true;
  }
}

function discardChunk(): void {
  // The body was given up.
}

function ignoreError(): void {
  // The body was given up or read before.
}
