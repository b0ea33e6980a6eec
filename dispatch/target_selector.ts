/** The targets of every pool: which may take work, how loaded and how healthy they are. Decisions only. */
import type { FleetConfiguration, Instance } from '../model/fleet';
import { InFlightWork } from './dispatcher';
import type { DrainingTargetTracker } from './draining_target_tracker';
import {
  HEALTHY,
  eject,
  healthState,
  isOutlier,
  isProbeDue,
  recordResult,
  type TargetHealth,
} from './outlier_ejection';
import { pickTarget, type Candidate, type Random } from './routing';

export interface TargetSelectorOptions {
  readonly fleet: () => FleetConfiguration;
  readonly drainingTracker: DrainingTargetTracker;
  readonly availabilityZone: string;
  /** Entry instances that share the connections of a target. */
  readonly entryInstanceCount: () => number;
  readonly random: Random;
}

export interface TargetQuery {
  readonly poolId: string;
  /** Targets that this request has tried already; they are used again only if there is no other. */
  readonly tried: ReadonlySet<string>;
  /** Only a request that may be repeated is sent to a target under probation. */
  readonly isIdempotent: boolean;
}

/** `busy`: targets exist, but all connections to them are in use. */
export type TargetChoice =
  | { readonly kind: 'target'; readonly instance: Instance }
  | { readonly kind: 'busy' }
  | { readonly kind: 'none' };

interface TargetCandidate extends Candidate {
  readonly instance: Instance;
}

/** Chooses targets and follows what becomes of the requests sent to them. */
export class TargetSelector extends InFlightWork {
  private readonly open = new Map<string, number>();
  private readonly uncertain = new Map<string, number>();
  private readonly health = new Map<string, TargetHealth>();
  private indexedFleet: FleetConfiguration | null = null;
  private servingByPool: ReadonlyMap<string, readonly Instance[]> = new Map();

  constructor(private readonly options: TargetSelectorOptions) {
    super();
  }

  /** Chooses a target for one attempt. */
  choose(query: TargetQuery, nowMs: number): TargetChoice {
    const { drainingTracker, availabilityZone, random } = this.options;
    const present = this.serving(query.poolId).filter(
      ({ instanceId }) => !drainingTracker.isDraining(instanceId, nowMs),
    );
    if (present.length === 0) return { kind: 'none' };
    const healthy = present.filter(({ instanceId }) => this.mayTake(instanceId, query.isIdempotent, nowMs));
    // When all healthy targets are leaving, a failing one is better than none.
    const usable = healthy.length > 0 ? healthy : present;
    const untried = usable.filter(({ instanceId }) => !query.tried.has(instanceId));
    const candidates = (untried.length > 0 ? untried : usable)
      .filter((instance) => this.openCount(instance.instanceId) < this.connectionShare(instance))
      .map((instance) => this.toCandidate(instance));
    const probe = candidates.find(({ instanceId }) => this.isProbe(instanceId, nowMs));
    const picked = probe ?? pickTarget(candidates, availabilityZone, random);
    return picked === undefined ? { kind: 'busy' } : { kind: 'target', instance: picked.instance };
  }

  /** Counts an attempt that goes to the target. */
  started(instanceId: string, nowMs: number): void {
    this.open.set(instanceId, this.openCount(instanceId) + 1);
    const health = this.healthOf(instanceId);
    if (healthState(health, nowMs) === 'probing')
      this.health.set(instanceId, { ...health, lastProbeMs: nowMs });
  }

  /** Counts an attempt that no longer occupies a connection. */
  finished(instanceId: string): void {
    this.open.set(instanceId, Math.max(0, this.openCount(instanceId) - 1));
  }

  /** Counts work that may go on at the target although its connection is gone (`change` 1), or has ended (-1). */
  adjustUncertain(instanceId: string, change: 1 | -1): void {
    this.uncertain.set(instanceId, Math.max(0, (this.uncertain.get(instanceId) ?? 0) + change));
  }

  /** Takes in how an attempt ended; returns whether the target was ejected because of it. */
  recordResult(instance: Instance, isSuccess: boolean, nowMs: number): boolean {
    const { instanceId } = instance;
    const health = recordResult(this.healthOf(instanceId), isSuccess, nowMs);
    this.health.set(instanceId, health);
    const poolId = this.options.fleet().instanceStates.get(instanceId)?.poolId ?? instance.poolId;
    const peers = this.serving(poolId)
      .filter((other) => other.instanceId !== instanceId)
      .filter((other) => !this.options.drainingTracker.isDraining(other.instanceId, nowMs))
      .map((other) => this.healthOf(other.instanceId));
    if (!isOutlier(health, peers, nowMs)) return false;
    this.health.set(instanceId, eject(health, nowMs));
    return true;
  }

  override inFlight(instanceId: string): number {
    return this.openCount(instanceId) + (this.uncertain.get(instanceId) ?? 0);
  }

  /** Whether the target takes work, is ejected, or under probation. */
  healthState(instanceId: string, nowMs: number): ReturnType<typeof healthState> {
    return healthState(this.healthOf(instanceId), nowMs);
  }

  private mayTake(instanceId: string, isIdempotent: boolean, nowMs: number): boolean {
    if (healthState(this.healthOf(instanceId), nowMs) === 'healthy') return true;
    return isIdempotent && this.isProbe(instanceId, nowMs);
  }

  private isProbe(instanceId: string, nowMs: number): boolean {
    return this.openCount(instanceId) === 0 && isProbeDue(this.healthOf(instanceId), nowMs);
  }

  private healthOf(instanceId: string): TargetHealth {
    return this.health.get(instanceId) ?? HEALTHY;
  }

  private openCount(instanceId: string): number {
    return this.open.get(instanceId) ?? 0;
  }

  /** All entry instances together may not open more connections than the target accepts. */
  private connectionShare(instance: Instance): number {
    return Math.max(1, Math.floor(instance.connections / Math.max(1, this.options.entryInstanceCount())));
  }

  private toCandidate(instance: Instance): TargetCandidate {
    const { instanceId, availabilityZone, slots } = instance;
    return { instanceId, availabilityZone, load: this.openCount(instanceId) / slots, instance };
  }

  /** Serving instances of a pool; the index is rebuilt only when the configuration has changed. */
  private serving(poolId: string): readonly Instance[] {
    const fleet = this.options.fleet();
    if (fleet !== this.indexedFleet) {
      this.indexedFleet = fleet;
      this.servingByPool = indexServing(fleet);
      this.forgetRemoved(fleet);
    }
    return this.servingByPool.get(poolId) ?? [];
  }

  private forgetRemoved(fleet: FleetConfiguration): void {
    for (const instanceId of this.health.keys()) {
      if (!fleet.instances.has(instanceId)) this.health.delete(instanceId);
    }
    for (const counts of [this.open, this.uncertain]) {
      for (const [instanceId, count] of counts) {
        if (count === 0 && !fleet.instances.has(instanceId)) counts.delete(instanceId);
      }
    }
  }
}

function indexServing(fleet: FleetConfiguration): ReadonlyMap<string, readonly Instance[]> {
  const byPool = new Map<string, Instance[]>();
  for (const { instanceId, poolId, state } of fleet.instanceStates.values()) {
    const instance = fleet.instances.get(instanceId);
    if (instance === undefined || state !== 'serving') continue;
    const pool = byPool.get(poolId);
    if (pool === undefined) byPool.set(poolId, [instance]);
    else pool.push(instance);
  }
  return byPool;
}
