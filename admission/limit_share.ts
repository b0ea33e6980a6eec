/** The share of a team's limit that one member may hold while the members together need more than the limit. */
import { divideFairly, roundShares } from './water_filling';
import type { PoolCounts } from './demand_section';

export interface LimitShareInputs {
  readonly teamId: string;
  readonly limit: number;
  readonly selfId: string;
  /** Counts of every live member, this one included. */
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

/** Counts waiting work up to the slots of its pool only, since more could not run. */
function demandOf(pools: PoolCounts, inputs: LimitShareInputs): number {
  let demand = 0;
  for (const [poolId, teams] of pools) {
    const count = teams.get(inputs.teamId);
    if (count)
      demand += Math.min(count.running + count.waiting, Math.max(count.running, inputs.slotsOf(poolId)));
  }
  return demand;
}
