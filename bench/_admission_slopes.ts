/** Growth of the costs of admission. */
import { computeSlotShare, type TeamCounts } from '../admission/slot_shares';
import { planGrant } from '../admission/grant_decision';
import { medianUs, Slope } from './_slope';

const TEAM_COUNTS = [50, 100, 200, 400];
const MEMBER_COUNTS = [3, 6, 9, 18, 36];

/** Every team has work running and waiting on every member. */
function countsOf(teams: number): TeamCounts {
  return new Map(
    Array.from({ length: teams }, (_, index) => [`team-${index}`, { running: 1, waiting: index % 5 }]),
  );
}

function divideSlots(teams: number, members: number): void {
  computeSlotShare({
    slots: 500,
    selfId: 'entry-0',
    members: new Map(Array.from({ length: members }, (_, index) => [`entry-${index}`, countsOf(teams)])),
    weightOf: () => 1,
    limitOf: () => 100,
  });
}

class ShareTimeByTeams extends Slope {
  override readonly name = 'divide the slots of one pool among teams and 9 entry instances';
  override readonly per = 'team with demand in the pool';
  override readonly unit = 'us';
  override readonly sizes = TEAM_COUNTS;
  override measure(size: number): number {
    return medianUs(51, () => {
      divideSlots(size, 9);
    });
  }
}

class ShareTimeByMembers extends Slope {
  override readonly name = 'divide the slots of one pool with 50 teams among entry instances';
  override readonly per = 'entry instance';
  override readonly unit = 'us';
  override readonly sizes = MEMBER_COUNTS;
  override measure(size: number): number {
    return medianUs(51, () => {
      divideSlots(50, size);
    });
  }
}

class GrantPlanTime extends Slope {
  override readonly name = 'plan one change of a grant';
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

export const ADMISSION_SLOPES: readonly Slope[] = [
  new ShareTimeByTeams(),
  new ShareTimeByMembers(),
  new GrantPlanTime(),
];
