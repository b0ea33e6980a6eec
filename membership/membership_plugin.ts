/** Provides the membership. */
import { randomUUID } from 'node:crypto';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { SETTINGS } from '../settings/base_capabilities';
import { MEMBERSHIP } from './membership';
import { SingleMembership } from './single_membership';

class MembershipPlugin extends Plugin {
  override readonly name = 'membership';
  override readonly requires = ['platform', 'config'];

  override setUp(kernel: Kernel): void {
    const { memberId, host, peerPort, availabilityZone } = kernel.use(SETTINGS);
    const member = {
      memberId,
      incarnation: randomUUID(),
      host,
      peerPort,
      availabilityZone,
      status: 'active' as const,
    };
    kernel.provide(MEMBERSHIP, new SingleMembership(member));
  }
}

pluginRegistry.add({ name: 'membership', create: () => new MembershipPlugin() });
