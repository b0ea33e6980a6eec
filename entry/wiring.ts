/** Assembles an entry instance. Plug-ins register themselves when they are imported here. */
import '../platform/platform_plugin';
import '../config/config_plugin';
import '../membership/membership_plugin';
import '../peers/peers_plugin';
import '../admission/admission_plugin';
import '../dispatch/dispatch_plugin';
import '../jobs/jobs_plugin';
import '../maintenance/maintenance_plugin';
import './entry_plugin';
import type { Clock } from '../kernel/clock';
import { Kernel } from '../kernel/kernel';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER, ENTRY_SETTINGS } from '../settings/base_capabilities';
import type { EntrySettings } from '../settings/settings';
import { MemoryCounters, StatsdCounters, type Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { Logger } from '../telemetry/logger';

export interface EntryInstanceOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly logger?: Logger;
}

/**
 * Builds an entry instance with all plug-ins set up and none started.
 *
 * @example
 * ```ts
 * const kernel = createEntryInstance({ settings, clock: new SystemClock() });
 * await kernel.start();
 * ```
 */
export function createEntryInstance(options: EntryInstanceOptions): Kernel {
  const { settings, clock } = options;
  const logger = options.logger ?? Logger.create({ level: settings.logLevel });
  const counters = createCounters(settings);
  const kernel = new Kernel({
    clock,
    onTurnError: (error) => {
      counters.increment('turns.failed');
      logger.error(LOG_EVENTS.turnFailed, { reason: error instanceof Error ? error.stack : String(error) });
    },
  });
  kernel.provide(ENTRY_SETTINGS, settings);
  kernel.provide(LOGGER, logger);
  kernel.provide(COUNTERS, counters);
  kernel.load(pluginRegistry.all());
  return kernel;
}

function createCounters(settings: EntrySettings): Counters {
  if (settings.statsdHost === '') return new MemoryCounters();
  return new StatsdCounters({ host: settings.statsdHost, port: settings.statsdPort });
}
