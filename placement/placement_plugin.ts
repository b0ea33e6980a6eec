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
import { LeaderElection, type AcquiredLease } from './leader_election';
import { PlacementLeader } from './placement_leader';

/** Pause before the role is stood for again after it was lost, in milliseconds; a faulty holder must not come back at once. */
const REACQUIRE_DELAY_MS = 1_000;

/**
 * A holder may act this long after a renewal, in milliseconds. Shorter than the
 * platform's own bound, because nothing starts while a dead holder's lease runs
 * out; long enough for a store that takes 60 times as long as usual.
 */
const LEADER_LEASE_MS = 2_000;

/** Time limit of a call about handing the role over, in milliseconds; the lease runs out by itself within 3 s. */
const HANDOVER_TIMEOUT_MS = 300;

class PlacementPlugin extends Plugin {
  override readonly name = 'placement';
  // Stops before the callers' interface, which goes on for seconds: the role is given back at once.
  override readonly requires = ['wire', 'operator', 'relay', 'callers'];
  private kernel: Kernel | null = null;
  private election: LeaderElection | null = null;
  private leader: PlacementLeader | null = null;
  private isStopped = false;
  private isHandingOver = false;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    kernel.use(CURRENT_RULES).onChange(() => {
      this.leader?.onRulesChanged();
    });
    kernel.use(LEADER_HANDOVER).onTakeoverRequest((epoch) => {
      this.election?.onLeaderResigned(epoch);
    });
  }

  override start(): Promise<void> {
    if (this.kernel === null) throw new Error('The plug-in is not set up.');
    void this.runElections(this.kernel);
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.isStopped = true;
    this.election?.stop();
    await this.leader?.release();
    this.leader = null;
  }

  private hasStopped(): boolean {
    return this.isStopped;
  }

  private async runElections(kernel: Kernel): Promise<void> {
    const { nodeName } = kernel.use(NODE_SETTINGS);
    const identity = { nodeName, processId: randomUUID() };
    while (!this.hasStopped()) {
      this.election = new LeaderElection({
        store: kernel.use(ROW_STORE),
        clock: kernel.clock,
        identity,
        leaseMs: LEADER_LEASE_MS,
        hasLargerPeer: kernel.use(LEADER_HANDOVER).hasLargerPeer,
      });
      const lease = await this.election.acquire();
      if (lease === null) return;
      kernel.use(LOGGER).info(LOG_EVENTS.leaseAcquired, { epoch: lease.row.epoch });
      await this.lead(kernel, lease);
      await kernel.clock.delay(REACQUIRE_DELAY_MS);
    }
  }

  /** Resolves once the role is lost. */
  private async lead(kernel: Kernel, lease: AcquiredLease): Promise<void> {
    const { instanceTurnMs, maxWorkerLeaseMs, endedJobRetentionMs } = kernel.use(NODE_SETTINGS);
    const { rules, waves } = kernel.use(OPERATOR_STATE);
    await new Promise<void>((resolve) => {
      const holder = new PlacementLeader({
        store: kernel.use(ROW_STORE),
        clock: kernel.clock,
        rowCodec: kernel.use(PLATFORM_ROW_CODEC),
        gateway: kernel.use(WORKER_GATEWAY),
        instances: kernel.use(INSTANCE_OPERATIONS),
        advice: kernel.use(PLACEMENT_ADVICE),
        rules,
        waves,
        lease,
        leaseMs: LEADER_LEASE_MS,
        maxWorkerLeaseMs,
        retentionMs: endedJobRetentionMs,
        instanceCommandDelayMs: lease.row.epoch > 1 ? instanceTurnMs - LEADER_LEASE_MS : 0,
        counters: kernel.use(COUNTERS),
        logger: kernel.use(LOGGER),
        onStoreUnreachable: () => {
          void this.handOverLeadership(kernel, holder, lease.row.epoch);
        },
        onLost: resolve,
      });
      this.leader = holder;
      void this.startLeader(kernel, holder, resolve);
    });
    this.leader = null;
  }

  /** Asks a process that reaches the store to follow, after this one has stopped. */
  private async handOverLeadership(kernel: Kernel, holder: PlacementLeader, epoch: number): Promise<void> {
    if (this.isHandingOver) return;
    this.isHandingOver = true;
    const client = kernel.use(RELAY_CLIENT);
    const successor = await client.findAcceptingPeer(MAY_TAKE_OVER, {}, HANDOVER_TIMEOUT_MS);
    if (successor !== null && this.leader === holder) {
      holder.resign();
      await client.callPeer(successor, TAKE_OVER, { epoch }, HANDOVER_TIMEOUT_MS).catch((error: unknown) => {
        // The others take the role over once the lease has run out.
        if (!(error instanceof RelayOutcomeUnknownError)) throw error;
      });
    }
    this.isHandingOver = false;
  }

  private async startLeader(kernel: Kernel, holder: PlacementLeader, giveUp: () => void): Promise<void> {
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
