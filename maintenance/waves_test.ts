import { MaintenanceSimulation, type SimulationOptions } from '../bench/maintenance_simulation';
import { SpreadWavePolicy } from './spread_wave_policy';

const OPTIONS: SimulationOptions = {
  members: 2,
  instances: { a: 6, b: 3 },
  maxUnavailable: 2,
  perRack: 2,
  zones: 3,
  lagMs: 1_000,
  rebootMs: 8_000,
  newPolicy: () => new SpreadWavePolicy(),
};

describe('waves', () => {
  test('reboot every instance once and end', async () => {
    const simulation = await MaintenanceSimulation.start(OPTIONS);
    simulation.addWave('wave-1', 'a');
    await simulation.run(300_000, () => simulation.isComplete('wave-1'));
    expect(simulation.violations).toEqual([]);
    expect(simulation.isComplete('wave-1')).toBe(true);
  });
});
