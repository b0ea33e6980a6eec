/** Provides the dispatcher, the claims and the counts of in-flight work. */
import { CONFIGURATION, CONFIGURATION_CHANGED } from '../config/configuration_service';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { MEMBERSHIP } from '../membership/membership';
import { PEER_EXCHANGE } from '../peers/exchange';
import { INSTANCE_LIST } from '../platform/instance_list';
import { OBJECT_STORE } from '../platform/object_store';
import { TABLE_SERVICE } from '../platform/platform_plugin';
import { COUNTERS, LOGGER, ENTRY_SETTINGS } from '../settings/base_capabilities';
import { ClaimSweep } from './claim_sweep';
import { CLAIMS, Claims } from './claims';
import { DISPATCHER, IN_FLIGHT_WORK } from './dispatcher';
import { FleetDispatcher } from './fleet_dispatcher';
import { InstanceListPoller } from './instance_list_poller';
import { DrainingTargetTracker } from './draining_target_tracker';
import { DrainingSection } from './draining_section';
import { TargetSelector } from './target_selector';
import { UndiciTransport } from './undici_transport';

/** Longest time in milliseconds for which shutdown waits to record responses while the table is unavailable. */
const RECORD_FLUSH_TIMEOUT_MS = 2_000;

interface Components {
  readonly transport: UndiciTransport;
  readonly poller: InstanceListPoller;
  readonly claims: Claims;
  readonly sweep: ClaimSweep;
}

class DispatchPlugin extends Plugin {
  override readonly name = 'dispatch';
  override readonly requires = ['platform', 'config', 'membership', 'peers'];
  private components: Components | null = null;

  override setUp(kernel: Kernel): void {
    const { clock } = kernel;
    const common = { clock, counters: kernel.use(COUNTERS), logger: kernel.use(LOGGER) };
    const drainingTracker = new DrainingTargetTracker();
    const transport = new UndiciTransport(common);
    this.setUpDispatcher(kernel, drainingTracker, transport);
    kernel.use(PEER_EXCHANGE).addSection(new DrainingSection({ ...common, tracker: drainingTracker }));
    const table = kernel.use(TABLE_SERVICE);
    const claims = new Claims({
      ...common,
      table,
      objects: kernel.use(OBJECT_STORE),
      membership: kernel.use(MEMBERSHIP),
    });
    kernel.provide(CLAIMS, claims);
    const configuration = kernel.use(CONFIGURATION);
    const teamIds = (): readonly string[] => [...configuration.fleet().teams.keys()];
    this.components = {
      transport,
      poller: new InstanceListPoller({ ...common, list: kernel.use(INSTANCE_LIST), drainingTracker }),
      claims,
      sweep: new ClaimSweep({ ...common, table, teamIds, random: Math.random }),
    };
  }

  override async start(): Promise<void> {
    await this.components?.poller.start();
    this.components?.sweep.start();
  }

  override async stop(): Promise<void> {
    this.components?.poller.stop();
    this.components?.sweep.stop();
    await this.components?.claims.stop(RECORD_FLUSH_TIMEOUT_MS);
    await this.components?.transport.close();
  }

  private setUpDispatcher(
    kernel: Kernel,
    drainingTracker: DrainingTargetTracker,
    transport: UndiciTransport,
  ): void {
    const configuration = kernel.use(CONFIGURATION);
    const membership = kernel.use(MEMBERSHIP);
    const targets = new TargetSelector({
      fleet: () => configuration.fleet(),
      drainingTracker,
      availabilityZone: kernel.use(ENTRY_SETTINGS).availabilityZone,
      entryInstanceCount: () => membership.registered().length,
      random: Math.random,
    });
    kernel.provide(IN_FLIGHT_WORK, targets);
    const dispatcher = new FleetDispatcher({
      clock: kernel.clock,
      transport,
      targets,
      drainingTracker,
      counters: kernel.use(COUNTERS),
      logger: kernel.use(LOGGER),
      random: Math.random,
    });
    kernel.provide(DISPATCHER, dispatcher);
    kernel.events.subscribe(CONFIGURATION_CHANGED, () => {
      const { instances } = configuration.fleet();
      transport.retainOnly([...instances.values()]);
      drainingTracker.retainOnly((instanceId) => instances.has(instanceId));
    });
  }
}

pluginRegistry.add({ name: 'dispatch', create: () => new DispatchPlugin() });
