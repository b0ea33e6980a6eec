/** Maintains one connection to every other entry instance and exchanges sections over it. */
import { capability } from '../kernel/capability';
import type { Clock, Timer } from '../kernel/clock';
import type { EventLoop } from '../kernel/event_loop';
import type { Counters } from '../telemetry/counters';
import { isSamePeer, PeerExchange, type ExchangeSection, type PeerIdentity } from './exchange';
import { PeerLink, type PeerMethod } from './peer_link';
import type { PeerAddress, PeerChannel, PeerTransport } from './peer_transport';

/** Interval in milliseconds between exchanges with a peer; a quarter of the freshness period. */
export const EXCHANGE_INTERVAL_MS = 500;

/**
 * Time in milliseconds without a message after which a peer counts as unreachable.
 * Two exchanges have been missed by then.
 */
const REACHABLE_TIMEOUT_MS = 1_250;

/**
 * Bounds in milliseconds of the backoff before a failed connection is dialled
 * again. The delay doubles with each attempt.
 */
const MIN_REDIAL_DELAY_MS = 100;
const MAX_REDIAL_DELAY_MS = 2_000;

const CONNECT_TIMEOUT_MS = 1_000;

/** A registered peer and where it listens. */
export interface PeerEntry extends PeerIdentity {
  readonly address: PeerAddress;
}

export interface PeerNetworkOptions {
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly counters: Counters;
  readonly transport: PeerTransport;
  /** Returns a uniform number in [0, 1), which spreads redials and the first exchange. */
  readonly random: () => number;
}

interface Redial {
  readonly attempts: number;
  readonly timer: Timer | null;
}

export const PEER_NETWORK = capability<PeerNetwork>('peers.network');

/**
 * Connects the entry instances with each other. In each pair, the member with the
 * smaller id dials, so that one connection serves both.
 *
 * @example
 * ```ts
 * const port = await network.listen({ host: '127.0.0.1', port: 0 });
 * network.setMembers(self, peers);
 * ```
 */
export class PeerNetwork extends PeerExchange {
  private self: PeerIdentity | null = null;
  private dialsAll = false;
  private peers: ReadonlyMap<string, PeerEntry> = new Map();
  private sections: readonly ExchangeSection[] = [];
  private readonly methods = new Map<string, PeerMethod>();
  private readonly links = new Map<string, PeerLink>();
  private readonly openLinks = new Set<PeerLink>();
  private readonly redials = new Map<string, Redial>();
  private readonly lastContactAtMsByPeer = new Map<string, number>();
  private exchangeTimer: Timer | null = null;
  private isClosed = false;

  constructor(private readonly options: PeerNetworkOptions) {
    super();
  }

  override addSection(section: ExchangeSection): void {
    this.sections = [...this.sections, section];
  }

  override handle(method: string, handler: PeerMethod): void {
    this.methods.set(method, handler);
  }

  override reachable(): readonly PeerIdentity[] {
    return [...this.links.values()].flatMap((link) => {
      const peer = link.peer();
      return peer !== null && this.sinceLastContactMs(peer) <= REACHABLE_TIMEOUT_MS ? [peer] : [];
    });
  }

  override call(memberId: string, method: string, params: unknown): Promise<unknown> {
    const link = this.links.get(memberId);
    if (link) return link.request(method, params);
    this.options.counters.increment('peers.call_failed', 'not_connected');
    return Promise.reject(new Error(`There is no connection to the peer ${memberId}.`));
  }

  override exchangeNow(): void {
    for (const link of this.links.values()) link.exchange();
  }

  /** Returns the time since the last message of the peer, in milliseconds; `Infinity` if none has arrived. */
  sinceLastContactMs(peer: PeerIdentity): number {
    const lastContactAtMs = this.lastContactAtMsByPeer.get(peerKey(peer));
    return lastContactAtMs === undefined ? Infinity : this.options.clock.monotonicMs() - lastContactAtMs;
  }

  /** Starts to accept connections; resolves to the port in use. */
  async listen(address: PeerAddress): Promise<number> {
    const port = await this.options.transport.listen(address, (channel) => {
      this.options.loop.post(() => {
        this.accept(channel);
      });
    });
    this.scheduleExchange(this.options.random() * EXCHANGE_INTERVAL_MS);
    return port;
  }

  /**
   * Sets the identity of this instance, `null` for none, and its peers. With
   * `dialsAll` this instance dials every peer: a new member does so, because a
   * peer that cannot reach the table service does not know its address.
   */
  setMembers(self: PeerIdentity | null, peers: readonly PeerEntry[], dialsAll = false): void {
    this.dialsAll = dialsAll;
    const identityChanged = self === null || this.self === null || !isSamePeer(self, this.self);
    this.self = self;
    if (identityChanged) for (const link of [...this.openLinks]) link.close('identity_changed');
    const previous = this.peers;
    this.peers = new Map(peers.map((peer) => [peer.memberId, peer]));
    for (const old of previous.values()) this.dropIfRemoved(old);
    for (const peer of peers) this.ensureDialled(peer);
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.exchangeTimer?.cancel();
    for (const { timer } of this.redials.values()) timer?.cancel();
    for (const link of [...this.openLinks]) link.close('stopping');
    await this.options.transport.close();
  }

  /** Drops the state and the connection of a peer whose incarnation is no longer a member. */
  private dropIfRemoved(old: PeerEntry): void {
    const current = this.peers.get(old.memberId);
    if (current && isSamePeer(current, old)) return;
    this.forget(old);
    this.lastContactAtMsByPeer.delete(peerKey(old));
    this.skipRedialDelay(old.memberId);
    const link = this.links.get(old.memberId);
    const peer = link?.peer();
    if (link && peer && isSamePeer(peer, old)) link.close('peer_ended');
  }

  /**
   * Ends the backoff after failures to reach an earlier incarnation, since a new one
   * has a new address.
   */
  private skipRedialDelay(memberId: string): void {
    const redial = this.redials.get(memberId);
    if (!redial?.timer) return;
    redial.timer.cancel();
    this.redials.delete(memberId);
  }

  private forget(peer: PeerIdentity): void {
    for (const section of this.sections) section.forget(peer);
  }

  private scheduleExchange(delayMs: number): void {
    this.exchangeTimer = this.options.clock.schedule(delayMs, () => {
      if (this.isClosed) return;
      this.options.loop.post(() => {
        this.exchangeAndForgetUnreachable();
      });
      this.scheduleExchange(EXCHANGE_INTERVAL_MS);
    });
  }

  /**
   * Starts an exchange with every peer that this instance dials, since an exchange
   * carries the sections of both sides. Also drops the state of unreachable peers.
   */
  private exchangeAndForgetUnreachable(): void {
    for (const [memberId, link] of this.links) if (this.dials(memberId)) link.exchange();
    for (const peer of this.peers.values()) {
      if (this.sinceLastContactMs(peer) > REACHABLE_TIMEOUT_MS) this.forget(peer);
    }
  }

  private dials(memberId: string): boolean {
    return this.self !== null && (this.dialsAll || this.self.memberId < memberId);
  }

  private ensureDialled(peer: PeerEntry): void {
    const { memberId } = peer;
    if (this.isClosed || !this.dials(memberId) || this.links.has(memberId) || this.redials.has(memberId))
      return;
    this.redials.set(memberId, { attempts: 0, timer: null });
    void this.dial(peer);
  }

  private async dial(peer: PeerEntry): Promise<void> {
    try {
      const channel = await this.options.transport.connect(peer.address, CONNECT_TIMEOUT_MS);
      this.options.loop.post(() => {
        this.startLink(peer, channel);
      });
    } catch {
      this.options.counters.increment('peers.connect_failed');
      this.options.loop.post(() => {
        this.scheduleRedial(peer.memberId);
      });
    }
  }

  private startLink(peer: PeerEntry, channel: PeerChannel): void {
    const link = this.createLink(channel, peer.memberId);
    if (link) void link.sendHello();
    else this.scheduleRedial(peer.memberId);
  }

  private scheduleRedial(memberId: string): void {
    if (this.isClosed || !this.peers.has(memberId) || !this.dials(memberId)) {
      this.redials.delete(memberId);
      return;
    }
    this.redials.get(memberId)?.timer?.cancel();
    const attempts = (this.redials.get(memberId)?.attempts ?? 0) + 1;
    const maxDelayMs = Math.min(MAX_REDIAL_DELAY_MS, MIN_REDIAL_DELAY_MS * 2 ** (attempts - 1));
    const timer = this.options.clock.schedule(maxDelayMs * (0.5 + this.options.random() / 2), () => {
      const peer = this.peers.get(memberId);
      this.redials.set(memberId, { attempts, timer: null });
      if (peer && !this.isClosed) void this.dial(peer);
      else this.redials.delete(memberId);
    });
    this.redials.set(memberId, { attempts, timer });
  }

  private accept(channel: PeerChannel): void {
    this.createLink(channel, null);
  }

  private createLink(channel: PeerChannel, expectedMemberId: string | null): PeerLink | null {
    const { self } = this;
    if (self === null || this.isClosed) {
      this.options.counters.increment('peers.closed', 'not_registered');
      channel.close();
      return null;
    }
    const link = new PeerLink({
      ...this.options,
      channel,
      self,
      expectedMemberId,
      sections: this.sections,
      methods: this.methods,
      onIdentified: (identifiedLink) => {
        this.registerLink(identifiedLink, expectedMemberId !== null);
      },
      onExchange: (exchangingLink) => {
        this.recordContact(exchangingLink);
      },
      onClosed: (closedLink) => {
        this.handleClosed(closedLink, expectedMemberId);
      },
    });
    this.openLinks.add(link);
    return link;
  }

  private registerLink(link: PeerLink, dialled: boolean): void {
    const peer = link.peer();
    if (peer === null) return;
    const older = this.links.get(peer.memberId);
    this.links.set(peer.memberId, link);
    if (older && older !== link) older.close('replaced');
    this.redials.get(peer.memberId)?.timer?.cancel();
    this.redials.delete(peer.memberId);
    if (dialled) link.exchange();
  }

  private recordContact(link: PeerLink): void {
    const peer = link.peer();
    if (peer) this.lastContactAtMsByPeer.set(peerKey(peer), this.options.clock.monotonicMs());
  }

  private handleClosed(link: PeerLink, dialledMemberId: string | null): void {
    this.openLinks.delete(link);
    const memberId = link.peer()?.memberId;
    if (memberId !== undefined && this.links.get(memberId) === link) this.links.delete(memberId);
    const redialMemberId = dialledMemberId ?? memberId;
    if (redialMemberId !== undefined && !this.links.has(redialMemberId)) this.scheduleRedial(redialMemberId);
  }
}

function peerKey(peer: PeerIdentity): string {
  return `${peer.memberId}/${peer.incarnation}`;
}
