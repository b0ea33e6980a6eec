/**
 * Guards against maintenance that exceeds the availability budget, has an
 * instance in two pools, interrupts running work or never finishes. Random
 * failures of instances, racks, zones, the table and the platform, pauses of
 * members, moves and budget changes are injected while a wave is in progress.
 */
import fc from 'fast-check';
import { MaintenanceSimulation, type SimulationOptions } from '../bench/maintenance_simulation';
import { NO_PLATFORM_FAULTS } from '../platform/memory_platform';
import { NO_TABLE_FAULTS } from '../platform/memory_table_service';
import { GatherWavePolicy } from './gather_wave_policy';
import { SpreadWavePolicy } from './spread_wave_policy';

const BASE: Omit<SimulationOptions, 'newPolicy'> = {
  members: 3,
  instances: { a: 6, b: 3 },
  maxUnavailable: 2,
  perRack: 2,
  zones: 3,
  lagMs: 1_500,
  rebootMs: 8_000,
  hasLoad: true,
};
const RECOVERY_MS = 900_000;

const member = fc.nat({ max: 2 });
const instance = fc.nat({ max: 8 });
const fault = fc.oneof(
  fc.record({ kind: fc.constant('fail' as const), instance }),
  fc.record({ kind: fc.constant('failRack' as const), instance }),
  fc.record({ kind: fc.constant('failZone' as const), instance }),
  fc.record({ kind: fc.constant('recover' as const) }),
  fc.record({ kind: fc.constant('pause' as const), member }),
  fc.record({ kind: fc.constant('resume' as const) }),
  fc.record({
    kind: fc.constant('table' as const),
    member,
    down: fc.boolean(),
    delayMs: fc.constantFrom(0, 300),
  }),
  fc.record({
    kind: fc.constant('loseTable' as const),
    member,
    responses: fc.nat({ max: 3 }),
    requests: fc.nat({ max: 2 }),
  }),
  fc.record({
    kind: fc.constant('platform' as const),
    member,
    down: fc.boolean(),
    loseAnswers: fc.nat({ max: 2 }),
  }),
  fc.record({ kind: fc.constant('budget' as const), maxUnavailable: fc.integer({ min: 0, max: 3 }) }),
  fc.record({ kind: fc.constant('move' as const), instance, poolId: fc.constantFrom('a', 'b') }),
  fc.record({
    kind: fc.constant('work' as const),
    member,
    instance,
    durationMs: fc.integer({ min: 100, max: 40_000 }),
  }),
);
const step = fc.record({ afterMs: fc.integer({ min: 0, max: 80 }).map((n) => n * 100), fault });
type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never;
interface Step {
  readonly afterMs: number;
  readonly fault: Fault;
}

function failDomain(
  simulation: MaintenanceSimulation,
  index: number,
  domain: 'rack' | 'availabilityZone',
): void {
  const name = simulation.instances[index]?.[domain];
  for (const candidate of simulation.instances)
    if (candidate[domain] === name) simulation.platform.fail(candidate.instanceId);
}

function setFaults(simulation: MaintenanceSimulation, index: number, fault: Fault): void {
  const target = simulation.members[index];
  if (target === undefined) return;
  if (fault.kind === 'table')
    target.table.faults = { ...NO_TABLE_FAULTS, down: fault.down, requestDelayMs: fault.delayMs };
  if (fault.kind === 'loseTable')
    target.table.faults = { ...NO_TABLE_FAULTS, loseAnswers: fault.responses, loseRequests: fault.requests };
  if (fault.kind === 'platform')
    target.link.faults = { ...NO_PLATFORM_FAULTS, down: fault.down, loseAnswers: fault.loseAnswers };
}

function inject(simulation: MaintenanceSimulation, fault: Fault): void {
  const named = 'instance' in fault ? simulation.instances[fault.instance] : undefined;
  if (fault.kind === 'fail' && named) simulation.platform.fail(named.instanceId);
  else if (fault.kind === 'failRack') failDomain(simulation, fault.instance, 'rack');
  else if (fault.kind === 'failZone') failDomain(simulation, fault.instance, 'availabilityZone');
  else if (fault.kind === 'recover') recoverAll(simulation);
  else if (fault.kind === 'pause') simulation.pause(fault.member);
  else if (fault.kind === 'resume') simulation.resumeAll();
  else if (fault.kind === 'budget')
    simulation.set('pools', 'a', { poolId: 'a', maxUnavailable: fault.maxUnavailable, spare: false });
  else if (fault.kind === 'move' && named)
    simulation.set('instances', named.instanceId, { ...named, poolId: fault.poolId });
  else if (fault.kind === 'work' && named)
    simulation.beginWork(fault.member, named.instanceId, fault.durationMs);
  else if ('member' in fault) setFaults(simulation, fault.member, fault);
}

function recoverAll(simulation: MaintenanceSimulation): void {
  for (const { instanceId } of simulation.instances) simulation.platform.recover(instanceId);
}

/** Runs the steps, ends all faults and returns the violations found in the run. */
async function runSteps(
  steps: readonly Step[],
  newPolicy: SimulationOptions['newPolicy'],
): Promise<readonly string[]> {
  const simulation = await MaintenanceSimulation.start({ ...BASE, newPolicy });
  simulation.addWave('wave-1', 'a');
  for (const { afterMs, fault } of steps) {
    await simulation.run(afterMs);
    inject(simulation, fault);
  }
  simulation.resumeAll();
  recoverAll(simulation);
  simulation.set('pools', 'a', { poolId: 'a', maxUnavailable: 2, spare: false });
  for (const target of simulation.members) {
    target.table.faults = NO_TABLE_FAULTS;
    target.link.faults = NO_PLATFORM_FAULTS;
  }
  const isFinished = (): boolean => simulation.isComplete('wave-1') && simulation.isSettled();
  await simulation.run(RECOVERY_MS, isFinished);
  return isFinished()
    ? simulation.violations
    : [...simulation.violations, 'the wave or a move did not finish'];
}

describe('maintenance under faults', () => {
  test.each([
    ['spread', 610, () => new SpreadWavePolicy()],
    ['gather', 611, () => new GatherWavePolicy()],
  ])(
    'never exceeds the budget, has an instance in two pools or interrupts running work, and finishes: %s',
    async (_, seed, newPolicy) => {
      await fc.assert(
        fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 50, size: 'max' }), async (steps) => {
          expect(await runSteps(steps, newPolicy)).toEqual([]);
        }),
        { seed, numRuns: 30 },
      );
    },
    120_000,
  );
});
