/** Selects targets and tracks their load and health. Does no I/O. */
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
  /** Number of entry instances that share the connections of a target. */
  readonly entryInstanceCount: () => number;
  readonly random: Random;
}

export interface TargetQuery {
  readonly poolId: string;
  /** Targets that this request has tried already; they are chosen again only if there is no other. */
  readonly triedInstanceIds: ReadonlySet<string>;
  /** Only idempotent requests are sent to a target on probation. */
  readonly isIdempotent: boolean;
}

/** `busy`: there are targets, but all connections to them are in use; `none`: there is no target. */
export type TargetChoice =
  | { readonly kind: 'target'; readonly instance: Instance }
  | { readonly kind: 'busy' }
  | { readonly kind: 'none' };

interface TargetCandidate extends Candidate {
  readonly instance: Instance;
}

/** Chooses targets and tracks the attempts made at them. */
export class TargetSelector extends InFlightWork {
  private readonly openAttempts = new Map<string, number>();
  private readonly possiblyRunning = new Map<string, number>();
  private readonly health = new Map<string, TargetHealth>();
  private indexedFleet: FleetConfiguration | null = null;
  private servingByPool: ReadonlyMap<string, readonly Instance[]> = new Map();

  constructor(private readonly options: TargetSelectorOptions) {
    super();
  }

  /** Chooses a target for one attempt. */
  choose(query: TargetQuery, nowMs: number): TargetChoice {
    const { drainingTracker, availabilityZone, random } = this.options;
    const available = this.servingInstances(query.poolId).filter(
      ({ instanceId }) => !drainingTracker.isDraining(instanceId, nowMs),
    );
    if (available.length === 0) return { kind: 'none' };
    const healthy = available.filter(({ instanceId }) =>
      this.acceptsRequest(instanceId, query.isIdempotent, nowMs),
    );
    // If no target is healthy, an unhealthy one is better than none.
    const usable = healthy.length > 0 ? healthy : available;
    const untried = usable.filter(({ instanceId }) => !query.triedInstanceIds.has(instanceId));
    const candidates = (untried.length > 0 ? untried : usable)
      .filter((instance) => this.openAttemptCount(instance.instanceId) < this.connectionShare(instance))
      .map((instance) => this.toCandidate(instance));
    const probe = candidates.find(({ instanceId }) => this.canProbe(instanceId, nowMs));
    const picked = probe ?? pickTarget(candidates, availabilityZone, random);
    return picked === undefined ? { kind: 'busy' } : { kind: 'target', instance: picked.instance };
  }

  /** Records an attempt that is about to be sent to the target. */
  recordAttemptStart(instanceId: string, nowMs: number): void {
    this.openAttempts.set(instanceId, this.openAttemptCount(instanceId) + 1);
    const health = this.healthOf(instanceId);
    if (healthState(health, nowMs) === 'probing')
      this.health.set(instanceId, { ...health, lastProbeAtMs: nowMs });
  }

  /** Records that an attempt no longer occupies a connection. */
  recordAttemptEnd(instanceId: string): void {
    this.openAttempts.set(instanceId, Math.max(0, this.openAttemptCount(instanceId) - 1));
  }

  /**
   * Counts work that may still run at the target after its connection was closed;
   * `delta` is 1 when that starts and -1 when it can no longer be running.
   */
  adjustPossiblyRunning(instanceId: string, delta: 1 | -1): void {
    this.possiblyRunning.set(instanceId, Math.max(0, (this.possiblyRunning.get(instanceId) ?? 0) + delta));
  }

  /** Records the result of an attempt; returns whether the target was ejected because of it. */
  recordResult(instance: Instance, isSuccess: boolean, nowMs: number): boolean {
    const { instanceId } = instance;
    const health = recordResult(this.healthOf(instanceId), isSuccess, nowMs);
    this.health.set(instanceId, health);
    const poolId = this.options.fleet().instanceStates.get(instanceId)?.poolId ?? instance.poolId;
    const peers = this.servingInstances(poolId)
      .filter((other) => other.instanceId !== instanceId)
      .filter((other) => !this.options.drainingTracker.isDraining(other.instanceId, nowMs))
      .map((other) => this.healthOf(other.instanceId));
    if (!isOutlier(health, peers, nowMs)) return false;
    this.health.set(instanceId, eject(health, nowMs));
    return true;
  }

  override inFlight(instanceId: string): number {
    return this.openAttemptCount(instanceId) + (this.possiblyRunning.get(instanceId) ?? 0);
  }

  healthState(instanceId: string, nowMs: number): ReturnType<typeof healthState> {
    return healthState(this.healthOf(instanceId), nowMs);
  }

  private acceptsRequest(instanceId: string, isIdempotent: boolean, nowMs: number): boolean {
    if (healthState(this.healthOf(instanceId), nowMs) === 'healthy') return true;
    return isIdempotent && this.canProbe(instanceId, nowMs);
  }

  private canProbe(instanceId: string, nowMs: number): boolean {
    return this.openAttemptCount(instanceId) === 0 && isProbeDue(this.healthOf(instanceId), nowMs);
  }

  private healthOf(instanceId: string): TargetHealth {
    return this.health.get(instanceId) ?? HEALTHY;
  }

  private openAttemptCount(instanceId: string): number {
    return this.openAttempts.get(instanceId) ?? 0;
  }

  /** Returns the share of this entry instance in the connections that the target accepts; at least one. */
  private connectionShare(instance: Instance): number {
    return Math.max(1, Math.floor(instance.connections / Math.max(1, this.options.entryInstanceCount())));
  }

  private toCandidate(instance: Instance): TargetCandidate {
    const { instanceId, availabilityZone, slots } = instance;
    return { instanceId, availabilityZone, load: this.openAttemptCount(instanceId) / slots, instance };
  }

  /** Returns the serving instances of a pool. The index is rebuilt only when the configuration has changed. */
  private servingInstances(poolId: string): readonly Instance[] {
    const fleet = this.options.fleet();
    if (fleet !== this.indexedFleet) {
      this.indexedFleet = fleet;
      this.servingByPool = indexServing(fleet);
      this.dropRemovedInstances(fleet);
    }
    return this.servingByPool.get(poolId) ?? [];
  }

  private dropRemovedInstances(fleet: FleetConfiguration): void {
    for (const instanceId of this.health.keys()) {
      if (!fleet.instances.has(instanceId)) this.health.delete(instanceId);
    }
    for (const counts of [this.openAttempts, this.possiblyRunning]) {
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
