/** Finds pools that need maintenance and maintains those that are assigned to this entry instance. */
import { createHash } from 'node:crypto';
import type { Clock, Timer } from '../kernel/clock';
import type { Membership } from '../membership/membership';
import type { FleetConfiguration, Wave } from '../model/fleet';
import type { InstanceList } from '../platform/instance_list';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS, type LogEvent } from '../telemetry/events_catalogue';
import type { LogFields } from '../telemetry/logger';
import { observeListing, type PlatformView } from './platform_view';
import type { PoolMaintainer } from './pool_maintainer';

/** Delay between ticks, in milliseconds; short compared with the duration of a reboot. */
const TICK_MS = 1_000;

export interface MaintenanceServiceOptions {
  readonly clock: Clock;
  readonly fleet: () => FleetConfiguration;
  readonly membership: Membership;
  readonly instanceList: InstanceList;
  readonly counters: Counters;
  readonly log: (event: LogEvent, fields: LogFields) => void;
  readonly newMaintainer: (poolId: string) => PoolMaintainer;
}

/**
 * Ticks the pools that need maintenance. Each pool is assigned to one member by
 * rendezvous hashing, so that the others do not try to acquire its role.
 * Only the member that holds the role acts, whatever the assignment.
 */
export class MaintenanceService {
  private view: PlatformView | null = null;
  private readonly maintainers = new Map<string, PoolMaintainer>();
  /** Complete waves, identified by their configuration objects: a changed wave is a new object. */
  private readonly completeWaves = new Set<Wave>();
  private timer: Timer | null = null;
  private currentTick: Promise<void> = Promise.resolve();
  private stopped = false;

  constructor(private readonly options: MaintenanceServiceOptions) {}

  /** The platform view from all listings so far, `null` before the first one. */
  platformView(): PlatformView | null {
    return this.view;
  }

  start(): void {
    if (this.stopped) return;
    this.timer = this.options.clock.schedule(TICK_MS, () => {
      this.currentTick = this.tick().then(() => {
        this.start();
      });
    });
  }

  /** Waits for the tick in progress and releases the roles. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.timer?.cancel();
    await this.currentTick;
    await Promise.all([...this.maintainers.keys()].map((poolId) => this.removeMaintainer(poolId)));
  }

  /** Ticks all assigned pools once. Never rejects. */
  async tick(): Promise<void> {
    const poolIds = this.poolsWithWork().filter((poolId) => this.isAssigned(poolId));
    if (poolIds.length === 0) return;
    await this.refreshView();
    await Promise.all(poolIds.map((poolId) => this.tickPool(poolId)));
  }

  private poolsWithWork(): readonly string[] {
    const { pools, waves, instances, instanceStates } = this.options.fleet();
    const poolIds = new Set(this.maintainers.keys());
    for (const wave of waves.values()) if (!this.completeWaves.has(wave)) poolIds.add(wave.poolId);
    for (const { instanceId, poolId, state } of instanceStates.values()) {
      const configuredPoolId = instances.get(instanceId)?.poolId ?? poolId;
      if (state !== 'serving' || configuredPoolId !== poolId) poolIds.add(poolId);
    }
    return [...poolIds].filter((poolId) => pools.has(poolId));
  }

  /**
   * Whether this member maintains the pool. A member that has started on a pool
   * continues until the pool is done; otherwise the member with the highest hash does.
   */
  private isAssigned(poolId: string): boolean {
    if (this.maintainers.has(poolId)) return true;
    const { membership } = this.options;
    const ranked = membership
      .registered()
      .map(({ memberId }) => ({ memberId, hash: rendezvousHash(poolId, memberId) }))
      .sort((a, b) => (a.hash < b.hash ? 1 : -1));
    const selfId = membership.self()?.memberId;
    return selfId !== undefined && ranked[0]?.memberId === selfId;
  }

  private async refreshView(): Promise<void> {
    const { clock, instanceList, counters, log } = this.options;
    const startedAtMs = clock.monotonicMs();
    try {
      this.view = observeListing(this.view, await instanceList.list(), startedAtMs);
    } catch (error) {
      counters.increment('maintenance.list_failed');
      log(LOG_EVENTS.platformListUnavailable, { reason: String(error) });
    }
  }

  private async tickPool(poolId: string): Promise<void> {
    const maintainer = this.maintainers.get(poolId) ?? this.options.newMaintainer(poolId);
    this.maintainers.set(poolId, maintainer);
    const { waves } = this.options.fleet();
    try {
      const result = await maintainer.tick();
      if (result === 'working') return;
      if (result === 'idle') this.recordComplete(poolId, waves);
      await this.removeMaintainer(poolId);
    } catch (error) {
      const reason = error instanceof Error ? error.name : 'unknown';
      this.options.counters.increment('maintenance.failed', reason);
      this.options.log(LOG_EVENTS.maintenanceFailed, { poolId, reason: String(error) });
    }
  }

  private recordComplete(poolId: string, waves: FleetConfiguration['waves']): void {
    const current = new Set(this.options.fleet().waves.values());
    for (const wave of this.completeWaves) if (!current.has(wave)) this.completeWaves.delete(wave);
    for (const wave of waves.values()) if (wave.poolId === poolId) this.completeWaves.add(wave);
  }

  private async removeMaintainer(poolId: string): Promise<void> {
    const maintainer = this.maintainers.get(poolId);
    this.maintainers.delete(poolId);
    try {
      await maintainer?.release();
    } catch (error) {
      // Another member acquires the role once this incarnation is no longer live.
      this.options.counters.increment('maintenance.release_failed');
      this.options.log(LOG_EVENTS.maintenanceFailed, { poolId, reason: String(error) });
    }
  }
}

function rendezvousHash(poolId: string, memberId: string): string {
  return createHash('sha256').update(`${poolId}/${memberId}`).digest('hex');
}
