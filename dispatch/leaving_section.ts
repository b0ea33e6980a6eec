/** Tells peers which targets are leaving, and takes in what they tell. */
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { Counters } from '../telemetry/counters';
import type { LeavingMarks } from './leaving_marks';

/** Targets per message; an exchange message is at most 64 KiB long. */
const MAX_TARGETS = 200;

const payloadSchema = z.array(
  z.object({
    instanceId: z.string(),
    bootId: z.string().nullable(),
    reason: z.enum(['listed', 'refused']),
  }),
);

export interface LeavingSectionOptions {
  readonly clock: Clock;
  readonly marks: LeavingMarks;
  readonly counters: Counters;
}

export class LeavingSection extends ExchangeSection {
  override readonly name = 'leavingTargets';

  constructor(private readonly options: LeavingSectionOptions) {
    super();
  }

  /** The newest marks: peers that were present before know the others already. */
  override outgoing(): unknown {
    const marks = this.options.marks.ownMarks();
    return marks.length === 0 ? undefined : marks.slice(-MAX_TARGETS);
  }

  override incoming(peer: PeerIdentity, payload: unknown): void {
    const { clock, marks, counters } = this.options;
    const parsed = payloadSchema.safeParse(payload);
    if (!parsed.success) {
      counters.increment('peers.section_rejected', this.name);
      return;
    }
    marks.observePeer(peer.memberId, parsed.data.slice(0, MAX_TARGETS), clock.monotonicMs());
  }

  override forget(peer: PeerIdentity): void {
    this.options.marks.forgetPeer(peer.memberId);
  }
}
