/** Numbers exchange messages of one connection and bounds when a peer composed what it sent. */
import type { Clock } from '../kernel/clock';
import { PROTOCOL_VERSION, type ExchangeMessage } from './peer_messages';

/**
 * Every message names the last one received from the other side. The peer
 * composed it after that one was sent, which gives a lower bound on the local
 * clock without comparing clocks.
 */
export class ExchangeState {
  private sentCount = 0;
  private receivedCount = 0;
  private readonly sentAtMs = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  compose(sections: Readonly<Record<string, unknown>>): ExchangeMessage {
    this.sentCount += 1;
    this.sentAtMs.set(this.sentCount, this.clock.monotonicMs());
    return { v: PROTOCOL_VERSION, n: this.sentCount, e: this.receivedCount, s: sections };
  }

  /**
   * Returns a local time not after the peer composed the message, `-Infinity`
   * if there is none; `null` if a later message has already been taken in.
   */
  accept(message: ExchangeMessage): number | null {
    if (message.n <= this.receivedCount) return null;
    this.receivedCount = message.n;
    const sentMs = this.sentAtMs.get(message.e) ?? Number.NEGATIVE_INFINITY;
    for (const number of this.sentAtMs.keys()) if (number < message.e) this.sentAtMs.delete(number);
    return sentMs;
  }
}
