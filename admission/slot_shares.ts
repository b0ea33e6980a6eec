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

export interface SlotShare {
  /** Slots that this member may fill. */
  readonly slots: number;
  /** Slots of this member by right of each team; the rest is lent out. */
  readonly entitled: ReadonlyMap<string, number>;
}

/**
 * Divides the slots among teams by weight and each team's part among members
 * by demand. Slots that nobody asks for are spread evenly, so that a member
 * can start new work before its peers know of it.
 */
export function shareSlots(inputs: SlotShareInputs): SlotShare {
  const { members, selfId, slots } = inputs;
  const demand = totalDemand(members);
  const claims = [...demand].map(([id, total]) => ({
    id,
    demand: Math.min(total, inputs.limitOf(id)),
    weight: inputs.weightOf(id),
  }));
  const ofTeams = divideFairly(slots, claims);
  const unclaimed = slots - [...ofTeams.values()].reduce((sum, part) => sum + part, 0);
  const entitledOn = (counts: TeamCounts): ReadonlyMap<string, number> =>
    new Map(
      [...counts].map(([teamId, count]) => {
        const total = demand.get(teamId) ?? 0;
        return [teamId, total === 0 ? 0 : ((ofTeams.get(teamId) ?? 0) * demandOf(count)) / total];
      }),
    );
  const parts = new Map(
    [...members].map(([memberId, counts]) => {
      const entitled = [...entitledOn(counts).values()].reduce((sum, part) => sum + part, 0);
      return [memberId, entitled + unclaimed / members.size];
    }),
  );
  return {
    slots: roundParts(parts).get(selfId) ?? 0,
    entitled: entitledOn(members.get(selfId) ?? new Map<string, WorkCount>()),
  };
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
