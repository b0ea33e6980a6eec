/**
 * Acquires the placement roles of the pools and places the jobs of the pools whose
 * role is held. The member that holds the role of a pool is the pool's placement
 * leader.
 */
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

/**
 * Interval of the preferred member's attempts to acquire a role, in milliseconds.
 * It counts towards the 3 s within which urgent work must start.
 */
const PREFERRED_ATTEMPT_INTERVAL_MS = 1_000;

/**
 * Interval of the other members' attempts to acquire a role, in milliseconds. They
 * are needed if the preferred member is live but cannot acquire the role.
 */
const OTHER_ATTEMPT_INTERVAL_MS = 30_000;

/** Time after which a member that is not preferred releases the role of an idle pool, in milliseconds. */
const HANDOVER_DELAY_MS = 10_000;

export interface PlacementRolesOptions {
  readonly clock: Clock;
  readonly roles: RoleLeases;
  readonly membership: Membership;
  /** Returns the configuration, or `null` if it has not recently been confirmed to be the newest. */
  readonly freshFleet: () => FleetConfiguration | null;
  readonly createPlacement: (term: PlacementTerm) => PoolPlacement;
  readonly counters: Counters;
  readonly logger: Logger;
}

/** One term as the placement leader of a pool. */
export interface PlacementTerm {
  readonly poolId: string;
  readonly role: HeldRole;
  /** Whether this entry instance may act as the placement leader now. */
  readonly mayAct: () => boolean;
  readonly onRoleLost: () => void;
}

interface HeldPlacement {
  readonly placement: PoolPlacement;
  readonly incarnation: string;
  /** Time since which the pool has been idle and another member preferred, in monotonic milliseconds. */
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
  private readonly lastAttemptAtMs = new Map<string, number>();
  /**
   * Ids of the pools whose roles are acquired, including pools that were removed
   * from the configuration and whose jobs have to be rejected.
   */
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

  handleJobsChanged(poolId: string): void {
    this.held.get(poolId)?.placement.handleJobsChanged();
  }

  /**
   * Returns the number of tasks on an instance in the pools whose placement role
   * this entry instance holds.
   */
  tasksOn(instanceId: string): number {
    return [...this.held.values()].reduce((sum, { placement }) => sum + placement.tasksOn(instanceId), 0);
  }

  /** Returns the ids of the pools whose placement role this entry instance holds. */
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

  /**
   * Releases the role of an idle pool, so that the preferred member can acquire it.
   * The role of a busy pool is not released, because that would interrupt its tasks.
   */
  private reviewHeld(poolId: string, held: HeldPlacement, nowMs: number): void {
    if (this.isPreferred(poolId) || !held.placement.isIdle()) {
      held.notPreferredSinceMs = null;
      return;
    }
    held.notPreferredSinceMs ??= nowMs;
    if (nowMs - held.notPreferredSinceMs < HANDOVER_DELAY_MS) return;
    this.held.delete(poolId);
    this.lastAttemptAtMs.set(poolId, nowMs);
    this.options.counters.increment('jobs.role_handed_over');
    void held.placement.stop();
  }

  private tryAcquire(poolId: string, incarnation: string, nowMs: number): void {
    if (this.acquiring.has(poolId)) return;
    const isPreferred = this.isPreferred(poolId);
    const previousAttemptAtMs = this.lastAttemptAtMs.get(poolId);
    // Other members also wait before their first attempt, so that the preferred member can acquire the role first.
    if (previousAttemptAtMs === undefined && !isPreferred) this.lastAttemptAtMs.set(poolId, nowMs);
    const elapsedMs = nowMs - (previousAttemptAtMs ?? (isPreferred ? Number.NEGATIVE_INFINITY : nowMs));
    if (elapsedMs < (isPreferred ? PREFERRED_ATTEMPT_INTERVAL_MS : OTHER_ATTEMPT_INTERVAL_MS)) return;
    this.lastAttemptAtMs.set(poolId, nowMs);
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
