/** Periodic exchange of state between entry instances; other plug-ins contribute sections to it. */
import { capability } from '../kernel/capability';

/** One incarnation of a member, as its peers know it. */
export interface PeerIdentity {
  readonly memberId: string;
  readonly incarnation: string;
}

/** One plug-in's section of every exchange message. Sections are plain JSON values and are validated on arrival. */
export abstract class ExchangeSection {
  /** Unique field name of the section in the message; short, because it is sent with every exchange. */
  abstract readonly name: string;

  /** Returns the section for a peer, `undefined` to omit it. Called for every exchange. */
  abstract compose(peer: PeerIdentity): unknown;

  /** Handles the section of a peer, which composed it at or after the local monotonic time `composedAfterMs`. */
  abstract receive(peer: PeerIdentity, payload: unknown, composedAfterMs: number): void;

  /** Drops the state of a peer that has left, was fenced or is unreachable. */
  abstract forget(peer: PeerIdentity): void;
}

/** Adds sections to the exchange and calls peers directly. */
export abstract class PeerExchange {
  abstract addSection(section: ExchangeSection): void;

  /** Returns the peers from which a message arrived within the last exchange intervals. */
  abstract reachable(): readonly PeerIdentity[];

  /** Calls a method of a peer; rejects if the peer is unreachable or responds with an error. */
  abstract call(memberId: string, method: string, params: unknown): Promise<unknown>;

  /** Registers the handler of a method that peers call. */
  abstract handle(method: string, handler: (peer: PeerIdentity, params: unknown) => Promise<unknown>): void;

  /** Exchanges with every peer now instead of at the next interval. */
  exchangeNow(): void {
    // An implementation that cannot do so exchanges at the next interval.
  }
}

export const PEER_EXCHANGE = capability<PeerExchange>('peers.exchange');

/** Whether two identities name the same incarnation of the same member. */
export function isSamePeer(a: PeerIdentity, b: PeerIdentity): boolean {
  return a.memberId === b.memberId && a.incarnation === b.incarnation;
}
