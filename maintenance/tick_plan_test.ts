/** Guards against returning an instance to service while its reboot is incomplete or may still be started. */
import { EMPTY_CONFIGURATION, instanceStateSchema, poolSchema } from '../model/fleet';
import type { OperationState } from '../platform/pool_operations';
import { indexByInstance } from './availability_budget';
import { GatherWavePolicy } from './gather_wave_policy';
import { observeListing } from './platform_view';
import { planTick, type TickPlan } from './tick_plan';

const REBOOTING = instanceStateSchema.parse({ instanceId: 'i1', poolId: 'a', state: 'rebooting', epoch: 2 });
const ENTRY = {
  instanceId: 'i1',
  cause: 'wave' as const,
  bootId: 'b1',
  waveId: 'w',
  operationId: 'op-1',
  revision: 3,
};

/** The plan for one rebooting instance that is listed live with `bootId`. */
function planReboot(operation: OperationState | null, bootId: string): TickPlan {
  const instances = [{ instanceId: 'i1', bootId, state: 'live' as const }];
  return planTick({
    poolId: 'a',
    fleet: {
      ...EMPTY_CONFIGURATION,
      pools: new Map([['a', poolSchema.parse({ poolId: 'a', maxUnavailable: 1 })]]),
      instanceStates: new Map([['i1', REBOOTING]]),
    },
    entries: indexByInstance([ENTRY]),
    records: new Map(),
    view: observeListing(null, { lagMs: 0, instances }, 0),
    nowMs: 0,
    isIdle: () => true,
    operations: new Map(operation === null ? [] : [['op-1', operation]]),
    policy: new GatherWavePolicy(),
    newOperationId: () => 'op-2',
  });
}

describe('planTick', () => {
  test('an instance returns to service once its reboot is done and it is listed live with a new boot id', () => {
    const plan = planReboot('done', 'b2');
    expect(plan.states.get('i1')).toMatchObject({ state: 'serving', epoch: 3 });
    expect(plan.entries.size).toBe(0);
    expect(plan.records.get('w')?.done).toEqual(['i1']);
  });

  test('a new boot id alone does not end the reboot, because a late call of an earlier role holder could still start it', () => {
    for (const operation of [null, 'running'] as const) {
      const plan = planReboot(operation, 'b2');
      expect(plan.states.size).toBe(0);
      expect(plan.entries.get('i1')).toEqual(ENTRY);
    }
  });

  test('an instance stays out of service while its reboot is done but the list still shows the old boot id', () => {
    expect(planReboot('done', 'b1').states.size).toBe(0);
  });

  test('a failed reboot is retried with a new operation id', () => {
    expect(planReboot('failed', 'b1').entries.get('i1')?.operationId).toBe('op-2');
  });
});
