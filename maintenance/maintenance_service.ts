/** Finds pools that need maintenance and carries it out in those for which this entry instance is chosen. */
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

/** Interval between two ticks, in milliseconds; a small part of the time a reboot takes. */
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
 * Ticks the pools that need maintenance. One member is chosen for each pool,
 * so that the others need not ask for its role; the role alone decides who
 * acts.
 */
export class MaintenanceService {
  private view: PlatformView | null = null;
  private readonly maintainers = new Map<string, PoolMaintainer>();
  /** Waves found complete, as the configuration objects that they were. */
  private readonly complete = new Set<Wave>();
  private timer: Timer | null = null;
  private running: Promise<void> = Promise.resolve();
  private stopped = false;

  constructor(private readonly options: MaintenanceServiceOptions) {}

  /** What the platform's list has shown so far, `null` before the first answer. */
  platformView(): PlatformView | null {
    return this.view;
  }

  start(): void {
    if (this.stopped) return;
    this.timer = this.options.clock.schedule(TICK_MS, () => {
      this.running = this.tick().then(() => {
        this.start();
      });
    });
  }

  /** Ends the tick in progress and gives the roles up. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.timer?.cancel();
    await this.running;
    await Promise.all([...this.maintainers.keys()].map((poolId) => this.drop(poolId)));
  }

  /** One round over all pools. Never rejects. */
  async tick(): Promise<void> {
    const poolIds = this.poolsInNeed().filter((poolId) => this.isChosen(poolId));
    if (poolIds.length === 0) return;
    await this.observe();
    await Promise.all(poolIds.map((poolId) => this.tickPool(poolId)));
  }

  private poolsInNeed(): readonly string[] {
    const { pools, waves, instances, instanceStates } = this.options.fleet();
    const inNeed = new Set(this.maintainers.keys());
    for (const wave of waves.values()) if (!this.complete.has(wave)) inNeed.add(wave.poolId);
    for (const { instanceId, poolId, state } of instanceStates.values()) {
      const wanted = instances.get(instanceId)?.poolId ?? poolId;
      if (state !== 'serving' || wanted !== poolId) inNeed.add(poolId);
    }
    return [...inNeed].filter((poolId) => pools.has(poolId));
  }

  /** A member that has begun goes on until the pool is done; otherwise the highest hash is chosen. */
  private isChosen(poolId: string): boolean {
    if (this.maintainers.has(poolId)) return true;
    const { membership } = this.options;
    const ranked = membership
      .registered()
      .map(({ memberId }) => ({ memberId, rank: rank(poolId, memberId) }))
      .sort((a, b) => (a.rank < b.rank ? 1 : -1));
    const selfId = membership.self()?.memberId;
    return selfId !== undefined && ranked[0]?.memberId === selfId;
  }

  private async observe(): Promise<void> {
    const { clock, instanceList, counters, log } = this.options;
    const startedMs = clock.monotonicMs();
    try {
      this.view = observeListing(this.view, await instanceList.list(), startedMs);
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
      if (result === 'idle') this.noteComplete(poolId, waves);
      await this.drop(poolId);
    } catch (error) {
      const reason = error instanceof Error ? error.name : 'unknown';
      this.options.counters.increment('maintenance.failed', reason);
      this.options.log(LOG_EVENTS.maintenanceFailed, { poolId, reason: String(error) });
    }
  }

  private noteComplete(poolId: string, waves: FleetConfiguration['waves']): void {
    const current = new Set(this.options.fleet().waves.values());
    for (const wave of this.complete) if (!current.has(wave)) this.complete.delete(wave);
    for (const wave of waves.values()) if (wave.poolId === poolId) this.complete.add(wave);
  }

  private async drop(poolId: string): Promise<void> {
    const maintainer = this.maintainers.get(poolId);
    this.maintainers.delete(poolId);
    try {
      await maintainer?.release();
    } catch (error) {
      // Others take the role over once this incarnation has ended.
      this.options.counters.increment('maintenance.release_failed');
      this.options.log(LOG_EVENTS.maintenanceFailed, { poolId, reason: String(error) });
    }
  }
}

function rank(poolId: string, memberId: string): string {
  return createHash('sha256').update(`${poolId}/${memberId}`).digest('hex');
}
