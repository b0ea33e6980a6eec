/**
 * Takes part in the election of the placement leader and acts as the leader while this
 * process holds the lease.
 */
import { randomUUID } from 'node:crypto';
import {
  INSTANCE_OPERATIONS,
  LEADER_EPOCHS,
  NODE_SETTINGS,
  SCHEDULER_SETTINGS,
  OPERATOR_STATE,
  PLACEMENT_ADVICE,
  PLATFORM_ROW_CODEC,
  RELAY_CLIENT,
  LEADER_HANDOVER,
  ROW_STORE,
  CURRENT_CLOSED_ZONES,
  CURRENT_RULES,
  WORKER_GATEWAY,
} from '../daemon/capabilities';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { isStoreFailure } from '../store/row_store';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { LeaderElection, type AcquiredLease } from './leader_election';
import { LeaderSuccession } from './leader_succession';
import { PlacementLeader } from './placement_leader';

/**
 * Pause before the next election after leadership was lost, in milliseconds, so that a
 * faulty leader does not return at once.
 */
const REACQUIRE_DELAY_MS = 1_000;

/**
 * How long a leader may act after a renewal, in milliseconds. Shorter than the
 * platform allows, because no task starts until the lease of a crashed leader has
 * expired. Long enough for a store that takes 60 times as long as usual.
 */
const LEADER_LEASE_MS = 2_000;

class PlacementPlugin extends Plugin {
  override readonly name = 'placement';
  // Plug-ins stop in reverse order. The plug-in `callers` takes seconds to stop, and
  // the lease is released before that.
  override readonly requires = ['wire', 'operator', 'relay', 'admission_control', 'callers'];
  private kernel: Kernel | null = null;
  private election: LeaderElection | null = null;
  private leader: PlacementLeader | null = null;
  /** Highest epoch of a leader, this process included, that this process knows of. */
  private latestEpoch = 0;
  private isStopped = false;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    kernel.use(CURRENT_RULES).onChange(() => {
      this.leader?.onRulesChanged();
    });
    kernel.use(CURRENT_CLOSED_ZONES).onChange(() => {
      this.leader?.onRulesChanged();
    });
    kernel.use(LEADER_HANDOVER).onTakeoverRequest((epoch) => {
      this.election?.onLeaderResigned(epoch);
    });
    kernel.use(LEADER_HANDOVER).setLaterLeaderCheck((epoch) => this.latestEpoch > epoch);
  }

  override start(): Promise<void> {
    if (this.kernel === null) throw new Error('The placement plug-in was started before it was set up.');
    void this.runElections(this.kernel);
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.isStopped = true;
    this.election?.stop();
    await this.leader?.release();
    this.leader = null;
  }

  private observeEpoch(kernel: Kernel, epoch: number): void {
    this.latestEpoch = Math.max(this.latestEpoch, epoch);
    kernel.use(LEADER_EPOCHS).observe(epoch);
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
        hasLargerPeer: () => kernel.use(LEADER_HANDOVER).largerPeerAddresses().length > 0,
        onEpoch: (epoch) => {
          this.observeEpoch(kernel, epoch);
        },
        onUnusableLease: ({ message }) => {
          kernel.use(COUNTERS).increment('placement.lease_unusable');
          kernel.use(LOGGER).error(LOG_EVENTS.leaseUnusable, { reason: message });
        },
      });
      const lease = await this.election.acquire();
      if (lease === null) return;
      this.observeEpoch(kernel, lease.row.epoch);
      kernel.use(LOGGER).info(LOG_EVENTS.leaseAcquired, { epoch: lease.row.epoch });
      await this.lead(kernel, lease);
      await kernel.clock.delay(REACQUIRE_DELAY_MS);
    }
  }

  /** Acts as the leader; resolves once leadership is lost. */
  private async lead(kernel: Kernel, lease: AcquiredLease): Promise<void> {
    const { instanceTurnMs, maxWorkerLeaseMs, endedJobRetentionMs, instanceCommandsPerSecond, processors } =
      kernel.use(NODE_SETTINGS);
    const { rules, waves, closedZones } = kernel.use(OPERATOR_STATE);
    const isAdmissionOn = kernel.use(SCHEDULER_SETTINGS).admissionControl === 'on';
    await new Promise<void>((resolve) => {
      const leader = new PlacementLeader({
        store: kernel.use(ROW_STORE),
        clock: kernel.clock,
        rowCodec: kernel.use(PLATFORM_ROW_CODEC),
        gateway: kernel.use(WORKER_GATEWAY),
        instances: kernel.use(INSTANCE_OPERATIONS),
        advice: kernel.use(PLACEMENT_ADVICE),
        rules,
        waves,
        closedZones,
        avoidsInterference: kernel.use(SCHEDULER_SETTINGS).interferenceAvoidance === 'on',
        lease,
        leaseMs: LEADER_LEASE_MS,
        maxWorkerLeaseMs,
        retentionMs: endedJobRetentionMs,
        instanceCommandDelayMs: lease.row.epoch > 1 ? instanceTurnMs - LEADER_LEASE_MS : 0,
        instanceCommandsPerSecond,
        processors,
        processCount: isAdmissionOn ? kernel.use(LEADER_HANDOVER).processCount : null,
        counters: kernel.use(COUNTERS),
        logger: kernel.use(LOGGER),
        ruleOutSuccessor: (sinceRenewalMs): Promise<boolean> => succession.ruleOutSuccessor(sinceRenewalMs),
        onStoreUnreachable: () => {
          void succession.resignIfPeerReachesStore();
        },
        onLost: resolve,
      });
      const succession = new LeaderSuccession({
        clock: kernel.clock,
        client: kernel.use(RELAY_CLIENT),
        largerPeerAddresses: kernel.use(LEADER_HANDOVER).largerPeerAddresses,
        leader,
        epoch: lease.row.epoch,
        logger: kernel.use(LOGGER),
      });
      this.leader = leader;
      void this.startLeader(kernel, leader, resolve);
      void succession.watchForLargerPeer(resolve);
    });
    this.leader = null;
  }

  private async startLeader(kernel: Kernel, leader: PlacementLeader, onFailed: () => void): Promise<void> {
    try {
      await leader.start();
    } catch (error) {
      const logger = kernel.use(LOGGER);
      if (isStoreFailure(error)) {
        const reason = 'the store was unavailable while the jobs were loaded';
        logger.warn(LOG_EVENTS.leadershipLost, { reason });
      } else {
        const reason = error instanceof Error ? error.stack : String(error);
        kernel.use(COUNTERS).increment('placement.step_failed');
        logger.error(LOG_EVENTS.leaderStepFailed, { reason });
      }
      await leader.release();
      onFailed();
    }
  }
}

pluginRegistry.add({ name: 'placement', create: () => new PlacementPlugin() });
