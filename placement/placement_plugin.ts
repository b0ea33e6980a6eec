/** Stands for the placement role and acts as its holder while this process has it. */
import { randomUUID } from 'node:crypto';
import {
  INSTANCE_OPERATIONS,
  NODE_SETTINGS,
  OPERATOR_ORDERS,
  PLACEMENT_ADVICE,
  PLATFORM_ROWS,
  ROW_STORE,
  RULES_BOOK,
  WORKER_GATEWAY,
} from '../daemon/capabilities';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { isStoreFailure } from '../store/row_store';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { LeaseWatch, type AcquiredLease } from './lease_watch';
import { PlacementHolder } from './placement_holder';

/** Pause before the role is stood for again after it was lost, in milliseconds; a faulty holder must not come back at once. */
const REENTRY_MS = 1_000;

class PlacementPlugin extends Plugin {
  override readonly name = 'placement';
  // Stops before the callers' interface, which goes on for seconds: the role is given back at once.
  override readonly requires = ['wire', 'operator', 'callers'];
  private kernel: Kernel | null = null;
  private watch: LeaseWatch | null = null;
  private holder: PlacementHolder | null = null;
  private isStopped = false;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    kernel.use(RULES_BOOK).onChange(() => {
      this.holder?.onRulesChanged();
    });
  }

  override start(): Promise<void> {
    if (this.kernel === null) throw new Error('The plug-in is not set up.');
    void this.standForRole(this.kernel);
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.isStopped = true;
    this.watch?.stop();
    await this.holder?.release();
    this.holder = null;
  }

  private isOver(): boolean {
    return this.isStopped;
  }

  private async standForRole(kernel: Kernel): Promise<void> {
    const { nodeName, roleLeaseMs } = kernel.use(NODE_SETTINGS);
    const identity = { nodeName, processId: randomUUID() };
    while (!this.isOver()) {
      this.watch = new LeaseWatch({
        store: kernel.use(ROW_STORE),
        clock: kernel.clock,
        identity,
        leaseMs: roleLeaseMs,
      });
      const lease = await this.watch.acquire();
      if (lease === null) return;
      kernel.use(LOGGER).info(LOG_EVENTS.leaseAcquired, { epoch: lease.row.epoch });
      await this.hold(kernel, lease);
      await kernel.clock.delay(REENTRY_MS);
    }
  }

  /** Resolves once the role is lost. */
  private async hold(kernel: Kernel, lease: AcquiredLease): Promise<void> {
    const { roleLeaseMs, maxWorkerLeaseMs } = kernel.use(NODE_SETTINGS);
    const { rules, waves } = kernel.use(OPERATOR_ORDERS);
    await new Promise<void>((resolve) => {
      const holder = new PlacementHolder({
        store: kernel.use(ROW_STORE),
        clock: kernel.clock,
        rows: kernel.use(PLATFORM_ROWS),
        gateway: kernel.use(WORKER_GATEWAY),
        instances: kernel.use(INSTANCE_OPERATIONS),
        advice: kernel.use(PLACEMENT_ADVICE),
        rules,
        waves,
        lease,
        leaseMs: roleLeaseMs,
        maxWorkerLeaseMs,
        counters: kernel.use(COUNTERS),
        logger: kernel.use(LOGGER),
        onLost: resolve,
      });
      this.holder = holder;
      void this.begin(kernel, holder, resolve);
    });
    this.holder = null;
  }

  private async begin(kernel: Kernel, holder: PlacementHolder, giveUp: () => void): Promise<void> {
    try {
      await holder.start();
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      kernel
        .use(LOGGER)
        .warn(LOG_EVENTS.placementLost, { reason: 'the store failed while the jobs were read' });
      await holder.release();
      giveUp();
    }
  }
}

pluginRegistry.add({ name: 'placement', create: () => new PlacementPlugin() });
