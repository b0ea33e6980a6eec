/** In-memory exchange between the members of one simulated deployment. */
import type { Clock } from '../kernel/clock';
import { PeerExchange, type ExchangeSection, type PeerIdentity } from '../peers/exchange';

export type PeerHandler = (peer: PeerIdentity, params: unknown) => Promise<unknown>;

/** Interval at which members exchange sections, in milliseconds. */
export const EXCHANGE_INTERVAL_MS = 500;

/**
 * Connects {@link FakeExchange} objects. A message takes `oneWayLatencyMs` and is
 * lost if the sender or the receiver is disconnected.
 */
export class FakeNetwork {
  private readonly endpoints = new Map<string, FakeExchange>();

  constructor(
    readonly clock: Clock,
    readonly oneWayLatencyMs: number,
  ) {}

  attach(endpoint: FakeExchange): void {
    this.endpoints.set(endpoint.memberId, endpoint);
  }

  peersOf(memberId: string): readonly FakeExchange[] {
    return [...this.endpoints.values()].filter((endpoint) => endpoint.memberId !== memberId);
  }

  find(memberId: string): FakeExchange | undefined {
    return this.endpoints.get(memberId);
  }
}

export interface FakeExchangeOptions {
  readonly memberId: string;
  readonly network: FakeNetwork;
  readonly identity: () => PeerIdentity | null;
  /** Whether the member is cut off from the network or paused. */
  readonly isDisconnected: () => boolean;
}

/** The exchange of one member. */
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
    return this.options.network.peersOf(this.memberId).flatMap((endpoint) => {
      const identity = endpoint.isDisconnected() ? null : endpoint.identity();
      return identity === null ? [] : [identity];
    });
  }

  override async call(memberId: string, method: string, params: unknown): Promise<unknown> {
    const { network } = this.options;
    const self = this.identity();
    const target = network.find(memberId);
    await network.clock.delay(network.oneWayLatencyMs);
    const handler = target?.handlers.get(method);
    if (
      self === null ||
      handler === undefined ||
      this.isDisconnected() ||
      target?.isDisconnected() === true
    ) {
      throw new Error(`The peer ${memberId} cannot be reached.`);
    }
    const response = await handler(self, params);
    await network.clock.delay(network.oneWayLatencyMs);
    return response;
  }

  override handle(method: string, handler: PeerHandler): void {
    this.handlers.set(method, handler);
  }

  /** Sends all sections to every peer. */
  exchange(): void {
    const self = this.identity();
    if (self === null || this.isDisconnected()) return;
    const { clock, oneWayLatencyMs } = this.options.network;
    for (const endpoint of this.options.network.peersOf(this.memberId)) {
      const peer = endpoint.identity();
      if (peer === null) continue;
      const sections = this.sections.map((section) => [section.name, section.compose(peer)] as const);
      const message = JSON.stringify(sections);
      this.bytesSent += message.length;
      const sentMs = clock.monotonicMs();
      clock.schedule(oneWayLatencyMs, () => {
        if (!endpoint.isDisconnected())
          endpoint.receive(self, JSON.parse(message) as readonly [string, unknown][], sentMs);
      });
    }
  }

  /** Total size of the exchange messages sent; they are ASCII, so characters are counted as bytes. */
  sentBytes(): number {
    return this.bytesSent;
  }

  isDisconnected(): boolean {
    return this.options.isDisconnected();
  }

  identity(): PeerIdentity | null {
    return this.options.identity();
  }

  private receive(
    peer: PeerIdentity,
    sections: readonly (readonly [string, unknown])[],
    sentMs: number,
  ): void {
    for (const [name, payload] of sections) {
      this.sections.find((section) => section.name === name)?.receive(peer, payload, sentMs);
    }
  }
}
