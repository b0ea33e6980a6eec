/** This member's part of a team's limit while the members together need more than the limit. */
import { divideFairly, roundParts } from './water_filling';
import type { PoolCounts } from './demand_section';

export interface GrantPartInputs {
  readonly teamId: string;
  readonly limit: number;
  readonly selfId: string;
  /** Counts of every live member, this one included. */
  readonly members: ReadonlyMap<string, PoolCounts>;
  readonly slotsOf: (poolId: string) => number;
}

/** Returns `Infinity` while the limit suffices for everybody. */
export function grantPart(inputs: GrantPartInputs): number {
  const claims = [...inputs.members].map(([id, pools]) => ({
    id,
    demand: demandOf(pools, inputs),
    weight: 1,
  }));
  const total = claims.reduce((sum, { demand }) => sum + demand, 0);
  if (total <= inputs.limit) return Number.POSITIVE_INFINITY;
  return roundParts(divideFairly(inputs.limit, claims)).get(inputs.selfId) ?? 0;
}

/** Waiting work counts up to the slots of its pool: more could not run anyway. */
function demandOf(pools: PoolCounts, inputs: GrantPartInputs): number {
  let demand = 0;
  for (const [poolId, teams] of pools) {
    const count = teams.get(inputs.teamId);
    if (count)
      demand += Math.min(count.running + count.waiting, Math.max(count.running, inputs.slotsOf(poolId)));
  }
  return demand;
}
