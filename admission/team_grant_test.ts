/** Guards against a grant that is returned while work still runs under it. */
import type { GrantRow } from './grant_row';
import { TeamGrant, type GrantContext } from './team_grant';

const CONTEXT: GrantContext = {
  nowMs: 10_000,
  self: { memberId: 'entry-1', incarnation: 'entry-1#2' },
  formerIncarnations: new Set(['entry-1#1']),
  configured: { limit: 3, ticket: 4 },
  limitShare: () => Infinity,
  standing: () => 'live',
};

function grantWithRow(row: GrantRow): TeamGrant {
  const grant = new TeamGrant();
  grant.recordRow({ key: 'limit/a', version: 7, value: row }, 9_000);
  return grant;
}

describe('TeamGrant with a lowered limit after a new registration', () => {
  test('a grant under which work of the earlier incarnation runs is kept', () => {
    const grant = grantWithRow({
      limit: 3,
      limitTicket: 4,
      grants: [
        { memberId: 'entry-1', incarnation: 'entry-1#1', amount: 5 },
        { memberId: 'entry-2', incarnation: 'entry-2#1', amount: 6 },
      ],
    });
    grant.recordStart();
    const step = grant.nextStep(CONTEXT, 0);
    expect(step).toMatchObject({ kind: 'write', amount: 1 });
  });

  test('a grant under which nothing runs shrinks to its proportional share of the limit', () => {
    const grant = grantWithRow({
      limit: 3,
      limitTicket: 4,
      grants: [
        { memberId: 'entry-1', incarnation: 'entry-1#1', amount: 6 },
        { memberId: 'entry-2', incarnation: 'entry-2#1', amount: 6 },
      ],
    });
    expect(grant.nextStep(CONTEXT, 0)).toMatchObject({ kind: 'write', amount: 1 });
  });
});
