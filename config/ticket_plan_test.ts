/** Guards against tickets that overwrite later ones, are accepted although invalid or move instances directly. */
import { EMPTY_CONFIGURATION } from '../model/fleet';
import { ticketSchema } from '../model/ticket';
import { applyChange, type ConfigurationState } from './change';
import { ticketDifferences } from './ticket_difference';
import { planTicket, type TicketPlan } from './ticket_plan';

const EMPTY_STATE: ConfigurationState = { fleet: EMPTY_CONFIGURATION, ticketNumbers: new Map() };
const TEAM = { teamId: 'desk', shareWeight: 1, upperLimit: 10 };
const POOL = { poolId: 'quotes', maxUnavailable: 1 };

function instance(instanceId: string, port: number): Readonly<Record<string, unknown>> {
  return { instanceId, poolId: 'quotes', host: '10.0.0.1', port, availabilityZone: 'zone-1', rack: 'rack-1' };
}

function plan(state: ConfigurationState, ticket: unknown): TicketPlan {
  return planTicket(state, ticketSchema.parse(ticket));
}

function after(state: ConfigurationState, ticket: unknown): ConfigurationState {
  const planned = plan(state, ticket);
  if (planned.kind === 'invalid') throw new Error(planned.problems.join(' '));
  return applyChange(state, planned.change);
}

function problemsOf(ticket: unknown): readonly string[] {
  const planned = plan(EMPTY_STATE, ticket);
  return planned.kind === 'invalid' ? planned.problems : [];
}

describe('planTicket', () => {
  test('a late ticket with a lower number does not change what a higher one has set', () => {
    const state = after(EMPTY_STATE, { number: 9, set: { teams: [TEAM] } });
    const late = plan(state, { number: 7, set: { teams: [{ ...TEAM, upperLimit: 99 }], pools: [POOL] } });
    expect(late).toMatchObject({ kind: 'change', superseded: ['teams/desk'] });
    const next = after(state, { number: 7, set: { teams: [{ ...TEAM, upperLimit: 99 }], pools: [POOL] } });
    expect(next.fleet.teams.get('desk')?.upperLimit).toBe(10);
    expect(next.fleet.pools.has('quotes')).toBe(true);
  });

  test('a late ticket with a lower number does not recreate what a higher one has removed', () => {
    const set = after(EMPTY_STATE, { number: 1, set: { teams: [TEAM] } });
    const removed = after(set, { number: 9, remove: { teams: ['desk'] } });
    expect(after(removed, { number: 7, set: { teams: [TEAM] } }).fleet.teams.has('desk')).toBe(false);
  });

  test.each([
    [
      'a key of a team that does not exist',
      { keys: [{ keyId: 'k', teamId: 'none', keyHashHex: 'a'.repeat(64) }] },
    ],
    ['a queue of a pool that does not exist', { queues: [{ queueId: 'q', poolId: 'none' }] }],
    ['one machine under two ids', { pools: [POOL], instances: [instance('a', 80), instance('b', 80)] }],
    [
      'one secret for two keys',
      {
        teams: [TEAM],
        keys: [
          { keyId: 'k1', teamId: 'desk', keyHashHex: 'a'.repeat(64) },
          { keyId: 'k2', teamId: 'desk', keyHashHex: 'a'.repeat(64) },
        ],
      },
    ],
    ['an object twice', { teams: [TEAM, TEAM] }],
  ])('rejects %s', (_, set) => {
    expect(problemsOf({ number: 1, set })).toHaveLength(1);
  });

  test('a new instance starts in its configured pool, and a ticket that changes the pool does not move it directly', () => {
    const pools = [POOL, { poolId: 'billing', maxUnavailable: 1 }];
    const created = after(EMPTY_STATE, { number: 1, set: { pools, instances: [instance('a', 80)] } });
    expect(created.fleet.instanceStates.get('a')).toMatchObject({ poolId: 'quotes', state: 'serving' });
    const moved = after(created, {
      number: 2,
      set: { instances: [{ ...instance('a', 80), poolId: 'billing' }] },
    });
    expect(moved.fleet.instanceStates.get('a')?.poolId).toBe('quotes');
  });
});

test('a dry run lists exactly the fields that would change', () => {
  const state = after(EMPTY_STATE, { number: 1, set: { teams: [TEAM] } });
  const planned = plan(state, { number: 2, set: { teams: [{ ...TEAM, upperLimit: 20 }] } });
  if (planned.kind === 'invalid') throw new Error('The ticket should be valid.');
  expect(ticketDifferences(state, planned.change)).toEqual([
    { object: 'teams/desk', field: 'upperLimit', before: 10, after: 20 },
  ]);
});
