/** Tells peers which targets are leaving, and takes in what they tell. */
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { Counters } from '../telemetry/counters';
import type { DrainingTargetTracker } from './draining_target_tracker';

/** Targets per message; an exchange message is at most 64 KiB long. */
const MAX_TARGETS = 200;

/** A new mark goes out with every exchange of this time, so that a lost message does not hide it, in milliseconds. */
const NEWS_MS = 2_000;

/** All marks are repeated at this interval, before peers drop what is not repeated, in milliseconds. */
const REPEAT_MS = 10_000;

const payloadSchema = z.array(
  z.object({
    instanceId: z.string(),
    bootId: z.string().nullable(),
    reason: z.enum(['listed', 'refused']),
  }),
);

export interface LeavingSectionOptions {
  readonly clock: Clock;
  readonly marks: DrainingTargetTracker;
  readonly counters: Counters;
}

export class LeavingSection extends ExchangeSection {
  override readonly name = 'leaving';
  private readonly sentMs = new Map<string, number>();

  constructor(private readonly options: LeavingSectionOptions) {
    super();
  }

  override compose(peer: PeerIdentity): unknown {
    const { clock, marks } = this.options;
    const nowMs = clock.monotonicMs();
    const isNews = nowMs - marks.ownChangedMs() <= NEWS_MS;
    const isDue = nowMs - (this.sentMs.get(peer.incarnation) ?? Number.NEGATIVE_INFINITY) >= REPEAT_MS;
    const own = marks.ownMarks();
    if (own.length === 0 || (!isNews && !isDue)) return undefined;
    this.sentMs.set(peer.incarnation, nowMs);
    return own.slice(-MAX_TARGETS);
  }

  override receive(peer: PeerIdentity, payload: unknown): void {
    const { clock, marks, counters } = this.options;
    const parsed = payloadSchema.safeParse(payload);
    if (!parsed.success) {
      counters.increment('peers.section_rejected', this.name);
      return;
    }
    marks.observePeer(peer.memberId, parsed.data.slice(0, MAX_TARGETS), clock.monotonicMs());
  }

  override forget(peer: PeerIdentity): void {
    this.sentMs.delete(peer.incarnation);
    this.options.marks.forgetPeer(peer.memberId);
  }
}
