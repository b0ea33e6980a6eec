/** Provides the dispatcher. */
import { CONFIGURATION } from '../config/configuration_service';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { DISPATCHER } from './dispatcher';
import { IN_FLIGHT, InFlightCounter } from './in_flight';
import { PoolDispatcher } from './pool_dispatcher';

class DispatchPlugin extends Plugin {
  override readonly name = 'dispatch';
  override readonly requires = ['config'];
  private dispatcher: PoolDispatcher | null = null;

  override setUp(kernel: Kernel): void {
    const configuration = kernel.use(CONFIGURATION);
    const inFlight = new InFlightCounter();
    this.dispatcher = new PoolDispatcher({
      clock: kernel.clock,
      fleet: () => configuration.fleet(),
      inFlight,
    });
    kernel.provide(IN_FLIGHT, inFlight);
    kernel.provide(DISPATCHER, this.dispatcher);
  }

  override async stop(): Promise<void> {
    await this.dispatcher?.close();
  }
}

pluginRegistry.add({ name: 'dispatch', create: () => new DispatchPlugin() });
