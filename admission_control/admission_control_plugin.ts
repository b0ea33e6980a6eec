/** Decides on submitted jobs by the views of the placement leader. */
import { ADMISSION_CONTROL, LEADER_EPOCHS, ROW_STORE, SCHEDULER_SETTINGS } from '../daemon/capabilities';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { OpenAdmission, ShortageAdmission } from './admission_control';
import { CurrentView } from './current_view';
import { PressureFollower } from './pressure_follower';

class AdmissionControlPlugin extends Plugin {
  override readonly name = 'admission_control';
  override readonly requires = ['wire'];
  private follower: PressureFollower | null = null;

  override setUp(kernel: Kernel): void {
    const { clock } = kernel;
    const settings = kernel.use(SCHEDULER_SETTINGS);
    const current = new CurrentView();
    kernel.provide(LEADER_EPOCHS, {
      observe: (epoch) => {
        current.observeEpoch(epoch);
      },
    });
    if (settings.admissionControl === 'off') {
      kernel.provide(ADMISSION_CONTROL, new OpenAdmission());
      return;
    }
    const { admissionWaitPercent: waitPercent, admissionMaxRetryAfterS: maxRetryAfterS } = settings;
    kernel.provide(ADMISSION_CONTROL, new ShortageAdmission({ clock, current, waitPercent, maxRetryAfterS }));
    this.follower = new PressureFollower({
      clock,
      current,
      store: kernel.use(ROW_STORE),
      counters: kernel.use(COUNTERS),
      logger: kernel.use(LOGGER),
    });
  }

  override start(): Promise<void> {
    this.follower?.start();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.follower?.stop();
    return Promise.resolve();
  }
}

pluginRegistry.add({ name: 'admission_control', create: () => new AdmissionControlPlugin() });
