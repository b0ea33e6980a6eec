/** Serves the caller API and the load balancer's readiness checks. */
import { Hono } from 'hono';
import {
  ADMISSION_CONTROL,
  CALLER_CODEC,
  CLIENT_GUARD,
  JOB_OPERATIONS,
  NODE_SETTINGS,
  OPERATOR_STATE,
} from '../daemon/capabilities';
import { HttpServer } from '../entry/http_server';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { jobApi } from './job_api';

/**
 * Time after which the load balancer has stopped sending requests, in
 * milliseconds. It checks every second and needs two failed checks.
 */
const BALANCER_GRACE_MS = 2_700;

/**
 * Time reserved for the exit of the process at the end of the stop grace period,
 * in milliseconds. Connections that are still open by then are cut.
 */
const EXIT_MARGIN_MS = 700;

class CallersPlugin extends Plugin {
  override readonly name = 'callers';
  override readonly requires = ['wire', 'operator', 'relay', 'admission_control', 'client_limits'];
  private kernel: Kernel | null = null;
  private servers: readonly HttpServer[] = [];
  private isShuttingDown = false;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
  }

  override async start(): Promise<void> {
    if (this.kernel === null) throw new Error('The plug-in is not set up.');
    const settings = this.kernel.use(NODE_SETTINGS);
    const { callerAddress, readinessAddress } = settings;
    const guard = this.kernel.use(CLIENT_GUARD);
    const servers: HttpServer[] = [];
    if (callerAddress !== null) {
      const app = this.callerApp(this.kernel);
      const clients = { guard, kind: 'callers' } as const;
      servers.push(await HttpServer.listen({ app, clients, ...callerAddress }));
    }
    if (readinessAddress !== null) {
      const app = this.readinessApp(this.kernel);
      const clients = { guard, kind: 'readiness' } as const;
      servers.push(await HttpServer.listen({ app, clients, ...readinessAddress }));
    }
    this.servers = servers;
  }

  /** Keeps serving until the load balancer has stopped sending requests, then waits for requests in progress. */
  override async stop(): Promise<void> {
    if (this.kernel === null || this.servers.length === 0) return;
    this.isShuttingDown = true;
    const { stopGraceMs } = this.kernel.use(NODE_SETTINGS);
    for (const server of this.servers) server.disableKeepAlive();
    await this.kernel.clock.delay(BALANCER_GRACE_MS);
    const closed = Promise.all(this.servers.map((server) => server.close()));
    await Promise.race([closed, this.kernel.clock.delay(stopGraceMs - BALANCER_GRACE_MS - EXIT_MARGIN_MS)]);
  }

  private callerApp(kernel: Kernel): ReturnType<typeof jobApi> {
    const operatorState = kernel.use(OPERATOR_STATE);
    return jobApi({
      clock: kernel.clock,
      codec: kernel.use(CALLER_CODEC),
      jobs: kernel.use(JOB_OPERATIONS),
      admission: kernel.use(ADMISSION_CONTROL),
      rules: operatorState.rules,
      counters: kernel.use(COUNTERS),
      logger: kernel.use(LOGGER),
      clients: kernel.use(CLIENT_GUARD),
    });
  }

  /** Ready while rules are in effect, the store is reachable and the process is not shutting down. */
  private readinessApp(kernel: Kernel): Hono {
    const operatorState = kernel.use(OPERATOR_STATE);
    const app = new Hono();
    app.get('*', (context) => {
      const isReady =
        !this.isShuttingDown && operatorState.rules() !== null && operatorState.isStoreReachable();
      return context.json({ ready: isReady }, isReady ? 200 : 503);
    });
    return app;
  }
}

pluginRegistry.add({ name: 'callers', create: () => new CallersPlugin() });
