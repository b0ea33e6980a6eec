/** Computes the share of a team's limit that one member may hold while all members together need more than that. */
import { divideFairly, roundShares } from './water_filling';
import type { PoolCounts } from './demand_section';

export interface LimitShareInputs {
  readonly teamId: string;
  readonly limit: number;
  readonly selfId: string;
  /** Running and waiting work per pool and team, for every live member including this one, by member id. */
  readonly members: ReadonlyMap<string, PoolCounts>;
  readonly slotsOf: (poolId: string) => number;
}

/** Returns the share of this member, or `Infinity` while the limit covers the demand of all members. */
export function limitShare(inputs: LimitShareInputs): number {
  const claimants = [...inputs.members].map(([id, pools]) => ({
    id,
    demand: demandOf(pools, inputs),
    weight: 1,
  }));
  const total = claimants.reduce((sum, { demand }) => sum + demand, 0);
  if (total <= inputs.limit) return Number.POSITIVE_INFINITY;
  return roundShares(divideFairly(inputs.limit, claimants)).get(inputs.selfId) ?? 0;
}

/**
 * Returns the demand of one member. Waiting work counts only up to the slots of its
 * pool, since more could not run.
 */
function demandOf(pools: PoolCounts, inputs: LimitShareInputs): number {
  let demand = 0;
  for (const [poolId, teams] of pools) {
    const count = teams.get(inputs.teamId);
    if (count)
      demand += Math.min(count.running + count.waiting, Math.max(count.running, inputs.slotsOf(poolId)));
  }
  return demand;
}
