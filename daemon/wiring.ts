/** Assembles a scheduler process. The plug-ins register themselves when they are imported here. */
import '../platform/wire_plugin';
import './client_limits_plugin';
import './operator_plugin';
import '../relay/relay_plugin';
import '../admission_control/admission_control_plugin';
import '../callers/callers_plugin';
import '../placement/placement_plugin';
import type { Clock } from '../kernel/clock';
import { Kernel } from '../kernel/kernel';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { MemoryCounters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { NODE_SETTINGS, SCHEDULER_SETTINGS } from './capabilities';
import type { NodeSettings } from './node_settings';
import type { SchedulerSettings } from './scheduler_settings';

export interface SchedulerOptions {
  /** From the file that the platform writes. */
  readonly settings: NodeSettings;
  /** From flags and environment variables. */
  readonly schedulerSettings: SchedulerSettings;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Creates a scheduler process with all plug-ins set up and none started.
 *
 * @example
 * ```ts
 * const kernel = createScheduler({ settings, schedulerSettings, clock: new SystemClock(), logger });
 * await kernel.start();
 * ```
 */
export function createScheduler({ settings, schedulerSettings, clock, logger }: SchedulerOptions): Kernel {
  const counters = new MemoryCounters();
  const kernel = new Kernel({
    clock,
    onTurnError: (error) => {
      counters.increment('turns.failed');
      logger.error(LOG_EVENTS.turnFailed, { reason: error instanceof Error ? error.stack : String(error) });
    },
  });
  kernel.provide(NODE_SETTINGS, settings);
  kernel.provide(SCHEDULER_SETTINGS, schedulerSettings);
  kernel.provide(LOGGER, logger);
  kernel.provide(COUNTERS, counters);
  kernel.load(pluginRegistry.all());
  return kernel;
}
