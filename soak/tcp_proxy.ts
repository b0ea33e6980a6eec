/** Loopback proxy that disturbs connections between a process and a stand-in. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/**
 * `silent`: nothing passes, and connections stay open. `deaf`: requests pass and
 * responses do not, so that calls take effect without an answer. `refusing`: connections
 * are reset.
 */
export type ProxyMode = 'passing' | 'silent' | 'deaf' | 'refusing';

/** Bytes that wait for the proxy to pass again. */
interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly isResponse: boolean;
}

/**
 * @example
 * ```ts
 * const proxy = new TcpProxy('127.0.0.1:7000');
 * const address = await proxy.listen();
 * proxy.setMode('silent');
 * ```
 */
export class TcpProxy {
  private mode: ProxyMode = 'passing';
  private delayMs = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly target: string) {
    this.server = createServer((socket) => {
      this.accept(socket);
    });
  }

  /** Starts on a free port and returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Changes what happens to all connections. What was lost meanwhile breaks them when it ends. */
  setMode(mode: ProxyMode): void {
    const wasLossy = this.mode !== 'passing';
    this.mode = mode;
    if (mode === 'refusing' || (mode === 'passing' && wasLossy)) this.resetAll();
  }

  /** Delays everything by a time in milliseconds. */
  setDelay(delayMs: number): void {
    this.delayMs = delayMs;
  }

  close(): void {
    this.server.close();
    this.resetAll();
  }

  private resetAll(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.sockets.clear();
  }

  private accept(client: Socket): void {
    if (this.mode === 'refusing') {
      client.resetAndDestroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const server = connect(Number(port), host);
    this.pass({ from: client, to: server, isResponse: false });
    this.pass({ from: server, to: client, isResponse: true });
  }

  private pass({ from, to, isResponse }: Direction): void {
    this.sockets.add(from);
    from.on('data', (chunk: Buffer) => {
      setTimeout(() => {
        const isLost = this.mode === 'silent' || (this.mode === 'deaf' && isResponse);
        if (!isLost && !to.destroyed) to.write(chunk);
      }, this.delayMs);
    });
    from.on('error', () => undefined);
    from.once('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
