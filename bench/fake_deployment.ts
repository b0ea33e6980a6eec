/** Several simulated entry instances with a common virtual clock, table and network. */
import type { QueueingPolicy } from '../admission/queueing_policy';
import { VirtualClock } from '../kernel/virtual_clock';
import type { FleetConfiguration } from '../model/fleet';
import { TableStore } from '../platform/table_store';
import { FakeMember, type PublishedConfiguration } from './fake_member';
import { FakeMemberList } from './fake_membership';
import { FakeNetwork } from './fake_network';
import { seededRandom } from './seeded_random';

export interface FakeDeploymentOptions {
  readonly members: number;
  readonly fleet: FleetConfiguration;
  readonly newPolicy: () => QueueingPolicy;
  readonly seed: number;
  /** One-way network latency between members, in milliseconds. */
  readonly oneWayLatencyMs?: number;
  /** Response time of the table service, in milliseconds. */
  readonly tableResponseMs?: number;
}

/**
 * Members register and poll on construction; time passes when the caller advances the clock.
 *
 * @example
 * ```ts
 * const deployment = new FakeDeployment({ members: 3, fleet, newPolicy: () => new WeightedFair(), seed: 1 });
 * const admission = deployment.members[0]?.admit(request);
 * await deployment.clock.advanceAsync(1_000);
 * ```
 */
export class FakeDeployment {
  readonly clock = new VirtualClock();
  readonly store = new TableStore();
  readonly list = new FakeMemberList(this.clock);
  readonly members: readonly FakeMember[];
  private current: PublishedConfiguration;

  constructor(options: FakeDeploymentOptions) {
    const { seed, oneWayLatencyMs = 1, tableResponseMs = 0 } = options;
    this.current = { fleet: options.fleet, ticket: 1 };
    const network = new FakeNetwork(this.clock, oneWayLatencyMs);
    this.members = Array.from({ length: options.members }, (_, index) => {
      const member = new FakeMember({
        memberId: `entry-${index + 1}`,
        clock: this.clock,
        store: this.store,
        list: this.list,
        network,
        published: () => this.current,
        newPolicy: options.newPolicy,
        random: seededRandom(seed * 100 + index),
        phaseMs: index * 61,
      });
      member.table.faults = {
        ...member.table.faults,
        requestDelayMs: tableResponseMs / 2,
        responseDelayMs: tableResponseMs / 2,
      };
      return member;
    });
    // Each member polled on construction, before later ones had registered; now all know each other.
    for (const member of this.members) member.poll();
  }

  /** Publishes a configuration with the next ticket number; members load it at their next poll. */
  publish(fleet: FleetConfiguration): void {
    this.current = { fleet, ticket: this.current.ticket + 1 };
  }

  published(): PublishedConfiguration {
    return this.current;
  }

  /** Errors thrown by tasks on the event loops of the members. */
  errors(): readonly unknown[] {
    return this.members.flatMap((member) => member.errors);
  }
}
