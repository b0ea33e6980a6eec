import { planGrant, usableAmount, type GrantInputs } from './grant_decision';
import type { GrantRow } from './grant_row';
import { TeamGrant, type GrantSurroundings } from './team_grant';

const self = { memberId: 'm', incarnation: 'm#1' };
const row: GrantRow = {
  limit: 10,
  limitTicket: 1,
  grants: [
    { memberId: 'm', incarnation: 'm#1', amount: 3 },
    { memberId: 'n', incarnation: 'n#1', amount: 4 },
  ],
};
const inputs: GrantInputs = {
  row,
  self,
  formerIncarnations: new Set(),
  configured: { limit: 10, ticket: 1 },
  want: 8,
  standing: () => 'live',
};

describe('planGrant', () => {
  test('a raise stops at the limit, also while a fenced holder may still run work', () => {
    expect(planGrant(inputs).amount).toBe(6);
    expect(planGrant({ ...inputs, standing: () => 'fencing' }).amount).toBe(6);
    expect(planGrant({ ...inputs, standing: () => 'ended' }).amount).toBe(8);
  });

  test('a lowered limit allows no raise and keeps what is held', () => {
    const plan = planGrant({ ...inputs, configured: { limit: 5, ticket: 2 } });
    expect(plan).toMatchObject({ amount: 3, changed: true, row: { limit: 5, limitTicket: 2 } });
  });

  test('an older configuration does not bring back an older limit', () => {
    const newer = { ...row, limit: 5, limitTicket: 7 };
    expect(planGrant({ ...inputs, row: newer }).row).toMatchObject({ limit: 5, limitTicket: 7 });
  });

  test('a new incarnation of the process takes over what the process held', () => {
    const again = { memberId: 'm', incarnation: 'm#2' };
    const plan = planGrant({ ...inputs, self: again, formerIncarnations: new Set(['m#1']), want: 3 });
    expect(plan.row.grants).toEqual([
      { memberId: 'n', incarnation: 'n#1', amount: 4 },
      { ...again, amount: 3 },
    ]);
  });
});

describe('usableAmount', () => {
  const usable = { row, held: 3, configured: { limit: 10, ticket: 1 }, earlierWorkEnded: false };

  test('a limit that the row does not show yet admits nothing, since a peer may still raise its grant', () => {
    expect(usableAmount(usable)).toBe(3);
    expect(usableAmount({ ...usable, configured: { limit: 9, ticket: 2 } })).toBe(0);
  });

  test('over a lowered limit nothing starts before the earlier work has ended', () => {
    const lowered = { ...usable, row: { ...row, limit: 5 } };
    expect(usableAmount(lowered)).toBe(0);
    expect(usableAmount({ ...lowered, earlierWorkEnded: true })).toBe(2);
  });
});

describe('TeamGrant', () => {
  const around = (nowMs: number): GrantSurroundings => ({
    ...inputs,
    nowMs,
    part: () => Number.POSITIVE_INFINITY,
  });
  const version = (value: unknown, number: number) => ({ key: 'limit/a', version: number, value });

  test('a return whose answer was lost counts as done until the row has moved on', () => {
    const grant = new TeamGrant();
    grant.seen(version(row, 5), 0);
    const step = grant.nextStep(around(10_000), 500);
    expect(step).toMatchObject({ kind: 'write', reason: 'return', amount: 0 });
    if (step?.kind !== 'write') return;
    grant.sending(step, 'm#1');
    grant.outcomeUnknown();
    expect(grant.usable(around(10_001))).toBe(0);
    expect(grant.nextStep(around(10_002), 500)).toEqual({ kind: 'read' });
    grant.seen(version(row, 5), 10_003);
    // The write may still be on its way: the row has the version that it requires.
    expect(grant.usable(around(10_003))).toBe(0);
    expect(grant.nextStep(around(10_004), 500)?.kind).toBe('write');
    grant.seen(version(row, 6), 10_005);
    expect(grant.usable(around(10_005))).toBe(3);
  });

  test('a raise counts only once it is confirmed', () => {
    const grant = new TeamGrant();
    grant.seen(version(row, 5), 0);
    grant.setNeed(0, 5);
    const step = grant.nextStep(around(1), 500);
    if (step?.kind !== 'write') throw new Error('A write was expected.');
    grant.sending(step, 'm#1');
    expect(grant.usable(around(2))).toBe(3);
    grant.committed(step, 6, 3);
    expect(grant.usable(around(3))).toBe(6);
  });

  test('an idle grant is returned after two seconds, not before', () => {
    const grant = new TeamGrant();
    grant.seen(version(row, 5), 0);
    grant.setNeed(1_000, 3);
    grant.setNeed(1_100, 0);
    expect(grant.nextStep(around(2_500), 500)).toBeNull();
    expect(grant.nextStep(around(3_600), 500)).toMatchObject({ reason: 'return', amount: 0 });
  });
});
