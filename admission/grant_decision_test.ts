import { planGrant, usableAmount, type GrantInputs } from './grant_decision';
import type { GrantRow } from './grant_row';
import { TeamGrant, type GrantContext } from './team_grant';

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
  test('a raise stops at the limit, even while a fenced member may still run work', () => {
    expect(planGrant(inputs).amount).toBe(6);
    expect(planGrant({ ...inputs, standing: () => 'fencing' }).amount).toBe(6);
    expect(planGrant({ ...inputs, standing: () => 'ended' }).amount).toBe(8);
  });

  test('a lowered limit allows no raise and keeps the held amount', () => {
    const plan = planGrant({ ...inputs, configured: { limit: 5, ticket: 2 } });
    expect(plan).toMatchObject({ amount: 3, changed: true, row: { limit: 5, limitTicket: 2 } });
  });

  test('an older configuration does not restore an older limit', () => {
    const newer = { ...row, limit: 5, limitTicket: 7 };
    expect(planGrant({ ...inputs, row: newer }).row).toMatchObject({ limit: 5, limitTicket: 7 });
  });

  test('a new incarnation of a process takes over the grant of the former one', () => {
    const newSelf = { memberId: 'm', incarnation: 'm#2' };
    const plan = planGrant({ ...inputs, self: newSelf, formerIncarnations: new Set(['m#1']), want: 3 });
    expect(plan.row.grants).toEqual([
      { memberId: 'n', incarnation: 'n#1', amount: 4 },
      { ...newSelf, amount: 3 },
    ]);
  });
});

describe('usableAmount', () => {
  const limitInputs = { row, held: 3, configured: { limit: 10, ticket: 1 }, earlierWorkEnded: false };

  test('nothing is admitted under a limit that is not in the row yet, since a peer may still raise its grant', () => {
    expect(usableAmount(limitInputs)).toBe(3);
    expect(usableAmount({ ...limitInputs, configured: { limit: 9, ticket: 2 } })).toBe(0);
  });

  test('while grants exceed a lowered limit nothing starts before the earlier work has ended', () => {
    const lowered = { ...limitInputs, row: { ...row, limit: 5 } };
    expect(usableAmount(lowered)).toBe(0);
    expect(usableAmount({ ...lowered, earlierWorkEnded: true })).toBe(2);
  });
});

describe('TeamGrant', () => {
  const contextAt = (nowMs: number): GrantContext => ({
    ...inputs,
    nowMs,
    limitShare: () => Number.POSITIVE_INFINITY,
  });
  const version = (value: unknown, number: number) => ({ key: 'limit/a', version: number, value });

  test('a return whose response was lost counts as applied until the row has another version', () => {
    const grant = new TeamGrant();
    grant.recordRow(version(row, 5), 0);
    const step = grant.nextStep(contextAt(10_000), 500);
    expect(step).toMatchObject({ kind: 'write', reason: 'return', amount: 0 });
    if (step?.kind !== 'write') return;
    grant.recordSending(step, 'm#1');
    grant.recordOutcomeUnknown();
    expect(grant.usable(contextAt(10_001))).toBe(0);
    expect(grant.nextStep(contextAt(10_002), 500)).toEqual({ kind: 'read' });
    grant.recordRow(version(row, 5), 10_003);
    // The write may still be applied, since the row has the version that it requires.
    expect(grant.usable(contextAt(10_003))).toBe(0);
    expect(grant.nextStep(contextAt(10_004), 500)?.kind).toBe('write');
    grant.recordRow(version(row, 6), 10_005);
    expect(grant.usable(contextAt(10_005))).toBe(3);
  });

  test('a raise is usable only after it is confirmed', () => {
    const grant = new TeamGrant();
    grant.recordRow(version(row, 5), 0);
    grant.setNeed(0, 5);
    const step = grant.nextStep(contextAt(1), 500);
    if (step?.kind !== 'write') throw new Error('A write was expected.');
    grant.recordSending(step, 'm#1');
    expect(grant.usable(contextAt(2))).toBe(3);
    grant.recordCommitted(step, 6, 3);
    expect(grant.usable(contextAt(3))).toBe(6);
  });

  test('an idle grant is returned after two seconds, not earlier', () => {
    const grant = new TeamGrant();
    grant.recordRow(version(row, 5), 0);
    grant.setNeed(1_000, 3);
    grant.setNeed(1_100, 0);
    expect(grant.nextStep(contextAt(2_500), 500)).toBeNull();
    expect(grant.nextStep(contextAt(3_600), 500)).toMatchObject({ reason: 'return', amount: 0 });
  });
});
