/** Newline-delimited text over TCP. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { LineDecoder, LineTooLongError } from './line_decoder';
import { PeerChannel, PeerTransport, type PeerAddress } from './peer_transport';

/**
 * Number of unsent bytes above which the connection is closed, since the peer does
 * not seem to read from it. The number is twice the maximum line length.
 */
const MAX_UNSENT_BYTES = 128 * 1024;

/** A TCP connection that carries lines. */
export class TcpChannel extends PeerChannel {
  private readonly decoder = new LineDecoder();
  private closeReason = 'disconnected';

  constructor(private readonly socket: Socket) {
    super();
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.pause();
  }

  override send(line: string): void {
    if (this.socket.destroyed) return;
    this.socket.write(`${line}\n`);
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.destroy('peer_not_reading');
  }

  override listen(onLine: (line: string) => void, onClose: (reason: string) => void): void {
    this.socket.on('data', (chunk: Buffer) => {
      this.decode(chunk).forEach(onLine);
    });
    this.socket.once('close', () => {
      onClose(this.closeReason);
    });
    this.socket.resume();
  }

  override close(): void {
    this.socket.destroy();
  }

  private decode(chunk: Buffer): readonly string[] {
    try {
      return this.decoder.push(chunk);
    } catch (error) {
      if (!(error instanceof LineTooLongError)) throw error;
      this.destroy('line_too_long');
      return [];
    }
  }

  private destroy(reason: string): void {
    this.closeReason = reason;
    this.socket.destroy();
  }
}

/** Accepts and opens TCP connections. */
export class TcpTransport extends PeerTransport {
  private server: Server | null = null;

  override listen(address: PeerAddress, onChannel: (channel: PeerChannel) => void): Promise<number> {
    const server = createServer((socket) => {
      onChannel(new TcpChannel(socket));
    });
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(address.port, address.host, () => {
        const boundAddress = server.address();
        resolve(typeof boundAddress === 'object' && boundAddress !== null ? boundAddress.port : address.port);
      });
    });
  }

  override connect(address: PeerAddress, timeoutMs: number): Promise<PeerChannel> {
    return new Promise((resolve, reject) => {
      const socket = connect({ host: address.host, port: address.port });
      socket.setTimeout(timeoutMs, () => {
        socket.destroy(new Error('The connection attempt timed out.'));
      });
      socket.once('error', reject);
      socket.once('connect', () => {
        socket.setTimeout(0);
        resolve(new TcpChannel(socket));
      });
    });
  }

  override close(): Promise<void> {
    const server = this.server;
    if (server === null) return Promise.resolve();
    return new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
    });
  }
}
