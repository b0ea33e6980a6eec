/** Exchange between the members of one simulated deployment. */
import type { Clock } from '../kernel/clock';
import { PeerExchange, type ExchangeSection, type PeerIdentity } from '../peers/exchange';

export type PeerHandler = (peer: PeerIdentity, params: unknown) => Promise<unknown>;

/** Interval of the exchange in milliseconds. */
export const EXCHANGE_INTERVAL_MS = 500;

/** Connects {@link FakeExchange} objects; messages take `latencyMs` and are lost while an end is cut off. */
export class FakeNetwork {
  private readonly ends = new Map<string, FakeExchange>();

  constructor(
    readonly clock: Clock,
    readonly latencyMs: number,
  ) {}

  attach(end: FakeExchange): void {
    this.ends.set(end.memberId, end);
  }

  others(memberId: string): readonly FakeExchange[] {
    return [...this.ends.values()].filter((end) => end.memberId !== memberId);
  }

  find(memberId: string): FakeExchange | undefined {
    return this.ends.get(memberId);
  }
}

export interface FakeExchangeOptions {
  readonly memberId: string;
  readonly network: FakeNetwork;
  readonly identity: () => PeerIdentity | null;
  /** Cut off or paused. */
  readonly isSilent: () => boolean;
}

export class FakeExchange extends PeerExchange {
  readonly memberId: string;
  private sections: readonly ExchangeSection[] = [];
  private readonly handlers = new Map<string, PeerHandler>();
  private bytesSent = 0;

  constructor(private readonly options: FakeExchangeOptions) {
    super();
    this.memberId = options.memberId;
    options.network.attach(this);
  }

  override addSection(section: ExchangeSection): void {
    this.sections = [...this.sections, section];
  }

  override reachable(): readonly PeerIdentity[] {
    return this.options.network.others(this.memberId).flatMap((end) => {
      const identity = end.isSilent() ? null : end.identity();
      return identity === null ? [] : [identity];
    });
  }

  override async call(memberId: string, method: string, params: unknown): Promise<unknown> {
    const { network } = this.options;
    const self = this.identity();
    const target = network.find(memberId);
    await network.clock.delay(network.latencyMs);
    const handler = target?.handlers.get(method);
    if (self === null || handler === undefined || this.isSilent() || target?.isSilent() === true) {
      throw new Error(`The peer ${memberId} cannot be reached.`);
    }
    const answer = await handler(self, params);
    await network.clock.delay(network.latencyMs);
    return answer;
  }

  override handle(method: string, handler: PeerHandler): void {
    this.handlers.set(method, handler);
  }

  /** Sends the sections to every peer. */
  exchange(): void {
    const self = this.identity();
    if (self === null || this.isSilent()) return;
    const { clock, latencyMs } = this.options.network;
    for (const end of this.options.network.others(this.memberId)) {
      const peer = end.identity();
      if (peer === null) continue;
      const messages = this.sections.map((section) => [section.name, section.compose(peer)] as const);
      const text = JSON.stringify(messages);
      this.bytesSent += text.length;
      const sentMs = clock.monotonicMs();
      clock.schedule(latencyMs, () => {
        if (!end.isSilent()) end.receive(self, JSON.parse(text) as readonly [string, unknown][], sentMs);
      });
    }
  }

  /** Size of the messages sent so far. */
  sentBytes(): number {
    return this.bytesSent;
  }

  isSilent(): boolean {
    return this.options.isSilent();
  }

  identity(): PeerIdentity | null {
    return this.options.identity();
  }

  private receive(
    peer: PeerIdentity,
    messages: readonly (readonly [string, unknown])[],
    sentMs: number,
  ): void {
    for (const [name, payload] of messages) {
      this.sections.find((section) => section.name === name)?.receive(peer, payload, sentMs);
    }
  }
}
