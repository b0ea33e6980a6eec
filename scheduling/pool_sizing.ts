/** Decides how many instances each pool should have, and which ones move. */

/** An instance as the sizing sees it. */
export interface SizedInstance {
  readonly instanceId: string;
  readonly poolId: string;
  /** Whether it can be moved at once: up, in no maintenance, not already on its way. */
  readonly isMovable: boolean;
  /** Tasks that run on it; fewest first when instances are given up. */
  readonly runCount: number;
  /** Tasks among them that last. */
  readonly longRunningCount: number;
}

export interface PoolDemand {
  readonly poolId: string;
  readonly isSpare: boolean;
  /** Instances that the pool should have. */
  readonly desiredInstances: number;
  /** Instances that it keeps also when all pools together want more than there are. */
  readonly minInstances: number;
  /** Instances that are on their way to it. */
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
  /** Instances that run nothing and can move now. */
  readonly moves: readonly PlannedMove[];
  /** Instances that take no further tasks, so that they become free to move. */
  readonly draining: readonly string[];
}

/** Where instances are scarce, a pool with no more than this many too many keeps them: a move takes longer than a task. */
const SHORTAGE_TOLERANCE = 1;

/**
 * Gives instances to pools that want more, from the spare pool first and then
 * from pools that have more than they want, and returns the rest to the spare pool.
 *
 * @example
 * ```ts
 * const { moves, closing } = planPoolSizes({ pools, instances });
 * ```
 */
export function planPoolSizes(request: SizingRequest): SizingPlan {
  const { instances } = request;
  const pools = shareShortage(request);
  const spare = pools.find(({ isSpare }) => isSpare);
  const surplus = pools.flatMap((pool) => surplusOf(pool, instances));
  const free = surplus.filter(({ runCount }) => runCount === 0);
  const busy = surplus.filter(({ runCount }) => runCount > 0);
  const sources = [...free].sort(
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
  }
  return { moves, draining: busy.map(({ instanceId }) => instanceId) };
}

/**
 * Lowers what the pools want where it is more than there is: each keeps its
 * least number, and the rest is divided in proportion to what is wanted
 * beyond. Otherwise the pool whose burst came first would keep all.
 */
function shareShortage({ pools, instances }: SizingRequest): readonly PoolDemand[] {
  const present = instances.length + pools.reduce((sum, { incoming }) => sum + incoming, 0);
  const open = pools.filter(({ isSpare }) => !isSpare);
  const wanted = open.reduce((sum, pool) => sum + pool.desiredInstances, 0);
  if (wanted <= present) return pools;
  const least = open.reduce((sum, pool) => sum + minimumOf(pool), 0);
  const part = Math.max(0, present - least) / Math.max(1, wanted - least);
  return pools.map((pool) => {
    if (pool.isSpare) return pool;
    const share = Math.round(minimumOf(pool) + (pool.desiredInstances - minimumOf(pool)) * part);
    const own = instances.filter(({ poolId }) => poolId === pool.poolId).length + pool.incoming;
    const isTolerated = own > share && own - share <= SHORTAGE_TOLERANCE;
    return { ...pool, desiredInstances: isTolerated ? Math.min(own, pool.desiredInstances) : share };
  });
}

function minimumOf({ minInstances: leastInstances, desiredInstances: wantedInstances }: PoolDemand): number {
  return Math.min(leastInstances, wantedInstances);
}

/** Instances that a pool can do without; all of the spare pool's. */
function surplusOf(pool: PoolDemand, instances: readonly SizedInstance[]): readonly SizedInstance[] {
  const own = instances.filter(({ poolId }) => poolId === pool.poolId);
  if (pool.isSpare) return own.filter(({ isMovable }) => isMovable);
  const count = own.length + pool.incoming - pool.desiredInstances;
  if (count <= 0) return [];
  return own
    .filter(({ isMovable }) => isMovable)
    .sort((a, b) => a.longRunningCount - b.longRunningCount || a.runCount - b.runCount)
    .slice(0, count);
}

/** One entry for each instance that a pool lacks; the pools take turns, so that none waits for another to be full. */
function lackingPools(pools: readonly PoolDemand[], instances: readonly SizedInstance[]): readonly string[] {
  const lacking = new Map<string, number>();
  for (const { poolId, isSpare, desiredInstances: wantedInstances, incoming } of pools) {
    const own = instances.filter((instance) => instance.poolId === poolId).length;
    if (!isSpare) lacking.set(poolId, Math.max(0, wantedInstances - own - incoming));
  }
  const wanted: string[] = [];
  for (let round = 1; [...lacking.values()].some((count) => count >= round); round += 1) {
    for (const [poolId, count] of lacking) if (count >= round) wanted.push(poolId);
  }
  return wanted;
}
