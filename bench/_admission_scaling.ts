/** Measures how the costs of admission grow with the number of teams and entry instances. */
import { computeSlotShare, type TeamCounts } from '../admission/slot_shares';
import { planGrant } from '../admission/grant_decision';
import { medianUs, ScalingBenchmark } from './_scaling_benchmark';

const TEAM_COUNTS = [50, 100, 200, 400];
const MEMBER_COUNTS = [3, 6, 9, 18, 36];

/** Counts of one member; every team has running requests, most have waiting ones. */
function newTeamCounts(teamCount: number): TeamCounts {
  return new Map(
    Array.from({ length: teamCount }, (_, index) => [`team-${index}`, { running: 1, waiting: index % 5 }]),
  );
}

function computeShareOfOneMember(teamCount: number, memberCount: number): void {
  computeSlotShare({
    slots: 500,
    selfId: 'entry-0',
    members: new Map(
      Array.from({ length: memberCount }, (_, index) => [`entry-${index}`, newTeamCounts(teamCount)]),
    ),
    weightOf: () => 1,
    limitOf: () => 100,
  });
}

class SlotShareTimeByTeams extends ScalingBenchmark {
  override readonly name = 'divide the slots of one pool among teams and 9 entry instances';
  override readonly per = 'team with demand in the pool';
  override readonly unit = 'us';
  override readonly sizes = TEAM_COUNTS;
  override measure(size: number): number {
    return medianUs(51, () => {
      computeShareOfOneMember(size, 9);
    });
  }
}

class SlotShareTimeByMembers extends ScalingBenchmark {
  override readonly name = 'divide the slots of one pool with 50 teams among entry instances';
  override readonly per = 'entry instance';
  override readonly unit = 'us';
  override readonly sizes = MEMBER_COUNTS;
  override measure(size: number): number {
    return medianUs(51, () => {
      computeShareOfOneMember(50, size);
    });
  }
}

class GrantPlanTime extends ScalingBenchmark {
  override readonly name = 'plan one change of a grant within a team limit';
  override readonly per = 'entry instance';
  override readonly unit = 'us';
  override readonly sizes = MEMBER_COUNTS;
  override measure(size: number): number {
    const grants = Array.from({ length: size }, (_, index) => ({
      memberId: `entry-${index}`,
      incarnation: `incarnation-${index}`,
      amount: 2,
    }));
    return medianUs(501, () => {
      planGrant({
        row: { limit: 1_000, limitTicket: 1, grants },
        self: { memberId: 'entry-0', incarnation: 'incarnation-0' },
        formerIncarnations: new Set(),
        configured: { limit: 1_000, ticket: 1 },
        want: 7,
        standing: () => 'live',
      });
    });
  }
}

export const ADMISSION_BENCHMARKS: readonly ScalingBenchmark[] = [
  new SlotShareTimeByTeams(),
  new SlotShareTimeByMembers(),
  new GrantPlanTime(),
];
