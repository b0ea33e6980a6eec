/** Serves callers, the balancer's question for readiness, and metrics. */
import { Hono } from 'hono';
import { CALLER_CODEC, JOB_OPERATIONS, NODE_SETTINGS, OPERATOR_STATE } from '../daemon/capabilities';
import { HttpServer } from '../entry/http_server';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { jobApi } from './job_api';

/** Time that the balancer needs to notice that the process is leaving, in milliseconds: it asks each second and wants two refusals. */
const BALANCER_GRACE_MS = 2_700;

/** Part of the grace after which connections that are still open are cut, in milliseconds before its end. */
const EXIT_MARGIN_MS = 700;

class CallersPlugin extends Plugin {
  override readonly name = 'callers';
  override readonly requires = ['wire', 'operator', 'relay'];
  private kernel: Kernel | null = null;
  private servers: readonly HttpServer[] = [];
  private isLeaving = false;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
  }

  override async start(): Promise<void> {
    if (this.kernel === null) throw new Error('The plug-in is not set up.');
    const settings = this.kernel.use(NODE_SETTINGS);
    const { callerAddress, readinessAddress } = settings;
    const servers: HttpServer[] = [];
    if (callerAddress !== null) {
      servers.push(await HttpServer.listen({ app: this.callerApp(this.kernel), ...callerAddress }));
    }
    if (readinessAddress !== null) {
      servers.push(await HttpServer.listen({ app: this.readinessApp(this.kernel), ...readinessAddress }));
    }
    this.servers = servers;
  }

  /** Serves on until the balancer has noticed, then waits for the calls under way. */
  override async stop(): Promise<void> {
    if (this.kernel === null || this.servers.length === 0) return;
    this.isLeaving = true;
    const { stopGraceMs } = this.kernel.use(NODE_SETTINGS);
    for (const server of this.servers) server.leave();
    await this.kernel.clock.delay(BALANCER_GRACE_MS);
    const closed = Promise.all(this.servers.map((server) => server.close()));
    await Promise.race([closed, this.kernel.clock.delay(stopGraceMs - BALANCER_GRACE_MS - EXIT_MARGIN_MS)]);
  }

  private callerApp(kernel: Kernel): ReturnType<typeof jobApi> {
    const orders = kernel.use(OPERATOR_STATE);
    return jobApi({
      clock: kernel.clock,
      codec: kernel.use(CALLER_CODEC),
      desk: kernel.use(JOB_OPERATIONS),
      rules: orders.rules,
      counters: kernel.use(COUNTERS),
      logger: kernel.use(LOGGER),
    });
  }

  /** Ready while rules are in force, the store answers and the process stays. */
  private readinessApp(kernel: Kernel): Hono {
    const orders = kernel.use(OPERATOR_STATE);
    const app = new Hono();
    app.get('*', (context) => {
      const isReady = !this.isLeaving && orders.rules() !== null && orders.isStoreReachable();
      return context.json({ ready: isReady }, isReady ? 200 : 503);
    });
    return app;
  }
}

pluginRegistry.add({ name: 'callers', create: () => new CallersPlugin() });
