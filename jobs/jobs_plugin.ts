/** Provides the job service. */
import { CONFIGURATION } from '../config/configuration_service';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { TABLE } from '../platform/platform_plugin';
import { COUNTERS } from '../settings/base_capabilities';
import { JOB_CHANGED, JOB_SERVICE, JobService } from './job_service';
import { JobStore } from './job_store';

class JobsPlugin extends Plugin {
  override readonly name = 'jobs';
  override readonly requires = ['platform', 'config', 'membership', 'admission'];

  override setUp(kernel: Kernel): void {
    const configuration = kernel.use(CONFIGURATION);
    const service = new JobService({
      clock: kernel.clock,
      freshFleet: () => (configuration.isFresh() ? configuration.fleet() : null),
      store: new JobStore(kernel.use(TABLE), kernel.clock),
      counters: kernel.use(COUNTERS),
      onChanged: (poolId) => {
        kernel.events.publish(JOB_CHANGED, { poolId });
      },
    });
    kernel.provide(JOB_SERVICE, service);
  }
}

pluginRegistry.add({ name: 'jobs', create: () => new JobsPlugin() });
