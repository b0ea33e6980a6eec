/** Connects the admission gate of one member (entry instance) with its grants and the exchange of demand. */
import type { Clock } from '../kernel/clock';
import type { EventLoop } from '../kernel/event_loop';
import type { Membership } from '../membership/membership';
import type { FleetConfiguration } from '../model/fleet';
import type { PeerExchange } from '../peers/exchange';
import type { TableService } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { DemandSection, type PoolCounts } from './demand_section';
import { FairAdmissionGate } from './fair_admission_gate';
import { GrantManager } from './grant_manager';
import { limitShare } from './limit_share';
import type { QueueingPolicy } from './queueing_policy';

export interface AdmissionServiceOptions {
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly counters: Counters;
  readonly table: TableService;
  readonly membership: Membership;
  readonly exchange: PeerExchange;
  readonly memberId: string;
  readonly fleet: () => FleetConfiguration;
  /** Number of the ticket (configuration change) that last set or removed a team. */
  readonly teamTicket: (teamId: string) => number;
  readonly isFresh: () => boolean;
  readonly newPolicy: () => QueueingPolicy;
  readonly random: () => number;
}

/**
 * @example
 * ```ts
 * const service = new AdmissionService(options);
 * service.start();
 * const admission = await service.gate.admit(request);
 * ```
 */
export class AdmissionService {
  readonly gate: FairAdmissionGate;
  readonly grants: GrantManager;
  private readonly demand: DemandSection;

  constructor(private readonly options: AdmissionServiceOptions) {
    this.grants = this.newGrantManager();
    this.demand = new DemandSection({
      clock: options.clock,
      membership: options.membership,
      counters: options.counters,
      ownCounts: () => this.gate.counts(),
      onPeerCountsChanged: () => {
        this.gate.onPeersChanged();
      },
    });
    this.gate = new FairAdmissionGate({
      ...options,
      grants: this.grants,
      peerCounts: () => this.demand.peers(),
      publishedCounts: () => this.demand.published(),
      peerIds: () => this.peerIds(),
    });
    options.exchange.addSection(this.demand);
  }

  start(): void {
    this.grants.start();
  }

  /** Rejects waiting work and returns the grants. */
  async stop(): Promise<void> {
    this.gate.close();
    await this.grants.stop();
  }

  onMembershipOrConfigurationChanged(): void {
    this.demand.dropEnded();
    this.gate.onPeersChanged();
  }

  private newGrantManager(): GrantManager {
    const { fleet, teamTicket } = this.options;
    return new GrantManager({
      ...this.options,
      configuredLimit: (teamId) => ({
        limit: fleet().teams.get(teamId)?.upperLimit ?? 0,
        ticket: teamTicket(teamId),
      }),
      limitShare: (teamId) => this.limitShareOf(teamId),
      onCapacityGained: () => {
        this.gate.startWaitingInAllPools();
      },
    });
  }

  private limitShareOf(teamId: string): number {
    const { fleet, memberId } = this.options;
    const members = new Map<string, PoolCounts>([...this.demand.peers(), [memberId, this.gate.counts()]]);
    const limit = fleet().teams.get(teamId)?.upperLimit ?? 0;
    return limitShare({
      teamId,
      limit,
      selfId: memberId,
      members,
      slotsOf: (poolId) => this.gate.slots(poolId),
    });
  }

  private peerIds(): readonly string[] {
    const { membership, memberId } = this.options;
    return membership
      .registered()
      .map((member) => member.memberId)
      .filter((id) => id !== memberId);
  }
}
