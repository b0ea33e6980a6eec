/** Provides the admission gate. */
import { CONFIGURATION, CONFIGURATION_CHANGED } from '../config/configuration_service';
import { objectName } from '../config/change';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { MEMBERSHIP, MEMBERSHIP_UPDATED } from '../membership/membership';
import { PEER_EXCHANGE } from '../peers/exchange';
import { TABLE_SERVICE } from '../platform/platform_plugin';
import { COUNTERS, ENTRY_SETTINGS } from '../settings/base_capabilities';
import { ADMISSION_GATE } from './admission_gate';
import { AdmissionService } from './admission_service';
import { WeightedFair } from './weighted_fair';

class AdmissionPlugin extends Plugin {
  override readonly name = 'admission';
  override readonly requires = ['platform', 'config', 'membership', 'peers'];
  private service: AdmissionService | null = null;

  override setUp(kernel: Kernel): void {
    const configuration = kernel.use(CONFIGURATION);
    const service = new AdmissionService({
      clock: kernel.clock,
      loop: kernel.loop,
      counters: kernel.use(COUNTERS),
      table: kernel.use(TABLE_SERVICE),
      membership: kernel.use(MEMBERSHIP),
      exchange: kernel.use(PEER_EXCHANGE),
      memberId: kernel.use(ENTRY_SETTINGS).memberId,
      fleet: () => configuration.fleet(),
      teamTicket: (teamId) => configuration.state().ticketNumbers.get(objectName('teams', teamId)) ?? 0,
      isFresh: () => configuration.isFresh(),
      newPolicy: () => new WeightedFair(),
      random: Math.random,
    });
    this.service = service;
    const update = (): void => {
      service.onMembershipOrConfigurationChanged();
    };
    kernel.events.subscribe(CONFIGURATION_CHANGED, update);
    kernel.events.subscribe(MEMBERSHIP_UPDATED, update);
    kernel.provide(ADMISSION_GATE, service.gate);
  }

  override start(): Promise<void> {
    this.service?.start();
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    await this.service?.stop();
  }
}

pluginRegistry.add({ name: 'admission', create: () => new AdmissionPlugin() });
