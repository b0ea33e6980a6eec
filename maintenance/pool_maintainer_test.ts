/** Guards against a drain that is committed after the role, the rows or the configuration have changed. */
import type { Change, ConfigurationState } from '../config/change';
import type { CommitExtras } from '../config/change_log';
import type { ChangeBuilder } from '../config/configuration_service';
import { VirtualClock } from '../kernel/virtual_clock';
import { SimulatedMemberList, SimulatedMembership } from '../bench/_simulated_members';
import { EMPTY_CONFIGURATION, instanceSchema, instanceStateSchema, poolSchema } from '../model/fleet';
import { MemoryPoolOperations, PlatformConnection } from '../platform/memory_platform';
import { MemoryTableService } from '../platform/memory_table_service';
import { SimulatedPlatform } from '../platform/simulated_platform';
import { TableStore } from '../platform/table_store';
import { RoleLeases } from '../roles/role_lease';
import { MemoryCounters } from '../telemetry/counters';
import { InFlightCounter } from '../bench/_in_flight_counter';
import { GatherWavePolicy } from './gather_wave_policy';
import { InFlightTracker } from './in_flight_tracker';
import { observeListing } from './platform_view';
import { PoolMaintainer } from './pool_maintainer';

const INSTANCE = { instanceId: 'i1', poolId: 'a', host: 'h', port: 1, availabilityZone: 'z', rack: 'r' };

function stateAt(revision: number, maxUnavailable: number): ConfigurationState {
  const fleet = {
    ...EMPTY_CONFIGURATION,
    revision,
    pools: new Map([['a', poolSchema.parse({ poolId: 'a', maxUnavailable })]]),
    instances: new Map([['i1', instanceSchema.parse(INSTANCE)]]),
    instanceStates: new Map([
      ['i1', instanceStateSchema.parse({ instanceId: 'i1', poolId: 'a', state: 'serving', epoch: 0 })],
    ]),
    waves: new Map([['w', { waveId: 'w', poolId: 'a', instanceIds: ['i1'] }]]),
  };
  return { fleet, ticketNumbers: new Map() };
}

/**
 * Ticks once. The plan is made from revision 4; `committing` is the configuration at
 * the time of the commit.
 */
async function tickOnce(committing: ConfigurationState) {
  const clock = new VirtualClock();
  const store = new TableStore();
  const table = new MemoryTableService(store, clock);
  const list = new SimulatedMemberList(clock, store);
  const member = list.register('entry-1');
  const membership = new SimulatedMembership(list, () => member);
  const platform = new SimulatedPlatform({ clock, lagMs: 0, rebootMs: 1_000 });
  platform.add('i1');
  const view = observeListing(null, platform.list(), 0);
  const built: { readonly change: Change | null; readonly extras: CommitExtras | undefined }[] = [];
  const planned = stateAt(4, 1);
  const maintainer = new PoolMaintainer('a', {
    clock,
    table,
    configuration: {
      refresh: () => Promise.resolve(),
      state: () => planned,
      change: (build: ChangeBuilder, extras?: CommitExtras) => {
        const change = build(committing);
        built.push({ change, extras });
        return Promise.resolve(change === null ? 'unchanged' : 'committed');
      },
    },
    roles: new RoleLeases(table, membership),
    membership,
    operations: new MemoryPoolOperations(new PlatformConnection(platform, clock)),
    watch: new InFlightTracker({
      clock,
      counts: new InFlightCounter(),
      membership,
      fleet: () => planned.fleet,
    }),
    policy: new GatherWavePolicy(),
    counters: new MemoryCounters(),
    log: () => undefined,
    view: () => view,
    newOperationId: () => 'op-1',
  });
  await maintainer.tick();
  return { built, store };
}

describe('PoolMaintainer', () => {
  test('a drain is conditional on the role and on the version of the availability row', async () => {
    const { built, store } = await tickOnce(stateAt(4, 1));
    const [role] = store.read({ keys: ['role/maintenance/a'] });
    expect(built[0]?.change?.objects).toEqual([
      expect.objectContaining({
        objectId: 'i1',
        value: expect.objectContaining({ state: 'draining' }) as unknown,
      }),
    ]);
    expect(built[0]?.extras?.conditions).toEqual(
      expect.arrayContaining([
        { key: 'role/maintenance/a', version: role?.version },
        { key: 'availability/a', version: null },
      ]),
    );
  });

  test('a drain planned before an operator lowered the budget is not committed', async () => {
    const { built } = await tickOnce(stateAt(5, 0));
    expect(built.map(({ change }) => change)).toEqual([null]);
  });
});
