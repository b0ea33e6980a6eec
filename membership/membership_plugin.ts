/** Registers this entry instance and provides the membership. */
import { randomUUID } from 'node:crypto';
import { CONFIGURATION, MEMBERSHIP_EPOCH_CHANGED } from '../config/configuration_service';
import { AcknowledgementBarrier } from '../config/propagation_barrier';
import { HEAD_EXCHANGE } from '../config/head_exchange';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { PEER_NETWORK } from '../peers/peer_network';
import { INSTANCE_LIST } from '../platform/instance_list';
import { TABLE_SERVICE } from '../platform/platform_plugin';
import { COUNTERS, LOGGER, ENTRY_SETTINGS } from '../settings/base_capabilities';
import { MEMBERSHIP, MEMBERSHIP_UPDATED } from './membership';
import { MembershipService } from './membership_service';

/**
 * Longest time, in milliseconds, for which the start waits for activation. The start
 * continues afterwards in any case, because a crashed member delays the activation
 * until it is fenced.
 */
const ACTIVATION_WAIT_MS = 3_000;
const ACTIVATION_CHECK_MS = 20;

class MembershipPlugin extends Plugin {
  override readonly name = 'membership';
  override readonly requires = ['platform', 'config', 'peers'];
  private kernel: Kernel | null = null;
  private service: MembershipService | null = null;

  override setUp(kernel: Kernel): void {
    const { clock } = kernel;
    const network = kernel.use(PEER_NETWORK);
    const exchange = kernel.use(HEAD_EXCHANGE);
    const counters = kernel.use(COUNTERS);
    const announce = (): void => {
      network.exchangeNow();
    };
    const service = new MembershipService({
      clock,
      table: kernel.use(TABLE_SERVICE),
      configuration: kernel.use(CONFIGURATION),
      exchange,
      barrier: new AcknowledgementBarrier({ clock, exchange, counters, announce }),
      network,
      instanceList: kernel.use(INSTANCE_LIST),
      counters,
      log: (event, fields) => {
        kernel.use(LOGGER).info(event, fields);
      },
      random: Math.random,
      newIncarnation: randomUUID,
      onUpdated: () => {
        kernel.events.publish(MEMBERSHIP_UPDATED, {});
      },
    });
    kernel.events.subscribe(MEMBERSHIP_EPOCH_CHANGED, () => void service.refresh());
    kernel.provide(MEMBERSHIP, service);
    this.kernel = kernel;
    this.service = service;
  }

  override async start(): Promise<void> {
    const { kernel, service } = this;
    if (kernel === null || service === null) throw new Error('The plug-in is not set up.');
    const { memberId, host, peerPort, availabilityZone } = kernel.use(ENTRY_SETTINGS);
    const port = await kernel.use(PEER_NETWORK).listen({ host, port: peerPort });
    await service.start({ memberId, host, peerPort: port, availabilityZone });
    const deadlineMs = kernel.clock.monotonicMs() + ACTIVATION_WAIT_MS;
    while (service.self()?.status !== 'active' && kernel.clock.monotonicMs() < deadlineMs) {
      await kernel.clock.delay(ACTIVATION_CHECK_MS);
    }
  }

  override async stop(): Promise<void> {
    await this.service?.stop();
  }
}

pluginRegistry.add({ name: 'membership', create: () => new MembershipPlugin() });
