/** Stands for the placement role and acts as its holder while this process has it. */
import { randomUUID } from 'node:crypto';
import {
  INSTANCE_OPERATIONS,
  NODE_SETTINGS,
  OPERATOR_STATE,
  PLACEMENT_ADVICE,
  PLATFORM_ROW_CODEC,
  RELAY_CLIENT,
  LEADER_HANDOVER,
  ROW_STORE,
  CURRENT_RULES,
  WORKER_GATEWAY,
} from '../daemon/capabilities';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { isStoreFailure } from '../store/row_store';
import { MAY_TAKE_OVER, TAKE_OVER } from '../relay/relay_calls';
import { RelayOutcomeUnknownError } from '../relay/relay_client';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { LeaseWatch, type AcquiredLease } from './lease_watch';
import { PlacementHolder } from './placement_holder';

/** Pause before the role is stood for again after it was lost, in milliseconds; a faulty holder must not come back at once. */
const REENTRY_MS = 1_000;

/**
 * A holder may act this long after a renewal, in milliseconds. Shorter than the
 * platform's own bound, because nothing starts while a dead holder's lease runs
 * out; long enough for a store that takes 60 times as long as usual.
 */
const ROLE_LEASE_MS = 2_000;

/** Time limit of a call about handing the role over, in milliseconds; the lease runs out by itself within 3 s. */
const HAND_OVER_TIMEOUT_MS = 300;

class PlacementPlugin extends Plugin {
  override readonly name = 'placement';
  // Stops before the callers' interface, which goes on for seconds: the role is given back at once.
  override readonly requires = ['wire', 'operator', 'relay', 'callers'];
  private kernel: Kernel | null = null;
  private watch: LeaseWatch | null = null;
  private holder: PlacementHolder | null = null;
  private isStopped = false;
  private isHandingOver = false;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    kernel.use(CURRENT_RULES).onChange(() => {
      this.holder?.onRulesChanged();
    });
    kernel.use(LEADER_HANDOVER).onTakeoverRequest((epoch) => {
      this.watch?.noteResigned(epoch);
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
    const { nodeName } = kernel.use(NODE_SETTINGS);
    const identity = { nodeName, processId: randomUUID() };
    while (!this.isOver()) {
      this.watch = new LeaseWatch({
        store: kernel.use(ROW_STORE),
        clock: kernel.clock,
        identity,
        leaseMs: ROLE_LEASE_MS,
        hasLargerPeer: kernel.use(LEADER_HANDOVER).hasLargerPeer,
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
    const { instanceTurnMs, maxWorkerLeaseMs, endedJobRetentionMs } = kernel.use(NODE_SETTINGS);
    const { rules, waves } = kernel.use(OPERATOR_STATE);
    await new Promise<void>((resolve) => {
      const holder = new PlacementHolder({
        store: kernel.use(ROW_STORE),
        clock: kernel.clock,
        rows: kernel.use(PLATFORM_ROW_CODEC),
        gateway: kernel.use(WORKER_GATEWAY),
        instances: kernel.use(INSTANCE_OPERATIONS),
        advice: kernel.use(PLACEMENT_ADVICE),
        rules,
        waves,
        lease,
        leaseMs: ROLE_LEASE_MS,
        maxWorkerLeaseMs,
        retentionMs: endedJobRetentionMs,
        instanceOrdersAfterMs: lease.row.epoch > 1 ? instanceTurnMs - ROLE_LEASE_MS : 0,
        counters: kernel.use(COUNTERS),
        logger: kernel.use(LOGGER),
        onCutOff: () => {
          void this.handOver(kernel, holder, lease.row.epoch);
        },
        onLost: resolve,
      });
      this.holder = holder;
      void this.begin(kernel, holder, resolve);
    });
    this.holder = null;
  }

  /** Asks a process that reaches the store to follow, after this one has stopped. */
  private async handOver(kernel: Kernel, holder: PlacementHolder, epoch: number): Promise<void> {
    if (this.isHandingOver) return;
    this.isHandingOver = true;
    const client = kernel.use(RELAY_CLIENT);
    const successor = await client.findAcceptingPeer(MAY_TAKE_OVER, {}, HAND_OVER_TIMEOUT_MS);
    if (successor !== null && this.holder === holder) {
      holder.resign();
      await client.callPeer(successor, TAKE_OVER, { epoch }, HAND_OVER_TIMEOUT_MS).catch((error: unknown) => {
        // The others take the role over once the lease has run out.
        if (!(error instanceof RelayOutcomeUnknownError)) throw error;
      });
    }
    this.isHandingOver = false;
  }

  private async begin(kernel: Kernel, holder: PlacementHolder, giveUp: () => void): Promise<void> {
    try {
      await holder.start();
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      kernel
        .use(LOGGER)
        .warn(LOG_EVENTS.leadershipLost, { reason: 'the store failed while the jobs were read' });
      await holder.release();
      giveUp();
    }
  }
}

pluginRegistry.add({ name: 'placement', create: () => new PlacementPlugin() });
