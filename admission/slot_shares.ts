/** Divides the slots of a pool among teams and members; members with the same inputs get the same result. */
import { divideFairly, roundShares } from './water_filling';

/** Numbers of running and waiting units of work of one team, in one pool on one member. */
export interface WorkCount {
  readonly running: number;
  readonly waiting: number;
}

/** Running and waiting work per team, in one pool on one member. */
export type TeamCounts = ReadonlyMap<string, WorkCount>;

export interface SlotShareInputs {
  readonly slots: number;
  readonly selfId: string;
  /** Running and waiting work per team, for every live member including this one, by member id. */
  readonly members: ReadonlyMap<string, TeamCounts>;
  readonly weightOf: (teamId: string) => number;
  readonly limitOf: (teamId: string) => number;
}

/**
 * Returns the number of slots that this member may fill. Divides the slots among
 * teams by weight and the share of each team among members by demand. Slots
 * without demand are divided evenly, so that a member can start new work before
 * its peers know of it.
 */
export function computeSlotShare(inputs: SlotShareInputs): number {
  const { members, selfId, slots } = inputs;
  const demand = totalDemand(members);
  const claimants = [...demand].map(([id, total]) => ({
    id,
    demand: Math.min(total, inputs.limitOf(id)),
    weight: inputs.weightOf(id),
  }));
  const slotsByTeam = divideFairly(slots, claimants);
  const unassigned = slots - [...slotsByTeam.values()].reduce((sum, share) => sum + share, 0);
  const assignedTo = (counts: TeamCounts): number =>
    [...counts].reduce((sum, [teamId, count]) => {
      const total = demand.get(teamId) ?? 0;
      return total === 0 ? sum : sum + ((slotsByTeam.get(teamId) ?? 0) * demandOf(count)) / total;
    }, 0);
  const shares = new Map(
    [...members].map(([memberId, counts]) => [memberId, assignedTo(counts) + unassigned / members.size]),
  );
  return roundShares(shares).get(selfId) ?? 0;
}

function totalDemand(members: ReadonlyMap<string, TeamCounts>): ReadonlyMap<string, number> {
  const total = new Map<string, number>();
  for (const counts of members.values()) {
    for (const [teamId, count] of counts) total.set(teamId, (total.get(teamId) ?? 0) + demandOf(count));
  }
  return total;
}

function demandOf(count: WorkCount): number {
  return count.running + count.waiting;
}
