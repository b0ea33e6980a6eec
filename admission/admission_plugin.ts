/** Provides the admission gate. */
import { CONFIGURATION } from '../config/configuration_service';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { ADMISSION } from './admission_gate';
import { LocalAdmissionGate } from './local_admission_gate';

class AdmissionPlugin extends Plugin {
  override readonly name = 'admission';
  override readonly requires = ['config'];

  override setUp(kernel: Kernel): void {
    const configuration = kernel.use(CONFIGURATION);
    kernel.provide(ADMISSION, new LocalAdmissionGate(() => configuration.fleet()));
  }
}

pluginRegistry.add({ name: 'admission', create: () => new AdmissionPlugin() });
