/** Connects the scheduler processes: their registry, the calls between them and the internal HTTP server. */
import { StoreJobOperations } from '../callers/store_job_operations';
import {
  CLIENT_GUARD,
  JOB_OPERATIONS,
  NODE_SETTINGS,
  OPERATOR_STATE,
  RELAY_CLIENT,
  LEADER_HANDOVER,
  ROW_STORE,
} from '../daemon/capabilities';
import { HttpServer } from '../entry/http_server';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { logFollowerFailures } from '../telemetry/follower_failures';
import { metricsText } from '../telemetry/metrics_text';
import { ProcessRegistry } from './process_registry';
import { RelayClient } from './relay_client';
import { relayApp } from './relay_server';
import { ForwardingJobOperations } from './forwarding_job_operations';

/** Path at which counters are read; must match `metrics` in deploy/system.toml. */
const METRICS_PATH = '/metrics';

class RelayPlugin extends Plugin {
  override readonly name = 'relay';
  override readonly requires = ['wire', 'operator', 'client_limits'];
  private kernel: Kernel | null = null;
  private registry: ProcessRegistry | null = null;
  private client: RelayClient | null = null;
  private onTakeoverRequest: (epoch: number) => void = () => undefined;
  /** Until the placement part is set up, no later leader can be ruled out. */
  private knowsLaterLeader: (epoch: number) => boolean = () => true;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    const { nodeName, internalAddress, processors } = kernel.use(NODE_SETTINGS);
    const store = kernel.use(ROW_STORE);
    const { clock } = kernel;
    const registry = new ProcessRegistry({
      store,
      clock,
      nodeName,
      address: `${internalAddress.host}:${internalAddress.port}`,
      processors,
      onFailure: logFollowerFailures({ logger: kernel.use(LOGGER), counters: kernel.use(COUNTERS) }),
    });
    const client = new RelayClient(() => registry.peerAddresses());
    this.registry = registry;
    this.client = client;
    kernel.provide(RELAY_CLIENT, client);
    kernel.provide(LEADER_HANDOVER, {
      onTakeoverRequest: (listener) => {
        this.onTakeoverRequest = listener;
      },
      setLaterLeaderCheck: (knowsLaterLeader) => {
        this.knowsLaterLeader = knowsLaterLeader;
      },
      largerPeerAddresses: () => registry.largerPeerAddresses(),
      processCount: () => registry.peerAddresses().length + 1,
    });
    kernel.provide(
      JOB_OPERATIONS,
      new ForwardingJobOperations({
        clock,
        client,
        local: new StoreJobOperations({ store, clock }),
        isStoreReachable: kernel.use(OPERATOR_STATE).isStoreReachable,
        counters: kernel.use(COUNTERS),
      }),
    );
  }

  override async start(): Promise<void> {
    if (this.kernel === null) throw new Error('The plug-in is not set up.');
    const { clock } = this.kernel;
    const counters = this.kernel.use(COUNTERS);
    const guard = this.kernel.use(CLIENT_GUARD);
    const app = relayApp({
      clock,
      clients: guard,
      jobs: new StoreJobOperations({ store: this.kernel.use(ROW_STORE), clock }),
      isStoreReachable: this.kernel.use(OPERATOR_STATE).isStoreReachable,
      knowsLaterLeader: (epoch) => this.knowsLaterLeader(epoch),
      onTakeoverRequest: (epoch) => {
        this.onTakeoverRequest(epoch);
      },
    });
    app.get(METRICS_PATH, (context) => context.text(metricsText(counters)));
    const clients = { guard, kind: 'internal' } as const;
    await HttpServer.listen({ app, clients, ...this.kernel.use(NODE_SETTINGS).internalAddress });
    this.registry?.start();
  }

  override stop(): Promise<void> {
    this.registry?.stop();
    this.client?.close();
    return Promise.resolve();
  }
}

pluginRegistry.add({ name: 'relay', create: () => new RelayPlugin() });
