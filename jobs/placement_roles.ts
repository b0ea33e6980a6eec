/** Acquires the placement roles of the pools and runs their placement. */
import type { Clock, Timer } from '../kernel/clock';
import type { FleetConfiguration } from '../model/fleet';
import type { Membership } from '../membership/membership';
import type { HeldRole, RoleLeases } from '../roles/role_lease';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { placementRank } from './placement_rank';
import type { PoolPlacement } from './pool_placement';

/** Interval of looking at the roles, in milliseconds. */
const REVIEW_MS = 250;

/** Interval of attempts of the preferred member, in milliseconds: part of the 3 s in which urgent work starts. */
const PREFERRED_TRY_MS = 1_000;

/** Interval of attempts of the others, in case the preferred member is alive but fails, in milliseconds. */
const OTHER_TRY_MS = 30_000;

/** How long an idle role stays with a member that is not preferred, in milliseconds. */
const HANDOVER_MS = 10_000;

export interface PlacementRolesOptions {
  readonly clock: Clock;
  readonly roles: RoleLeases;
  readonly membership: Membership;
  /** The configuration with evidence that it is current, `null` without. */
  readonly freshFleet: () => FleetConfiguration | null;
  readonly createPlacement: (term: PlacementTerm) => PoolPlacement;
  readonly counters: Counters;
  readonly logger: Logger;
}

/** One period of holding a role. */
export interface PlacementTerm {
  readonly poolId: string;
  readonly role: HeldRole;
  readonly mayAct: () => boolean;
  readonly onLost: () => void;
}

interface HeldPlacement {
  readonly placement: PoolPlacement;
  readonly incarnation: string;
  otherPreferredSinceMs: number | null;
}

/**
 * Holds the roles for which this entry instance is preferred, and stands in for others.
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
  private readonly lastTryMs = new Map<string, number>();
  /** Pools whose jobs are placed or refused, also after the pool was removed. */
  private readonly poolIds = new Set<string>();
  private timer: Timer | null = null;
  private stopped = false;

  constructor(private readonly options: PlacementRolesOptions) {}

  /** Begins to acquire roles; `poolIds` names pools with open jobs that may no longer be configured. */
  start(poolIds: Iterable<string>): void {
    for (const poolId of poolIds) this.poolIds.add(poolId);
    this.schedule();
  }

  /** Hands all roles back. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.timer?.cancel();
    await Promise.all([...this.held.values()].map(({ placement }) => placement.stop()));
    this.held.clear();
  }

  jobsChanged(poolId: string): void {
    this.held.get(poolId)?.placement.jobsChanged();
  }

  /** Tasks that this entry instance has running on an instance. */
  tasksOn(instanceId: string): number {
    return [...this.held.values()].reduce((sum, { placement }) => sum + placement.tasksOn(instanceId), 0);
  }

  /** Pools whose role is held here. */
  heldPools(): readonly string[] {
    return [...this.held.keys()];
  }

  private schedule(): void {
    if (this.stopped) return;
    this.timer = this.options.clock.schedule(REVIEW_MS, () => {
      this.review();
      this.schedule();
    });
  }

  private review(): void {
    const self = this.options.membership.self();
    for (const [poolId, held] of this.held) {
      if (held.incarnation === self?.incarnation) continue;
      this.held.delete(poolId);
      held.placement.abandon();
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

  /** An idle role moves to the preferred member; a busy one stays, since a move interrupts its tasks. */
  private reviewHeld(poolId: string, held: HeldPlacement, nowMs: number): void {
    if (this.isPreferred(poolId) || !held.placement.isIdle()) {
      held.otherPreferredSinceMs = null;
      return;
    }
    held.otherPreferredSinceMs ??= nowMs;
    if (nowMs - held.otherPreferredSinceMs < HANDOVER_MS) return;
    this.held.delete(poolId);
    this.lastTryMs.set(poolId, nowMs);
    this.options.counters.increment('jobs.role_handed_over');
    void held.placement.stop();
  }

  private tryAcquire(poolId: string, incarnation: string, nowMs: number): void {
    if (this.acquiring.has(poolId)) return;
    const isPreferred = this.isPreferred(poolId);
    const lastMs = this.lastTryMs.get(poolId);
    // The first attempt of the others waits as well, so that the preferred member comes first.
    if (lastMs === undefined && !isPreferred) this.lastTryMs.set(poolId, nowMs);
    const sinceMs = nowMs - (lastMs ?? (isPreferred ? Number.NEGATIVE_INFINITY : nowMs));
    if (sinceMs < (isPreferred ? PREFERRED_TRY_MS : OTHER_TRY_MS)) return;
    this.lastTryMs.set(poolId, nowMs);
    this.acquiring.add(poolId);
    void this.options.roles
      .acquire(`placement/${poolId}`)
      .then(
        (role) => {
          if (role) this.begin(poolId, role, incarnation);
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

  private begin(poolId: string, role: HeldRole, incarnation: string): void {
    const { membership, freshFleet, createPlacement, roles } = this.options;
    if (this.stopped) {
      void roles.release(role).catch(() => undefined);
      return;
    }
    const mayAct = (): boolean => membership.self()?.incarnation === incarnation && freshFleet() !== null;
    const onLost = (): void => {
      if (this.held.get(poolId)?.placement === placement) this.held.delete(poolId);
    };
    const placement = createPlacement({ poolId, role, mayAct, onLost });
    this.held.set(poolId, { placement, incarnation, otherPreferredSinceMs: null });
    placement.start();
  }
}
