/** Several simulated entry instances on one virtual clock, one table and one network. */
import type { QueueingPolicy } from '../admission/queueing_policy';
import { VirtualClock } from '../kernel/virtual_clock';
import type { FleetConfiguration } from '../model/fleet';
import { TableStore } from '../platform/table_store';
import { FakeMember, type Published } from './fake_member';
import { FakeMemberList } from './fake_membership';
import { FakeNetwork } from './fake_network';
import { seededRandom } from './seeded_random';

export interface FakeDeploymentOptions {
  readonly members: number;
  readonly fleet: FleetConfiguration;
  readonly newPolicy: () => QueueingPolicy;
  readonly seed: number;
  /** One way between members, in milliseconds. */
  readonly latencyMs?: number;
  /** Answer time of the table in milliseconds. */
  readonly tableMs?: number;
}

/**
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
  private current: Published;

  constructor(options: FakeDeploymentOptions) {
    const { seed, latencyMs = 1, tableMs = 0 } = options;
    this.current = { fleet: options.fleet, ticket: 1 };
    const network = new FakeNetwork(this.clock, latencyMs);
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
        requestDelayMs: tableMs / 2,
        responseDelayMs: tableMs / 2,
      };
      return member;
    });
    // The first members know each other from the start.
    for (const member of this.members) member.poll();
  }

  /** Puts a configuration into the head; members see it with their next poll. */
  publish(fleet: FleetConfiguration): void {
    this.current = { fleet, ticket: this.current.ticket + 1 };
  }

  published(): Published {
    return this.current;
  }

  /** What any turn of any member has thrown. */
  errors(): readonly unknown[] {
    return this.members.flatMap((member) => member.errors);
  }
}
