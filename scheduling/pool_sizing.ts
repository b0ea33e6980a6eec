/** Decides how many instances each pool gets, and which instances move. */
import { divideInstances, type DemandLevels } from './demand_levels';

/** An instance with the data on which the pool sizes depend. */
export interface SizedInstance {
  readonly instanceId: string;
  readonly poolId: string;
  /** Whether it can be moved now: up, not in maintenance, not already moving. */
  readonly isMovable: boolean;
  /** Whether no task may be started on it because its availability zone is closed. */
  readonly isZoneClosed: boolean;
  /** Number of runs on it. */
  readonly runCount: number;
  /** Number of long-running tasks among them; instances with the fewest are taken from a pool first. */
  readonly longRunningCount: number;
}

export interface PoolDemand extends DemandLevels {
  readonly poolId: string;
  readonly isSpare: boolean;
  /** Number of instances that the pool should have; it falls some time after the demand. */
  readonly desiredInstances: number;
  /** Number of instances that are moving to it. */
  readonly incoming: number;
}

export interface SizingRequest {
  readonly pools: readonly PoolDemand[];
  readonly instances: readonly SizedInstance[];
}

export interface PlannedMove {
  readonly instanceId: string;
  readonly toPoolId: string;
}

export interface SizingPlan {
  /** Moves of instances that run nothing, to start now. */
  readonly moves: readonly PlannedMove[];
  /** Surplus instances that still run tasks. They get no new ones, so that they become idle and can be moved. */
  readonly draining: readonly string[];
}

/**
 * During a shortage, a pool keeps this fraction of its share above it, at least one
 * instance, because moving one takes longer than a task runs and shares change from one
 * decision to the next.
 */
const SHORTAGE_TOLERANCE = 0.1;

/**
 * Moves instances to pools that lack some, from the spare pool first and then
 * from pools with a surplus, and returns the remaining surplus to the spare pool.
 * Instances of closed zones are no capacity; idle ones go to the spare pool once their
 * pool has its desired size without them, since they are of use at once if the zone is opened.
 *
 * @example
 * ```ts
 * const { moves, draining } = planPoolSizes({ pools, instances });
 * ```
 */
export function planPoolSizes(request: SizingRequest): SizingPlan {
  const openInstances = request.instances.filter(({ isZoneClosed }) => !isZoneClosed);
  const instances = groupByPool(openInstances);
  const pools = shareShortage({ ...request, instances: openInstances }, instances);
  const spare = pools.find(({ isSpare }) => isSpare);
  const surplus = pools.flatMap((pool) => surplusOf(pool, instances));
  const idle = surplus.filter(({ runCount }) => runCount === 0);
  const busy = surplus.filter(({ runCount }) => runCount > 0);
  const sources = [...idle].sort(
    (a, b) => Number(b.poolId === spare?.poolId) - Number(a.poolId === spare?.poolId),
  );
  const moves: PlannedMove[] = [];
  for (const poolId of lackingPools(pools, instances)) {
    const source = sources.findIndex((instance) => instance.poolId !== poolId);
    const instance = sources[source];
    if (instance === undefined) break;
    sources.splice(source, 1);
    moves.push({ instanceId: instance.instanceId, toPoolId: poolId });
  }
  if (spare !== undefined) {
    for (const { instanceId, poolId } of sources) {
      if (poolId !== spare.poolId) moves.push({ instanceId, toPoolId: spare.poolId });
    }
    for (const instanceId of releasedFromClosedZones(request, instances))
      moves.push({ instanceId, toPoolId: spare.poolId });
  }
  return { moves, draining: busy.map(({ instanceId }) => instanceId) };
}

/** Idle instances of closed zones whose pools have their desired sizes without them. */
function releasedFromClosedZones(
  { pools, instances }: SizingRequest,
  openByPool: InstancesByPool,
): readonly string[] {
  const closed = instances.filter(
    ({ isZoneClosed, isMovable, runCount }) => isZoneClosed && isMovable && runCount === 0,
  );
  if (closed.length === 0) return [];
  const completePoolIds = new Set(
    pools
      .filter(({ isSpare }) => !isSpare)
      .filter(
        ({ poolId, incoming, desiredInstances }) =>
          (openByPool.get(poolId)?.length ?? 0) + incoming >= desiredInstances,
      )
      .map(({ poolId }) => poolId),
  );
  return closed.filter(({ poolId }) => completePoolIds.has(poolId)).map(({ instanceId }) => instanceId);
}

/**
 * Reduces the desired sizes if they add up to more instances than there are: pools keep
 * less of what their demand no longer needs. If that does not suffice, the instances are
 * divided as {@link divideInstances} says. Without this, the pool whose burst came first
 * would keep all instances.
 */
function shareShortage(
  { pools, instances }: SizingRequest,
  instancesByPool: InstancesByPool,
): readonly PoolDemand[] {
  const total = instances.length + pools.reduce((sum, { incoming }) => sum + incoming, 0);
  const activePools = pools.filter(({ isSpare }) => !isSpare);
  const desired = activePools.reduce((sum, pool) => sum + pool.desiredInstances, 0);
  if (desired <= total) return pools;
  const needed = activePools.reduce((sum, pool) => sum + pool.neededInstances, 0);
  if (needed <= total) {
    const kept = (total - needed) / Math.max(1, desired - needed);
    return pools.map((pool) => ({
      ...pool,
      desiredInstances: Math.floor(
        pool.neededInstances + (pool.desiredInstances - pool.neededInstances) * kept,
      ),
    }));
  }
  const shares = divideInstances(activePools.map(levelsOf), total);
  const shareByPool = new Map(activePools.map(({ poolId }, index) => [poolId, shares[index] ?? 0]));
  return pools.map((pool) => {
    if (pool.isSpare) return pool;
    const share = shareByPool.get(pool.poolId) ?? 0;
    const poolInstances = (instancesByPool.get(pool.poolId)?.length ?? 0) + pool.incoming;
    const tolerance = Math.max(1, Math.floor(share * SHORTAGE_TOLERANCE));
    const isTolerated = poolInstances > share && poolInstances - share <= tolerance;
    return {
      ...pool,
      desiredInstances: isTolerated ? Math.min(poolInstances, pool.desiredInstances) : share,
    };
  });
}

/** The levels of a pool, none above what it needs now. */
function levelsOf(pool: PoolDemand): DemandLevels {
  const { neededInstances } = pool;
  return {
    minInstances: Math.min(pool.minInstances, neededInstances),
    onTimeInstances: Math.min(pool.onTimeInstances, neededInstances),
    expectedInstances: Math.min(pool.expectedInstances, neededInstances),
    neededInstances,
  };
}

type InstancesByPool = ReadonlyMap<string, readonly SizedInstance[]>;

function groupByPool(instances: readonly SizedInstance[]): InstancesByPool {
  const byPool = new Map<string, SizedInstance[]>();
  for (const instance of instances) {
    const group = byPool.get(instance.poolId);
    if (group === undefined) byPool.set(instance.poolId, [instance]);
    else group.push(instance);
  }
  return byPool;
}

/** Movable instances that a pool can do without; for the spare pool, all of its movable ones. */
function surplusOf(pool: PoolDemand, instances: InstancesByPool): readonly SizedInstance[] {
  const poolInstances = instances.get(pool.poolId) ?? [];
  if (pool.isSpare) return poolInstances.filter(({ isMovable }) => isMovable);
  const count = poolInstances.length + pool.incoming - pool.desiredInstances;
  if (count <= 0) return [];
  return poolInstances
    .filter(({ isMovable }) => isMovable)
    .sort((a, b) => a.longRunningCount - b.longRunningCount || a.runCount - b.runCount)
    .slice(0, count);
}

/**
 * Ids of pools that lack instances, one entry for each missing instance; the pools take
 * turns, so that none waits until another is full.
 */
function lackingPools(pools: readonly PoolDemand[], instances: InstancesByPool): readonly string[] {
  const lacking = new Map<string, number>();
  for (const { poolId, isSpare, desiredInstances, incoming } of pools) {
    const poolInstances = instances.get(poolId)?.length ?? 0;
    if (!isSpare) lacking.set(poolId, Math.max(0, desiredInstances - poolInstances - incoming));
  }
  const missing: string[] = [];
  for (let round = 1; [...lacking.values()].some((count) => count >= round); round += 1) {
    for (const [poolId, count] of lacking) if (count >= round) missing.push(poolId);
  }
  return missing;
}
