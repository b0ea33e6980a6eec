/** Roll-out time of wave policies against the lower bound, in virtual time. */
import { GatherWavePolicy } from '../maintenance/gather_wave_policy';
import { SpreadWavePolicy } from '../maintenance/spread_wave_policy';
import type { WavePolicy } from '../maintenance/wave_policy';
import { MaintenanceSimulation } from './maintenance_simulation';
import { seededRandom } from './seeded_random';

const INSTANCES = 24;
const MAX_UNAVAILABLE = 4;
const REBOOT_MS = 120_000;
const LIMIT_MS = 7_200_000;
/** A lost rack comes back after this time, in milliseconds. */
const REPAIR_MS = 180_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Instances, budget and reboot time alone. */
const LOWER_BOUND_MS = Math.ceil(INSTANCES / MAX_UNAVAILABLE) * REBOOT_MS;

function main(): Promise<void> {
  return [new SpreadWavePolicy(), new GatherWavePolicy()].reduce(
    (done, policy) => done.then(() => report(policy)),
    Promise.resolve(),
  );
}

async function report(policy: WavePolicy): Promise<void> {
  const undisturbed = await rollOutMs(policy, null);
  let lossesSum = 0;
  for (const seed of SEEDS) lossesSum += await rollOutMs(policy, seed);
  const ratio = (ms: number): string => (ms / LOWER_BOUND_MS).toFixed(3);
  process.stdout.write(
    `${policy.name}: undisturbed ${undisturbed} ms (${ratio(undisturbed)} of the lower bound ${LOWER_BOUND_MS} ms), ` +
      `with one rack lost for ${REPAIR_MS} ms ${Math.round(lossesSum / SEEDS.length)} ms ` +
      `(${ratio(lossesSum / SEEDS.length)}), mean of ${SEEDS.length} seeds\n`,
  );
}

/** Time from the ticket to the last instance in service; with a seed, a random rack fails at a random moment. */
async function rollOutMs(policy: WavePolicy, seed: number | null): Promise<number> {
  const simulation = await MaintenanceSimulation.start({
    members: 3,
    instances: { a: INSTANCES },
    maxUnavailable: MAX_UNAVAILABLE,
    perRack: 4,
    zones: 3,
    lagMs: 2_000,
    rebootMs: REBOOT_MS,
    newPolicy: () => policy,
  });
  const startedMs = simulation.clock.monotonicMs();
  simulation.addWave('wave', 'a');
  if (seed !== null) await loseRack(simulation, seed);
  await simulation.run(LIMIT_MS, () => simulation.isComplete('wave'));
  if (simulation.violations.length > 0) throw new Error(simulation.violations.join('\n'));
  return simulation.clock.monotonicMs() - startedMs;
}

async function loseRack(simulation: MaintenanceSimulation, seed: number): Promise<void> {
  const random = seededRandom(seed);
  await simulation.run(Math.floor(random() * 5) * REBOOT_MS + 50_000);
  const rack = `rack-${Math.floor(random() * (INSTANCES / 4)) + 1}`;
  const lost = simulation.instances.filter((instance) => instance.rack === rack);
  for (const { instanceId } of lost) simulation.platform.fail(instanceId);
  await simulation.run(REPAIR_MS);
  for (const { instanceId } of lost) simulation.platform.recover(instanceId);
}

void main();
