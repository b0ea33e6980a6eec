/** Serves the caller API and the operator API. */
import { ADMISSION_GATE } from '../admission/admission_gate';
import { CONFIGURATION } from '../config/configuration_service';
import { TicketService } from '../config/ticket_service';
import { CLAIMS } from '../dispatch/claims';
import { DISPATCHER } from '../dispatch/dispatcher';
import { JOB_SERVICE } from '../jobs/job_service';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { MAINTENANCE_PROGRESS } from '../maintenance/maintenance_progress';
import { MEMBERSHIP } from '../membership/membership';
import { TABLE_SERVICE } from '../platform/platform_plugin';
import { COUNTERS, LOGGER, ENTRY_SETTINGS } from '../settings/base_capabilities';
import { MemoryCounters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { callerApi } from './caller_api';
import { ClientGuard } from './client_guard';
import { ClientLimits } from './client_limits';
import { HttpServer } from './http_server';
import { JobRoutes } from './job_routes';
import { operatorApi } from './operator_api';
import { processUsage } from './process_usage';
import { Readiness, READINESS } from './readiness';
import { REQUEST_FLOW, RequestFlow } from './request_flow';

class EntryPlugin extends Plugin {
  override readonly name = 'entry';
  override readonly requires = [
    'config',
    'membership',
    'peers',
    'admission',
    'dispatch',
    'jobs',
    'maintenance',
  ];
  private kernel: Kernel | null = null;
  private servers: readonly HttpServer[] = [];
  private readonly readiness = new Readiness();

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    const flow = new RequestFlow({
      clock: kernel.clock,
      configuration: kernel.use(CONFIGURATION),
      admission: kernel.use(ADMISSION_GATE),
      dispatcher: kernel.use(DISPATCHER),
      claims: kernel.use(CLAIMS),
    });
    kernel.provide(REQUEST_FLOW, flow);
    kernel.provide(READINESS, this.readiness);
  }

  override async start(): Promise<void> {
    const kernel = this.requireKernel();
    const settings = kernel.use(ENTRY_SETTINGS);
    // The settings of this daemon do not state the limits of its machine.
    const limits = new ClientLimits(settings, { memoryBytes: null, maxDescriptors: null });
    const guard = new ClientGuard({
      limits,
      clock: kernel.clock,
      counters: kernel.use(COUNTERS),
      logger: kernel.use(LOGGER),
      readResidentBytes: () => process.memoryUsage.rss(),
    });
    const callerServer = await HttpServer.listen({
      app: this.callerApp(kernel),
      clients: { guard, kind: 'callers' },
      host: settings.host,
      port: settings.callerPort,
    });
    const operatorServer = await HttpServer.listen({
      app: this.operatorApp(kernel),
      clients: { guard, kind: 'operators' },
      host: settings.host,
      port: settings.operatorPort,
    });
    this.servers = [callerServer, operatorServer];
    this.readiness.set(true);
    kernel.use(LOGGER).info(LOG_EVENTS.started, {
      memberId: settings.memberId,
      callerPort: callerServer.port,
      operatorPort: operatorServer.port,
    });
  }

  override async stop(): Promise<void> {
    const kernel = this.requireKernel();
    this.readiness.set(false);
    kernel.use(LOGGER).info(LOG_EVENTS.stopping);
    for (const server of this.servers) server.disableKeepAlive();
    // The load balancer keeps sending requests until it has noticed that the instance is not ready.
    await kernel.clock.delay(kernel.use(ENTRY_SETTINGS).balancerGraceMs);
    const [callerServer] = this.servers;
    await callerServer?.drainConnections();
    await kernel.use(REQUEST_FLOW).close();
    await Promise.all(this.servers.map((server) => server.close()));
  }

  private requireKernel(): Kernel {
    if (this.kernel === null) throw new Error('The plug-in is not set up.');
    return this.kernel;
  }

  private callerApp(kernel: Kernel): ReturnType<typeof callerApi> {
    return callerApi({
      flow: kernel.use(REQUEST_FLOW),
      counters: kernel.use(COUNTERS),
      logger: kernel.use(LOGGER),
      maxBodyBytes: kernel.use(ENTRY_SETTINGS).maxBodyBytes,
      additionalRoutes: [new JobRoutes(kernel.use(JOB_SERVICE))],
    });
  }

  private operatorApp(kernel: Kernel): ReturnType<typeof operatorApi> {
    const configuration = kernel.use(CONFIGURATION);
    return operatorApi({
      tickets: new TicketService({ clock: kernel.clock, configuration, table: kernel.use(TABLE_SERVICE) }),
      configuration,
      membership: kernel.use(MEMBERSHIP),
      readiness: this.readiness,
      progress: kernel.use(MAINTENANCE_PROGRESS),
      counters: kernel.use(COUNTERS),
      operatorToken: kernel.use(ENTRY_SETTINGS).operatorToken,
      status: () => this.status(kernel),
    });
  }

  private status(kernel: Kernel): Readonly<Record<string, unknown>> {
    const configuration = kernel.use(CONFIGURATION);
    const counters = kernel.use(COUNTERS);
    return {
      memberId: kernel.use(ENTRY_SETTINGS).memberId,
      head: configuration.head(),
      fresh: configuration.isFresh(),
      process: processUsage(),
      counters: counters instanceof MemoryCounters ? Object.fromEntries(counters.snapshot()) : {},
    };
  }
}

pluginRegistry.add({ name: 'entry', create: () => new EntryPlugin() });
