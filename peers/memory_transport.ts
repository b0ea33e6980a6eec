/** In-process fake of the connections between entry instances, with injected faults. */
import type { Clock } from '../kernel/clock';
import { PeerChannel, PeerTransport, type PeerAddress } from './peer_transport';

type Deliver = (task: () => void) => void;

/** The wires between all members of a test; a cut pair loses what is on its way and can never resume a connection. */
export class MemoryNetwork {
  private readonly listeners = new Map<string, { readonly deliver: Deliver; readonly accept: Accept }>();
  private readonly cuts = new Set<string>();
  private readonly channels = new Set<MemoryChannel>();
  private nextPort = 1;

  constructor(
    private readonly clock: Clock,
    readonly latencyMs = 1,
  ) {}

  /** Cuts or restores the wire between two hosts. */
  setPartitioned(a: string, b: string, cut: boolean): void {
    const name = pairName(a, b);
    if (cut) this.cuts.add(name);
    else this.cuts.delete(name);
    for (const channel of this.channels) if (cut && channel.pair === name) channel.breakWire();
  }

  isCut(a: string, b: string): boolean {
    return this.cuts.has(pairName(a, b));
  }

  /** The connections as one host sees them; `deliver` runs a task when the process of that host is running. */
  transport(host: string, deliver: Deliver): PeerTransport {
    return new MemoryTransport(this, host, deliver);
  }

  /** @internal */
  open(host: string, deliver: Deliver, accept: Accept): number {
    const port = this.nextPort;
    this.nextPort += 1;
    this.listeners.set(`${host}:${port}`, { deliver, accept });
    return port;
  }

  /** @internal */
  shut(host: string, port: number): void {
    this.listeners.delete(`${host}:${port}`);
  }

  /** @internal */
  async join(from: string, deliver: Deliver, to: PeerAddress): Promise<PeerChannel> {
    await this.clock.delay(this.latencyMs);
    const listener = this.listeners.get(`${to.host}:${to.port}`);
    if (!listener || this.isCut(from, to.host)) throw new Error('The connection was refused.');
    const pair = pairName(from, to.host);
    const near = new MemoryChannel(pair, deliver, this.clock, this.latencyMs);
    const far = new MemoryChannel(pair, listener.deliver, this.clock, this.latencyMs);
    near.connect(far);
    far.connect(near);
    this.channels.add(near).add(far);
    listener.deliver(() => {
      listener.accept(far);
    });
    return near;
  }
}

type Accept = (channel: PeerChannel) => void;

class MemoryTransport extends PeerTransport {
  private port = 0;

  constructor(
    private readonly network: MemoryNetwork,
    private readonly host: string,
    private readonly deliver: Deliver,
  ) {
    super();
  }

  override listen(_address: PeerAddress, onChannel: Accept): Promise<number> {
    this.port = this.network.open(this.host, this.deliver, onChannel);
    return Promise.resolve(this.port);
  }

  override connect(address: PeerAddress): Promise<PeerChannel> {
    return this.network.join(this.host, this.deliver, address);
  }

  override close(): Promise<void> {
    this.network.shut(this.host, this.port);
    return Promise.resolve();
  }
}

class MemoryChannel extends PeerChannel {
  private peer: MemoryChannel | null = null;
  private receivers: {
    readonly onLine: (line: string) => void;
    readonly onClose: (reason: string) => void;
  } | null = null;
  private early: readonly string[] = [];
  private broken = false;
  private closed = false;

  constructor(
    readonly pair: string,
    private readonly deliver: Deliver,
    private readonly clock: Clock,
    private readonly latencyMs: number,
  ) {
    super();
  }

  connect(peer: MemoryChannel): void {
    this.peer = peer;
  }

  breakWire(): void {
    this.broken = true;
  }

  override send(line: string): void {
    if (this.closed || this.broken) return;
    this.clock.schedule(this.latencyMs, () => this.peer?.arrive(line));
  }

  override listen(onLine: (line: string) => void, onClose: (reason: string) => void): void {
    this.receivers = { onLine, onClose };
    this.early.forEach(onLine);
    this.early = [];
  }

  override close(): void {
    if (this.closed) return;
    this.closed = true;
    if (!this.broken) this.clock.schedule(this.latencyMs, () => this.peer?.remoteClosed());
  }

  private arrive(line: string): void {
    if (this.broken) return;
    this.deliver(() => {
      if (this.closed) return;
      if (this.receivers) this.receivers.onLine(line);
      else this.early = [...this.early, line];
    });
  }

  private remoteClosed(): void {
    if (this.broken || this.closed) return;
    this.deliver(() => {
      this.closed = true;
      this.receivers?.onClose('disconnected');
    });
  }
}

function pairName(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
