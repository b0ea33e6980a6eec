/** Provides the progress of maintenance waves and runs maintenance. */
import { randomUUID } from 'node:crypto';
import { CONFIGURATION } from '../config/configuration_service';
import { IN_FLIGHT_WORK } from '../dispatch/dispatcher';
import { TASKS_IN_FLIGHT } from '../jobs/tasks_in_flight';
import { CombinedInFlight } from './combined_in_flight';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { MEMBERSHIP } from '../membership/membership';
import { PEER_EXCHANGE } from '../peers/exchange';
import { INSTANCE_LIST } from '../platform/instance_list';
import { TABLE_SERVICE } from '../platform/platform_plugin';
import { POOL_OPERATIONS } from '../platform/pool_operations';
import { RoleLeases } from '../roles/role_lease';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { LOG_EVENTS, type LogEvent } from '../telemetry/events_catalogue';
import type { LogFields } from '../telemetry/logger';
import { InFlightTracker } from './in_flight_tracker';
import { MAINTENANCE_PROGRESS, TableMaintenanceProgress } from './maintenance_progress';
import { MaintenanceService } from './maintenance_service';
import { PoolMaintainer } from './pool_maintainer';
import { GatherWavePolicy } from './gather_wave_policy';

class MaintenancePlugin extends Plugin {
  override readonly name = 'maintenance';
  override readonly requires = ['platform', 'config', 'membership', 'peers', 'dispatch', 'jobs'];
  private service: MaintenanceService | null = null;

  override setUp(kernel: Kernel): void {
    const configuration = kernel.use(CONFIGURATION);
    const table = kernel.use(TABLE_SERVICE);
    const fleet = () => configuration.fleet();
    const membership = kernel.use(MEMBERSHIP);
    const inFlightTracker = new InFlightTracker({
      clock: kernel.clock,
      counts: new CombinedInFlight([kernel.use(IN_FLIGHT_WORK), kernel.use(TASKS_IN_FLIGHT)]),
      membership,
      fleet,
    });
    kernel.use(PEER_EXCHANGE).addSection(inFlightTracker);
    kernel.provide(MAINTENANCE_PROGRESS, new TableMaintenanceProgress(table, fleet));
    const shared = { clock: kernel.clock, membership, counters: kernel.use(COUNTERS), log: logOf(kernel) };
    const service: MaintenanceService = new MaintenanceService({
      ...shared,
      fleet,
      instanceList: kernel.use(INSTANCE_LIST),
      newMaintainer: (poolId) =>
        new PoolMaintainer(poolId, {
          ...shared,
          table,
          configuration,
          roles: new RoleLeases(table, membership),
          operations: kernel.use(POOL_OPERATIONS),
          watch: inFlightTracker,
          // Waves take as long as with SpreadWavePolicy, and a failed rack delays them less (bench/waves_main.ts).
          policy: new GatherWavePolicy(),
          view: () => service.platformView(),
          newOperationId: randomUUID,
        }),
    });
    this.service = service;
  }

  override start(): Promise<void> {
    this.service?.start();
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    await this.service?.stop();
  }
}

function logOf(kernel: Kernel): (event: LogEvent, fields: LogFields) => void {
  const logger = kernel.use(LOGGER);
  return (event, fields) => {
    if (event === LOG_EVENTS.instanceStateChanged) logger.info(event, fields);
    else logger.warn(event, fields);
  };
}

pluginRegistry.add({ name: 'maintenance', create: () => new MaintenancePlugin() });
