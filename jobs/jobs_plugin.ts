/** Provides the job service and runs the placement of jobs. */
import { ADMISSION_GATE } from '../admission/admission_gate';
import { CONFIGURATION } from '../config/configuration_service';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { MEMBERSHIP } from '../membership/membership';
import type { FleetConfiguration } from '../model/fleet';
import { TABLE_SERVICE } from '../platform/platform_plugin';
import { WORKER_CONTROL } from '../platform/worker_control';
import { RoleLeases } from '../roles/role_lease';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { BestFitPlacement } from './best_fit_placement';
import { JOB_CHANGED, JOB_SERVICE, JobService } from './job_service';
import { JobStore } from './job_store';
import { PlacementRoles, type PlacementTerm } from './placement_roles';
import { PoolPlacement } from './pool_placement';
import { TASKS_IN_FLIGHT, TasksInFlight } from './tasks_in_flight';
import { UsageModel } from './usage_model';
import { WorkerHealth } from './worker_health';

class JobsPlugin extends Plugin {
  override readonly name = 'jobs';
  override readonly requires = ['platform', 'config', 'membership', 'admission'];
  private kernel: Kernel | null = null;
  private store: JobStore | null = null;
  private roles: PlacementRoles | null = null;
  /**
   * Usage and health statistics by pool id. They are retained while another entry
   * instance is the pool's placement leader.
   */
  private readonly statisticsByPool = new Map<
    string,
    { readonly usage: UsageModel; readonly health: WorkerHealth }
  >();

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    const configuration = kernel.use(CONFIGURATION);
    const freshFleet = (): FleetConfiguration | null =>
      configuration.isFresh() ? configuration.fleet() : null;
    const store = new JobStore(kernel.use(TABLE_SERVICE), kernel.clock);
    const roles = this.placementRoles(kernel, store, freshFleet);
    const service = new JobService({
      clock: kernel.clock,
      freshFleet,
      store,
      counters: kernel.use(COUNTERS),
      onChanged: (poolId) => {
        kernel.events.publish(JOB_CHANGED, { poolId });
      },
    });
    kernel.provide(JOB_SERVICE, service);
    kernel.events.subscribe(JOB_CHANGED, ({ poolId }) => {
      roles.handleJobsChanged(poolId);
    });
    kernel.provide(TASKS_IN_FLIGHT, new TasksInFlight(roles));
    this.store = store;
    this.roles = roles;
  }

  override async start(): Promise<void> {
    this.roles?.start(await this.poolsWithOpenJobs());
  }

  override async stop(): Promise<void> {
    await this.roles?.stop();
  }

  /**
   * Returns the ids of the pools with open jobs, including pools that were removed
   * from the configuration while no entry instance ran.
   */
  private async poolsWithOpenJobs(): Promise<ReadonlySet<string>> {
    try {
      return (await this.store?.poolsWithOpenJobs()) ?? new Set();
    } catch (error) {
      this.kernel?.use(COUNTERS).increment('table.read_failed');
      this.kernel?.use(LOGGER).warn(LOG_EVENTS.tableUnavailable, { reason: String(error) });
      return new Set();
    }
  }

  private placementRoles(
    kernel: Kernel,
    store: JobStore,
    freshFleet: () => FleetConfiguration | null,
  ): PlacementRoles {
    const membership = kernel.use(MEMBERSHIP);
    const leases = new RoleLeases(kernel.use(TABLE_SERVICE), membership);
    return new PlacementRoles({
      clock: kernel.clock,
      roles: leases,
      membership,
      freshFleet,
      counters: kernel.use(COUNTERS),
      logger: kernel.use(LOGGER),
      createPlacement: (term) => this.createPlacement(kernel, store, leases, term),
    });
  }

  private createPlacement(
    kernel: Kernel,
    store: JobStore,
    roles: RoleLeases,
    term: PlacementTerm,
  ): PoolPlacement {
    const configuration = kernel.use(CONFIGURATION);
    const existing = this.statisticsByPool.get(term.poolId);
    const statistics = existing ?? { usage: new UsageModel(), health: new WorkerHealth(Math.random) };
    this.statisticsByPool.set(term.poolId, statistics);
    return new PoolPlacement({
      ...term,
      ...statistics,
      clock: kernel.clock,
      store,
      roles,
      control: kernel.use(WORKER_CONTROL),
      gate: kernel.use(ADMISSION_GATE),
      fleet: () => configuration.fleet(),
      policy: new BestFitPlacement(),
      random: Math.random,
      counters: kernel.use(COUNTERS),
      logger: kernel.use(LOGGER),
    });
  }
}

pluginRegistry.add({ name: 'jobs', create: () => new JobsPlugin() });
