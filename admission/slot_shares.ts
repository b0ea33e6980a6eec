/** Division of a pool's slots among teams and entry instances, the same on every member that has the same inputs. */
import { divideFairly, roundParts } from './water_filling';

/** Work of one team in one pool on one member. */
export interface WorkCount {
  readonly running: number;
  readonly waiting: number;
}

export type TeamCounts = ReadonlyMap<string, WorkCount>;

export interface SlotShareInputs {
  readonly slots: number;
  readonly selfId: string;
  /** Counts of every live member, this one included. */
  readonly members: ReadonlyMap<string, TeamCounts>;
  readonly weightOf: (teamId: string) => number;
  readonly limitOf: (teamId: string) => number;
}

/**
 * Slots that this member may fill. Divides the slots among teams by weight and
 * each team's part among members by demand. Slots that nobody asks for are
 * spread evenly, so that a member can start new work before its peers know of it.
 */
export function computeSlotShare(inputs: SlotShareInputs): number {
  const { members, selfId, slots } = inputs;
  const demand = totalDemand(members);
  const claims = [...demand].map(([id, total]) => ({
    id,
    demand: Math.min(total, inputs.limitOf(id)),
    weight: inputs.weightOf(id),
  }));
  const ofTeams = divideFairly(slots, claims);
  const unclaimed = slots - [...ofTeams.values()].reduce((sum, part) => sum + part, 0);
  const claimedBy = (counts: TeamCounts): number =>
    [...counts].reduce((sum, [teamId, count]) => {
      const total = demand.get(teamId) ?? 0;
      return total === 0 ? sum : sum + ((ofTeams.get(teamId) ?? 0) * demandOf(count)) / total;
    }, 0);
  const parts = new Map(
    [...members].map(([memberId, counts]) => [memberId, claimedBy(counts) + unclaimed / members.size]),
  );
  return roundParts(parts).get(selfId) ?? 0;
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
