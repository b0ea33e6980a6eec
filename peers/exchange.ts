/** Regular exchange of facts between entry instances, to which other parts contribute sections. */
import { capability } from '../kernel/capability';

/** The peer that sent a section. */
export interface PeerIdentity {
  readonly memberId: string;
  readonly incarnation: string;
}

/** A part's share of every exchange message. Sections are plain JSON values and are checked on arrival. */
export abstract class ExchangeSection {
  /** Unique field name of the section in the message; short, because it is sent with every exchange. */
  abstract readonly name: string;

  /** The section for a peer, `undefined` to leave it out. Called for every exchange. */
  abstract compose(peer: PeerIdentity): unknown;

  /** Takes in a peer's section. `sentMs` is the local monotonic time not after the peer composed it. */
  abstract receive(peer: PeerIdentity, payload: unknown, sentMs: number): void;

  /** Drops what is known of a peer that left, was fenced or is silent. */
  abstract forget(peer: PeerIdentity): void;
}

/** Adds sections to the exchange and calls peers directly. */
export abstract class PeerExchange {
  abstract addSection(section: ExchangeSection): void;

  /** Peers heard from within the last exchange intervals. */
  abstract reachable(): readonly PeerIdentity[];

  /** Calls a method on a peer; rejects if it cannot be reached or answers with an error. */
  abstract call(memberId: string, method: string, params: unknown): Promise<unknown>;

  /** Serves a method that peers call. */
  abstract handle(method: string, handler: (peer: PeerIdentity, params: unknown) => Promise<unknown>): void;

  /** Exchanges with every peer now instead of at the next interval. */
  exchangeNow(): void {
    // The next interval is soon enough for an exchange without this ability.
  }
}

export const PEER_EXCHANGE = capability<PeerExchange>('peers.exchange');

/** Whether two identities name the same incarnation of the same member. */
export function isSamePeer(a: PeerIdentity, b: PeerIdentity): boolean {
  return a.memberId === b.memberId && a.incarnation === b.incarnation;
}
