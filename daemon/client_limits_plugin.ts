/** Provides the limits of what clients may hold in a scheduler process. */
import { ClientGuard } from '../entry/client_guard';
import { ClientLimits } from '../entry/client_limits';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { CLIENT_GUARD, NODE_SETTINGS, SCHEDULER_SETTINGS } from './capabilities';

class ClientLimitsPlugin extends Plugin {
  override readonly name = 'client_limits';
  override readonly requires = [];

  override setUp(kernel: Kernel): void {
    const { memoryLimitBytes, maxDescriptors } = kernel.use(NODE_SETTINGS);
    const machine = { memoryBytes: memoryLimitBytes, maxDescriptors };
    kernel.provide(
      CLIENT_GUARD,
      new ClientGuard({
        limits: new ClientLimits(kernel.use(SCHEDULER_SETTINGS), machine),
        clock: kernel.clock,
        counters: kernel.use(COUNTERS),
        logger: kernel.use(LOGGER),
        readResidentBytes: () => process.memoryUsage.rss(),
      }),
    );
  }
}

pluginRegistry.add({ name: 'client_limits', create: () => new ClientLimitsPlugin() });
