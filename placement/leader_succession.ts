/** Hands leadership over to a process that can lead better: one that reaches the store, or a larger one. */
import type { Clock } from '../kernel/clock';
import { MAY_TAKE_OVER, RULE_OUT_LATER_LEADER, TAKE_OVER } from '../relay/relay_calls';
import { RelayOutcomeUnknownError, type RelayClient } from '../relay/relay_client';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { PlacementLeader } from './placement_leader';

/**
 * Timeout of a call that hands leadership over, in milliseconds. Without a handover,
 * the lease expires within 3 s.
 */
const HANDOVER_TIMEOUT_MS = 300;

/**
 * Timeout of a call that asks whether there is a later leader, in milliseconds. It is asked
 * again and again during an outage of the store, in which leases of several seconds run out.
 */
const RULE_OUT_TIMEOUT_MS = 1_000;

/**
 * Interval at which a leader on a small machine looks for a larger one that can lead
 * instead, in milliseconds. A small machine cannot carry a burst, and an outage of the
 * store may have left it as the only candidate.
 */
const STEP_DOWN_INTERVAL_MS = 500;

export interface LeaderSuccessionOptions {
  readonly clock: Clock;
  readonly client: Pick<RelayClient, 'findAcceptingPeer' | 'isAcceptedByAll' | 'callPeer'>;
  /** Addresses of processes on far larger machines, the largest first. */
  readonly largerPeerAddresses: () => readonly string[];
  readonly leader: Pick<PlacementLeader, 'hasStopped' | 'holdInstanceCommands' | 'resign' | 'release'>;
  readonly epoch: number;
  readonly logger: Logger;
}

/**
 * Decides when a leader makes way for another process.
 *
 * @example
 * ```ts
 * const succession = new LeaderSuccession({ clock, client, largerPeerAddresses, leader, epoch, logger });
 * void succession.watchForLargerPeer(onReleased);
 * ```
 */
export class LeaderSuccession {
  private isHandingOver = false;

  constructor(private readonly options: LeaderSuccessionOptions) {}

  /** Resigns in favour of a process that can reach the store, and asks it to take over. */
  async resignIfPeerReachesStore(): Promise<void> {
    if (this.isHandingOver) return;
    this.isHandingOver = true;
    const { client, leader } = this.options;
    const successor = await client.findAcceptingPeer(MAY_TAKE_OVER, {}, HANDOVER_TIMEOUT_MS);
    if (successor !== null && !leader.hasStopped()) {
      leader.resign();
      await this.requestTakeover(successor);
    }
    this.isHandingOver = false;
  }

  /** Asks all other processes, as {@link SoleLeadership} needs it. */
  ruleOutSuccessor(sinceRenewalMs: number): Promise<boolean> {
    const { client, epoch } = this.options;
    const params = { epoch, sinceMs: sinceRenewalMs };
    return client.isAcceptedByAll(RULE_OUT_LATER_LEADER, params, RULE_OUT_TIMEOUT_MS);
  }

  /**
   * Releases the lease once a process on a far larger machine can take over; returns when
   * the leader has stopped. `onReleased` is called after the lease has been released.
   */
  async watchForLargerPeer(onReleased: () => void): Promise<void> {
    const { clock, client, leader, epoch, largerPeerAddresses, logger } = this.options;
    let isFirst = true;
    while (!leader.hasStopped()) {
      if (!isFirst) await clock.delay(STEP_DOWN_INTERVAL_MS);
      isFirst = false;
      if (this.isHandingOver) continue;
      // All at once, since each that cannot be reached costs the whole timeout.
      const responses = await Promise.all(
        largerPeerAddresses().map((address) =>
          client.findAcceptingPeer(MAY_TAKE_OVER, {}, HANDOVER_TIMEOUT_MS, [address]),
        ),
      );
      const successor = responses.find((address) => address !== null);
      if (successor === undefined || leader.hasStopped() || this.hasBegunHandover()) continue;
      for (let waitMs = leader.holdInstanceCommands(); waitMs > 0; waitMs = leader.holdInstanceCommands())
        await clock.delay(waitMs);
      if (leader.hasStopped() || this.hasBegunHandover()) continue;
      this.isHandingOver = true;
      logger.info(LOG_EVENTS.leaderMadeWay, { epoch, successor });
      await leader.release();
      onReleased();
      await this.requestTakeover(successor);
    }
  }

  private hasBegunHandover(): boolean {
    return this.isHandingOver;
  }

  private async requestTakeover(successor: string): Promise<void> {
    const { client, epoch } = this.options;
    try {
      await client.callPeer(successor, TAKE_OVER, { epoch }, HANDOVER_TIMEOUT_MS);
    } catch (error) {
      // Another process acquires the lease once it has expired.
      if (!(error instanceof RelayOutcomeUnknownError)) throw error;
    }
  }
}
