/** Numbers the exchange messages of one connection and derives the earliest time at which a peer composed a message. */
import type { Clock } from '../kernel/clock';
import { PROTOCOL_VERSION, type ExchangeMessage } from './peer_messages';

/**
 * Every message carries the number of the last message that its sender received.
 * A received message was therefore composed after this side had sent the message
 * with that number, and no synchronized clocks are needed to know when that was.
 */
export class ExchangeState {
  private lastSentNumber = 0;
  private lastReceivedNumber = 0;
  private readonly sentAtMsByNumber = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  compose(sections: Readonly<Record<string, unknown>>): ExchangeMessage {
    this.lastSentNumber += 1;
    this.sentAtMsByNumber.set(this.lastSentNumber, this.clock.monotonicMs());
    return { v: PROTOCOL_VERSION, n: this.lastSentNumber, e: this.lastReceivedNumber, s: sections };
  }

  /**
   * Returns a local monotonic time in milliseconds at or after which the peer
   * composed the message, `-Infinity` if none is known. Returns `null` if this or a
   * later message has been accepted before.
   */
  accept(message: ExchangeMessage): number | null {
    if (message.n <= this.lastReceivedNumber) return null;
    this.lastReceivedNumber = message.n;
    const composedAfterMs = this.sentAtMsByNumber.get(message.e) ?? Number.NEGATIVE_INFINITY;
    for (const number of this.sentAtMsByNumber.keys())
      if (number < message.e) this.sentAtMsByNumber.delete(number);
    return composedAfterMs;
  }
}
