import fc from 'fast-check';
import { EMPTY_CONFIGURATION, queueSchema, type FleetConfiguration } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { authorize } from './authorize';
import { hashKey } from './key_index';

const SEED = 11;
const TEAMS = ['north', 'south', 'west'];

interface KeyOwner {
  readonly teamId: string;
  readonly key: string;
}

function fleetWith(
  owners: readonly KeyOwner[],
  queueTeams: readonly string[],
  openToAll: boolean,
): FleetConfiguration {
  const queue = queueSchema.parse({ queueId: 'quotes', poolId: 'pool', teamIds: queueTeams, openToAll });
  const keys = owners.map(({ teamId, key }, index) => ({
    keyId: `key-${index}`,
    teamId,
    keyHashHex: hashKey(key),
  }));
  return {
    ...EMPTY_CONFIGURATION,
    queues: new Map([['quotes', queue]]),
    keys: new Map(keys.map((key) => [key.keyId, key])),
  };
}

function codeOf(action: () => unknown): number | null {
  try {
    action();
    return null;
  } catch (error) {
    if (error instanceof RequestError && error.outcome === 'not_run') return error.result.code;
    throw error;
  }
}

const ownersArbitrary = fc.uniqueArray(
  fc.record({ teamId: fc.constantFrom(...TEAMS), key: fc.string({ minLength: 1 }) }),
  {
    selector: ({ key }) => key,
  },
);

describe('authorize', () => {
  test('a request is authorized only for the team of its key, and only on queues that allow the team', () => {
    fc.assert(
      fc.property(
        ownersArbitrary,
        fc.subarray(TEAMS),
        fc.boolean(),
        fc.string({ minLength: 1 }),
        (owners, queueTeams, openToAll, unknownKey) => {
          const fleet = fleetWith(owners, queueTeams, openToAll);
          for (const { teamId, key } of owners) {
            const allowed = openToAll || queueTeams.length === 0 || queueTeams.includes(teamId);
            if (allowed) expect(authorize(fleet, 'quotes', key).teamId).toBe(teamId);
            else expect(codeOf(() => authorize(fleet, 'quotes', key))).toBe(1004);
          }
          fc.pre(!owners.some(({ key }) => key === unknownKey));
          expect(codeOf(() => authorize(fleet, 'quotes', unknownKey))).toBe(1003);
        },
      ),
      { seed: SEED },
    );
  });

  test('a removed key is rejected, even on queues open to all', () => {
    const owner = { teamId: 'north', key: 'k' };
    expect(authorize(fleetWith([owner], [], true), 'quotes', 'k').teamId).toBe('north');
    expect(codeOf(() => authorize(fleetWith([], [], true), 'quotes', 'k'))).toBe(1003);
  });

  test('a missing key is accepted only on queues open to all', () => {
    expect(authorize(fleetWith([], [], true), 'quotes', null).teamId).toBeNull();
    expect(codeOf(() => authorize(fleetWith([], [], false), 'quotes', null))).toBe(1002);
  });
});
