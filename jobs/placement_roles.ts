/** Acquires the placement roles of the pools and runs the placement of the pools whose role is held. */
import type { Clock, Timer } from '../kernel/clock';
import type { FleetConfiguration } from '../model/fleet';
import type { Membership } from '../membership/membership';
import type { HeldRole, RoleLeases } from '../roles/role_lease';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { placementRank } from './placement_rank';
import type { PoolPlacement } from './pool_placement';

/** Interval of the reviews of all roles, in milliseconds. */
const REVIEW_INTERVAL_MS = 250;

/** Interval of the preferred member's attempts to acquire a role, in milliseconds: part of the 3 s in which urgent work starts. */
const PREFERRED_ATTEMPT_INTERVAL_MS = 1_000;

/** Interval of the other members' attempts, in case the preferred member is live but cannot acquire the role, in milliseconds. */
const OTHER_ATTEMPT_INTERVAL_MS = 30_000;

/** How long a member that is not preferred holds the role of an idle pool, in milliseconds. */
const HANDOVER_DELAY_MS = 10_000;

export interface PlacementRolesOptions {
  readonly clock: Clock;
  readonly roles: RoleLeases;
  readonly membership: Membership;
  /** The configuration; `null` if there is no recent evidence that it is current. */
  readonly freshFleet: () => FleetConfiguration | null;
  readonly createPlacement: (term: PlacementTerm) => PoolPlacement;
  readonly counters: Counters;
  readonly logger: Logger;
}

/** One term as the placement leader of a pool. */
export interface PlacementTerm {
  readonly poolId: string;
  readonly role: HeldRole;
  readonly mayAct: () => boolean;
  readonly onRoleLost: () => void;
}

interface HeldPlacement {
  readonly placement: PoolPlacement;
  readonly incarnation: string;
  notPreferredSinceMs: number | null;
}

/**
 * Holds the roles for which this entry instance is preferred, and those that
 * their preferred members do not acquire.
 *
 * @example
 * ```ts
 * const placements = new PlacementRoles(options);
 * placements.start([]);
 * await placements.stop();
 * ```
 */
export class PlacementRoles {
  private readonly held = new Map<string, HeldPlacement>();
  private readonly acquiring = new Set<string>();
  private readonly lastAttemptMs = new Map<string, number>();
  /** Pools whose jobs are placed or rejected, including pools removed from the configuration. */
  private readonly poolIds = new Set<string>();
  private timer: Timer | null = null;
  private stopped = false;

  constructor(private readonly options: PlacementRolesOptions) {}

  /** Starts acquiring roles; `poolIds` names pools with open jobs, which may no longer be configured. */
  start(poolIds: Iterable<string>): void {
    for (const poolId of poolIds) this.poolIds.add(poolId);
    this.schedule();
  }

  /** Releases all roles. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.timer?.cancel();
    await Promise.all([...this.held.values()].map(({ placement }) => placement.stop()));
    this.held.clear();
  }

  jobsChanged(poolId: string): void {
    this.held.get(poolId)?.placement.jobsChanged();
  }

  /** Number of tasks on an instance in the pools that this entry instance leads. */
  tasksOn(instanceId: string): number {
    return [...this.held.values()].reduce((sum, { placement }) => sum + placement.tasksOn(instanceId), 0);
  }

  /** Pools that this entry instance leads. */
  heldPools(): readonly string[] {
    return [...this.held.keys()];
  }

  private schedule(): void {
    if (this.stopped) return;
    this.timer = this.options.clock.schedule(REVIEW_INTERVAL_MS, () => {
      this.review();
      this.schedule();
    });
  }

  private review(): void {
    const self = this.options.membership.self();
    for (const [poolId, held] of this.held) {
      if (held.incarnation === self?.incarnation) continue;
      this.held.delete(poolId);
      held.placement.handleRoleLost();
    }
    const fleet = this.options.freshFleet();
    if (fleet === null || self?.status !== 'active') return;
    for (const poolId of fleet.pools.keys()) this.poolIds.add(poolId);
    const nowMs = this.options.clock.monotonicMs();
    for (const poolId of this.poolIds) {
      const held = this.held.get(poolId);
      if (held) this.reviewHeld(poolId, held, nowMs);
      else this.tryAcquire(poolId, self.incarnation, nowMs);
    }
  }

  private isPreferred(poolId: string): boolean {
    const self = this.options.membership.self();
    const active = this.options.membership.registered().filter(({ status }) => status === 'active');
    const memberIds = active.map(({ memberId }) => memberId);
    return self !== null && placementRank(poolId, self.memberId, memberIds) === 0;
  }

  /** Hands the role of an idle pool over to the preferred member; a handover of a busy one would interrupt its tasks. */
  private reviewHeld(poolId: string, held: HeldPlacement, nowMs: number): void {
    if (this.isPreferred(poolId) || !held.placement.isIdle()) {
      held.notPreferredSinceMs = null;
      return;
    }
    held.notPreferredSinceMs ??= nowMs;
    if (nowMs - held.notPreferredSinceMs < HANDOVER_DELAY_MS) return;
    this.held.delete(poolId);
    this.lastAttemptMs.set(poolId, nowMs);
    this.options.counters.increment('jobs.role_handed_over');
    void held.placement.stop();
  }

  private tryAcquire(poolId: string, incarnation: string, nowMs: number): void {
    if (this.acquiring.has(poolId)) return;
    const isPreferred = this.isPreferred(poolId);
    const lastMs = this.lastAttemptMs.get(poolId);
    // Other members also wait before their first attempt, so that the preferred member can acquire the role first.
    if (lastMs === undefined && !isPreferred) this.lastAttemptMs.set(poolId, nowMs);
    const sinceMs = nowMs - (lastMs ?? (isPreferred ? Number.NEGATIVE_INFINITY : nowMs));
    if (sinceMs < (isPreferred ? PREFERRED_ATTEMPT_INTERVAL_MS : OTHER_ATTEMPT_INTERVAL_MS)) return;
    this.lastAttemptMs.set(poolId, nowMs);
    this.acquiring.add(poolId);
    void this.options.roles
      .acquire(`placement/${poolId}`)
      .then(
        (role) => {
          if (role) this.startPlacement(poolId, role, incarnation);
        },
        (error: unknown) => {
          const reason = error instanceof Error ? error.name : 'unknown';
          this.options.counters.increment('jobs.role_not_acquired', reason);
          this.options.logger.warn(LOG_EVENTS.placementFailed, { poolId, step: 'acquire', reason });
        },
      )
      .finally(() => {
        this.acquiring.delete(poolId);
      });
  }

  private startPlacement(poolId: string, role: HeldRole, incarnation: string): void {
    const { membership, freshFleet, createPlacement, roles } = this.options;
    if (this.stopped) {
      void roles.release(role).catch(() => undefined);
      return;
    }
    const mayAct = (): boolean => membership.self()?.incarnation === incarnation && freshFleet() !== null;
    const onRoleLost = (): void => {
      if (this.held.get(poolId)?.placement === placement) this.held.delete(poolId);
    };
    const placement = createPlacement({ poolId, role, mayAct, onRoleLost });
    this.held.set(poolId, { placement, incarnation, notPreferredSinceMs: null });
    placement.start();
  }
}
