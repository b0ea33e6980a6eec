/** Exchanges reports of draining targets with peers; `leaving` is the name of the section in messages. */
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { Counters } from '../telemetry/counters';
import type { DrainingTargetTracker } from './draining_target_tracker';

/** Maximum number of reports per message, which keeps a message below its limit of 64 KiB. */
const MAX_TARGETS_PER_MESSAGE = 200;

/** Time in milliseconds for which a new report is sent with every exchange, in case a message is lost. */
const NEW_REPORT_RESEND_MS = 2_000;

/** Interval in milliseconds at which all reports are repeated; shorter than the time for which peers retain them. */
const REPEAT_INTERVAL_MS = 10_000;

const payloadSchema = z.array(
  z.object({
    instanceId: z.string(),
    bootId: z.string().nullable(),
    reason: z.enum(['listed', 'refused']),
  }),
);

export interface DrainingSectionOptions {
  readonly clock: Clock;
  readonly tracker: DrainingTargetTracker;
  readonly counters: Counters;
}

export class DrainingSection extends ExchangeSection {
  override readonly name = 'leaving';
  private readonly lastSentAtMsByIncarnation = new Map<string, number>();

  constructor(private readonly options: DrainingSectionOptions) {
    super();
  }

  override compose(peer: PeerIdentity): unknown {
    const { clock, tracker } = this.options;
    const nowMs = clock.monotonicMs();
    const hasNewReport = nowMs - tracker.lastOwnReportAtMs() <= NEW_REPORT_RESEND_MS;
    const isDue =
      nowMs - (this.lastSentAtMsByIncarnation.get(peer.incarnation) ?? Number.NEGATIVE_INFINITY) >=
      REPEAT_INTERVAL_MS;
    const own = tracker.ownReports();
    if (own.length === 0 || (!hasNewReport && !isDue)) return undefined;
    this.lastSentAtMsByIncarnation.set(peer.incarnation, nowMs);
    return own.slice(-MAX_TARGETS_PER_MESSAGE);
  }

  override receive(peer: PeerIdentity, payload: unknown): void {
    const { clock, tracker, counters } = this.options;
    const parsed = payloadSchema.safeParse(payload);
    if (!parsed.success) {
      counters.increment('peers.section_rejected', this.name);
      return;
    }
    tracker.recordPeerReports(
      peer.memberId,
      parsed.data.slice(0, MAX_TARGETS_PER_MESSAGE),
      clock.monotonicMs(),
    );
  }

  override forget(peer: PeerIdentity): void {
    this.lastSentAtMsByIncarnation.delete(peer.incarnation);
    this.options.tracker.dropPeerReports(peer.memberId);
  }
}
