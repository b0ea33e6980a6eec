/** In-process fake of the connections between entry instances, with fault injection. */
import type { Clock } from '../kernel/clock';
import { PeerChannel, PeerTransport, type PeerAddress } from './peer_transport';

type RunOrDefer = (callback: () => void) => void;

/**
 * Network between the members of a test. A partition drops the messages in transit
 * and breaks the connections permanently, without notice to either side.
 */
export class MemoryNetwork {
  private readonly listeners = new Map<
    string,
    { readonly runOrDefer: RunOrDefer; readonly accept: Accept }
  >();
  private readonly partitions = new Set<string>();
  private readonly channels = new Set<MemoryChannel>();
  private nextPort = 1;

  constructor(
    private readonly clock: Clock,
    readonly latencyMs = 1,
  ) {}

  /** Starts or ends a network partition between two hosts. */
  setPartitioned(a: string, b: string, isPartitioned: boolean): void {
    const pair = pairKey(a, b);
    if (isPartitioned) this.partitions.add(pair);
    else this.partitions.delete(pair);
    for (const channel of this.channels)
      if (isPartitioned && channel.pair === pair) channel.breakConnection();
  }

  isPartitioned(a: string, b: string): boolean {
    return this.partitions.has(pairKey(a, b));
  }

  /** Returns the transport of one host; `runOrDefer` runs a callback as soon as the process of that host is running. */
  transport(host: string, runOrDefer: RunOrDefer): PeerTransport {
    return new MemoryTransport(this, host, runOrDefer);
  }

  /** @internal */
  addListener(host: string, runOrDefer: RunOrDefer, accept: Accept): number {
    const port = this.nextPort;
    this.nextPort += 1;
    this.listeners.set(`${host}:${port}`, { runOrDefer, accept });
    return port;
  }

  /** @internal */
  removeListener(host: string, port: number): void {
    this.listeners.delete(`${host}:${port}`);
  }

  /** @internal */
  async connect(from: string, runOrDefer: RunOrDefer, to: PeerAddress): Promise<PeerChannel> {
    await this.clock.delay(this.latencyMs);
    const listener = this.listeners.get(`${to.host}:${to.port}`);
    if (!listener || this.isPartitioned(from, to.host)) throw new Error('The connection was refused.');
    const pair = pairKey(from, to.host);
    const localEnd = new MemoryChannel(pair, runOrDefer, this.clock, this.latencyMs);
    const remoteEnd = new MemoryChannel(pair, listener.runOrDefer, this.clock, this.latencyMs);
    localEnd.connect(remoteEnd);
    remoteEnd.connect(localEnd);
    this.channels.add(localEnd).add(remoteEnd);
    listener.runOrDefer(() => {
      listener.accept(remoteEnd);
    });
    return localEnd;
  }
}

type Accept = (channel: PeerChannel) => void;

class MemoryTransport extends PeerTransport {
  private port = 0;

  constructor(
    private readonly network: MemoryNetwork,
    private readonly host: string,
    private readonly runOrDefer: RunOrDefer,
  ) {
    super();
  }

  override listen(_address: PeerAddress, onChannel: Accept): Promise<number> {
    this.port = this.network.addListener(this.host, this.runOrDefer, onChannel);
    return Promise.resolve(this.port);
  }

  override connect(address: PeerAddress): Promise<PeerChannel> {
    return this.network.connect(this.host, this.runOrDefer, address);
  }

  override close(): Promise<void> {
    this.network.removeListener(this.host, this.port);
    return Promise.resolve();
  }
}

class MemoryChannel extends PeerChannel {
  private peer: MemoryChannel | null = null;
  private receivers: {
    readonly onLine: (line: string) => void;
    readonly onClose: (reason: string) => void;
  } | null = null;
  private linesBeforeListen: readonly string[] = [];
  private isBroken = false;
  private isClosed = false;

  constructor(
    readonly pair: string,
    private readonly runOrDefer: RunOrDefer,
    private readonly clock: Clock,
    private readonly latencyMs: number,
  ) {
    super();
  }

  connect(peer: MemoryChannel): void {
    this.peer = peer;
  }

  breakConnection(): void {
    this.isBroken = true;
  }

  override send(line: string): void {
    if (this.isClosed || this.isBroken) return;
    this.clock.schedule(this.latencyMs, () => this.peer?.receive(line));
  }

  override listen(onLine: (line: string) => void, onClose: (reason: string) => void): void {
    this.receivers = { onLine, onClose };
    this.linesBeforeListen.forEach(onLine);
    this.linesBeforeListen = [];
  }

  override close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    if (!this.isBroken) this.clock.schedule(this.latencyMs, () => this.peer?.handleRemoteClose());
  }

  private receive(line: string): void {
    if (this.isBroken) return;
    this.runOrDefer(() => {
      if (this.isClosed) return;
      if (this.receivers) this.receivers.onLine(line);
      else this.linesBeforeListen = [...this.linesBeforeListen, line];
    });
  }

  private handleRemoteClose(): void {
    if (this.isBroken || this.isClosed) return;
    this.runOrDefer(() => {
      this.isClosed = true;
      this.receivers?.onClose('disconnected');
    });
  }
}

function pairKey(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
