/** Guards against a grant that is given back while work still runs under it. */
import type { GrantRow } from './grant_row';
import { TeamGrant, type GrantSurroundings } from './team_grant';

const SURROUNDINGS: GrantSurroundings = {
  nowMs: 10_000,
  self: { memberId: 'entry-1', incarnation: 'entry-1#2' },
  formerIncarnations: new Set(['entry-1#1']),
  configured: { limit: 3, ticket: 4 },
  part: () => Infinity,
  standing: () => 'live',
};

function grantSeen(row: GrantRow): TeamGrant {
  const grant = new TeamGrant();
  grant.seen({ key: 'limit/a', version: 7, value: row }, 9_000);
  return grant;
}

describe('a lowered limit after a new registration', () => {
  test('work of the earlier incarnation keeps its grant', () => {
    const grant = grantSeen({
      limit: 3,
      limitTicket: 4,
      grants: [
        { memberId: 'entry-1', incarnation: 'entry-1#1', amount: 5 },
        { memberId: 'entry-2', incarnation: 'entry-2#1', amount: 6 },
      ],
    });
    grant.started();
    const step = grant.nextStep(SURROUNDINGS, 0);
    expect(step).toMatchObject({ kind: 'write', amount: 1 });
  });

  test('a grant under which nothing runs shrinks to its part of the limit', () => {
    const grant = grantSeen({
      limit: 3,
      limitTicket: 4,
      grants: [
        { memberId: 'entry-1', incarnation: 'entry-1#1', amount: 6 },
        { memberId: 'entry-2', incarnation: 'entry-2#1', amount: 6 },
      ],
    });
    expect(grant.nextStep(SURROUNDINGS, 0)).toMatchObject({ kind: 'write', amount: 1 });
  });
});
