/** Guards against waves that do not complete or exceed the budget, and against moves that interrupt work. */
import { MaintenanceSimulation, type SimulationOptions } from '../bench/maintenance_simulation';
import { waveRecordKey, waveRecordSchema } from './wave_record';
import { GatherWavePolicy } from './gather_wave_policy';
import { PAUSED_STALE_LIST, PAUSED_UNPLANNED } from './tick_plan';
import { NO_PLATFORM_FAULTS } from '../platform/memory_platform';

const OPTIONS: SimulationOptions = {
  members: 2,
  instances: { a: 6, b: 3 },
  maxUnavailable: 2,
  perRack: 2,
  zones: 3,
  lagMs: 1_000,
  rebootMs: 8_000,
  newPolicy: () => new GatherWavePolicy(),
  hasLoad: true,
};

function pausedReason(simulation: MaintenanceSimulation): string | null | undefined {
  const [row] = simulation.store.read({ keys: [waveRecordKey('wave-1')] });
  return row && waveRecordSchema.parse(row.value).paused;
}

describe('waves', () => {
  test('a wave reboots every instance and completes', async () => {
    const simulation = await MaintenanceSimulation.start(OPTIONS);
    simulation.addWave('wave-1', 'a');
    await simulation.run(300_000, () => simulation.isComplete('wave-1'));
    expect(simulation.violations).toEqual([]);
    expect(simulation.isComplete('wave-1')).toBe(true);
  });

  test('a wave pauses while unplanned losses use up the budget and resumes by itself', async () => {
    const simulation = await MaintenanceSimulation.start(OPTIONS);
    for (const id of ['a-005', 'a-006']) simulation.platform.fail(id);
    await simulation.run(3_000);
    simulation.addWave('wave-1', 'a');
    await simulation.run(30_000);
    expect(pausedReason(simulation)).toBe(PAUSED_UNPLANNED);
    expect(simulation.store.states().every(({ state }) => state === 'serving')).toBe(true);
    for (const id of ['a-005', 'a-006']) simulation.platform.recover(id);
    await simulation.run(300_000, () => simulation.isComplete('wave-1'));
    expect(simulation.isComplete('wave-1')).toBe(true);
    expect(pausedReason(simulation)).toBeNull();
  });

  test('no drain begins without a recent platform list, and the wave is recorded as paused for that reason', async () => {
    const simulation = await MaintenanceSimulation.start(OPTIONS);
    for (const { link } of simulation.members) link.faults = { ...NO_PLATFORM_FAULTS, down: true };
    await simulation.run(6_000);
    simulation.addWave('wave-1', 'a');
    await simulation.run(20_000);
    expect(pausedReason(simulation)).toBe(PAUSED_STALE_LIST);
    expect(simulation.store.states().every(({ state }) => state === 'serving')).toBe(true);
  });
});

describe('moves', () => {
  test('an instance with work in progress changes its pool only after the work has ended', async () => {
    const simulation = await MaintenanceSimulation.start(OPTIONS);
    const moved = simulation.instances.find(({ instanceId }) => instanceId === 'b-001');
    simulation.set('instances', 'b-001', { ...moved, poolId: 'a' });
    await simulation.run(120_000, () => simulation.isSettled());
    expect(simulation.isSettled()).toBe(true);
    expect(simulation.violations).toEqual([]);
  });
});
