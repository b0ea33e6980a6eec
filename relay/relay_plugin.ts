/** Connects the processes of the system with each other. */
import { StoreJobOperations } from '../callers/store_job_operations';
import {
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
import { COUNTERS } from '../settings/base_capabilities';
import { metricsText } from '../telemetry/metrics_text';
import { ProcessDirectory } from './process_directory';
import { RelayClient } from './relay_client';
import { relayApp } from './relay_server';
import { RelayedDesk } from './relayed_desk';

/** Where counters are read; `metrics` in deploy/system.toml names the same path. */
const METRICS_PATH = '/metrics';

class RelayPlugin extends Plugin {
  override readonly name = 'relay';
  override readonly requires = ['wire', 'operator'];
  private kernel: Kernel | null = null;
  private directory: ProcessDirectory | null = null;
  private client: RelayClient | null = null;
  private takeOver: (epoch: number) => void = () => undefined;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    const { nodeName, internalAddress, processors } = kernel.use(NODE_SETTINGS);
    const store = kernel.use(ROW_STORE);
    const { clock } = kernel;
    const directory = new ProcessDirectory({
      store,
      clock,
      nodeName,
      address: `${internalAddress.host}:${internalAddress.port}`,
      processors,
    });
    const client = new RelayClient(() => directory.others());
    this.directory = directory;
    this.client = client;
    kernel.provide(RELAY_CLIENT, client);
    kernel.provide(LEADER_HANDOVER, {
      onTakeoverRequest: (listener) => {
        this.takeOver = listener;
      },
      hasLargerPeer: () => directory.hasLargerPeer(),
    });
    kernel.provide(
      JOB_OPERATIONS,
      new RelayedDesk({
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
    const app = relayApp({
      clock,
      desk: new StoreJobOperations({ store: this.kernel.use(ROW_STORE), clock }),
      isStoreReachable: this.kernel.use(OPERATOR_STATE).isStoreReachable,
      onTakeoverRequest: (epoch) => {
        this.takeOver(epoch);
      },
    });
    app.get(METRICS_PATH, (context) => context.text(metricsText(counters)));
    await HttpServer.listen({ app, ...this.kernel.use(NODE_SETTINGS).internalAddress });
    this.directory?.start();
  }

  override stop(): Promise<void> {
    this.directory?.stop();
    this.client?.close();
    return Promise.resolve();
  }
}

pluginRegistry.add({ name: 'relay', create: () => new RelayPlugin() });
