/** Guards against a batch of changes that leads to another state than its changes one by one. */
import fc from 'fast-check';
import { EMPTY_CONFIGURATION } from '../model/fleet';
import { applyChange, applyChanges, type Change, type ConfigurationState } from './change';

/** Fixed, so that a failing run can be repeated. */
const SEED = 23;

const objectArbitrary = fc.record({
  kind: fc.constantFrom('pools' as const, 'teams' as const, 'instanceStates' as const),
  objectId: fc.constantFrom('a', 'b', 'c'),
  value: fc.oneof(fc.constant(null), fc.record({ size: fc.nat(9) })),
});

const changesArbitrary = fc
  .array(
    fc.record({ ticketNumber: fc.option(fc.nat(99)), objects: fc.array(objectArbitrary, { maxLength: 4 }) }),
  )
  .map((changes): readonly Change[] => changes.map((change, index) => ({ ...change, revision: index + 1 })));

const EMPTY_STATE: ConfigurationState = { fleet: EMPTY_CONFIGURATION, ticketNumbers: new Map() };

describe('applyChanges', () => {
  test('a batch results in the same state as applying its changes one by one', () => {
    fc.assert(
      fc.property(changesArbitrary, fc.nat(20), (changes, cut) => {
        const start = applyChanges(EMPTY_STATE, changes.slice(0, cut));
        const rest = changes.slice(cut);
        expect(applyChanges(start, rest)).toEqual(rest.reduce(applyChange, start));
      }),
      { seed: SEED },
    );
  });

  test('applying a change does not modify the previous state', () => {
    const before = applyChange(EMPTY_STATE, {
      revision: 1,
      ticketNumber: 1,
      objects: [{ kind: 'pools', objectId: 'a', value: { poolId: 'a' } }],
    });
    applyChange(before, {
      revision: 2,
      ticketNumber: 2,
      objects: [{ kind: 'pools', objectId: 'a', value: null }],
    });
    expect(before.fleet.pools.has('a')).toBe(true);
    expect(before.ticketNumbers.get('pools/a')).toBe(1);
  });
});
