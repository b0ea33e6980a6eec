/** Tells for how long a successor may already have been leading. */
import type { Clock } from '../kernel/clock';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { FencedWriter } from './fenced_writer';
import { elapsedMs, momentOf, type Moment } from './validity_window';

/**
 * Interval at which the other processes are asked, in milliseconds. Leases last several
 * seconds, and each question is a call to every process.
 */
const ASK_INTERVAL_MS = 1_000;

export interface SoleLeadershipOptions {
  readonly clock: Clock;
  readonly writer: Pick<FencedWriter, 'isValid' | 'sinceRenewalMs'>;
  /** How long the leader's own lease lasts after a renewal, in milliseconds. */
  readonly leaseMs: number;
  /**
   * Asks all other processes; resolves with whether each of them ruled out that there has
   * been a successor in the time since this process last renewed its lease, in milliseconds.
   */
  readonly ruleOutSuccessor: (sinceRenewalMs: number) => Promise<boolean>;
  readonly logger: Logger;
}

/**
 * A leader whose own lease has ended goes on renewing the leases of workers, since the
 * tasks would end in an outage of the store otherwise. A successor that does not reach a
 * worker counts the longest lease from its own start. So a renewal may last no longer than
 * the longest lease from the latest moment at which there certainly was no successor: the
 * end of the own lease, or the moment at which the other processes were asked and all of
 * them ruled one out.
 *
 * @example
 * ```ts
 * const leadership = new SoleLeadership({ clock, writer, leaseMs, ruleOutSuccessor, logger });
 * leadership.refresh(); // several times a second
 * const untilMs = lease.requestUntilMs(nowMs, leadership.uncertainForMs());
 * ```
 */
export class SoleLeadership {
  private confirmedAt: Moment | null = null;
  private isAsking = false;
  private nextAskAtMs = 0;
  private lastAnswer: boolean | null = null;

  constructor(private readonly options: SoleLeadershipOptions) {}

  /** Time since a successor was last ruled out, in milliseconds; 0 while this process holds its lease. */
  uncertainForMs(): number {
    const { writer, leaseMs } = this.options;
    const sinceLeaseEndMs = Math.max(0, writer.sinceRenewalMs() - leaseMs);
    if (this.confirmedAt === null) return sinceLeaseEndMs;
    return Math.min(sinceLeaseEndMs, elapsedMs(this.options.clock, this.confirmedAt));
  }

  /** Asks the other processes while this one cannot renew its lease. */
  refresh(): void {
    const { clock, writer } = this.options;
    const nowMs = clock.monotonicMs();
    if (this.isAsking || writer.isValid() || nowMs < this.nextAskAtMs) return;
    this.nextAskAtMs = nowMs + ASK_INTERVAL_MS;
    void this.ask();
  }

  private async ask(): Promise<void> {
    const { clock, writer, ruleOutSuccessor } = this.options;
    this.isAsking = true;
    const sentAt = momentOf(clock);
    try {
      const isRuledOut = await ruleOutSuccessor(writer.sinceRenewalMs());
      if (isRuledOut) this.confirmedAt = sentAt;
      this.logAnswer(isRuledOut);
    } finally {
      this.isAsking = false;
    }
  }

  private logAnswer(isRuledOut: boolean): void {
    if (isRuledOut === this.lastAnswer) return;
    this.lastAnswer = isRuledOut;
    const uncertainForMs = Math.round(this.uncertainForMs());
    this.options.logger.info(LOG_EVENTS.successorRuledOut, { isRuledOut, uncertainForMs });
  }
}
