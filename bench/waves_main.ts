/** Compares the rollout times of the wave policies with the lower bound, in virtual time. */
import { GatherWavePolicy } from '../maintenance/gather_wave_policy';
import { SpreadWavePolicy } from '../maintenance/spread_wave_policy';
import type { WavePolicy } from '../maintenance/wave_policy';
import { MaintenanceSimulation } from './maintenance_simulation';
import { seededRandom } from './seeded_random';

const INSTANCE_COUNT = 24;
const MAX_UNAVAILABLE = 4;
const REBOOT_MS = 120_000;
/** Longest simulated time of a rollout, in milliseconds. */
const ROLLOUT_LIMIT_MS = 7_200_000;
/** Time after which the instances of a failed rack recover, in milliseconds. */
const REPAIR_MS = 180_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Rollout time if the only cost were the reboots, with as many in parallel as the availability budget allows. */
const LOWER_BOUND_MS = Math.ceil(INSTANCE_COUNT / MAX_UNAVAILABLE) * REBOOT_MS;

function main(): Promise<void> {
  return [new SpreadWavePolicy(), new GatherWavePolicy()].reduce(
    (done, policy) => done.then(() => report(policy)),
    Promise.resolve(),
  );
}

/** Prints the rollout time of a policy without failures, and the mean over the seeds with a rack failure. */
async function report(policy: WavePolicy): Promise<void> {
  const undisturbedMs = await measureRolloutMs(policy, null);
  let rackLossSumMs = 0;
  for (const seed of SEEDS) rackLossSumMs += await measureRolloutMs(policy, seed);
  const ratio = (ms: number): string => (ms / LOWER_BOUND_MS).toFixed(3);
  process.stdout.write(
    `${policy.name}: without failures ${undisturbedMs} ms (${ratio(undisturbedMs)} of the lower bound ${LOWER_BOUND_MS} ms), ` +
      `with one rack down for ${REPAIR_MS} ms ${Math.round(rackLossSumMs / SEEDS.length)} ms ` +
      `(${ratio(rackLossSumMs / SEEDS.length)}), mean of ${SEEDS.length} seeds\n`,
  );
}

/** Time from adding the wave to its completion; with a seed, a random rack fails at a random time. */
async function measureRolloutMs(policy: WavePolicy, seed: number | null): Promise<number> {
  const simulation = await MaintenanceSimulation.start({
    members: 3,
    instances: { a: INSTANCE_COUNT },
    maxUnavailable: MAX_UNAVAILABLE,
    perRack: 4,
    zones: 3,
    lagMs: 2_000,
    rebootMs: REBOOT_MS,
    newPolicy: () => policy,
  });
  const startedAtMs = simulation.clock.monotonicMs();
  simulation.addWave('wave', 'a');
  if (seed !== null) await loseRack(simulation, seed);
  await simulation.run(ROLLOUT_LIMIT_MS, () => simulation.isComplete('wave'));
  if (simulation.violations.length > 0) throw new Error(simulation.violations.join('\n'));
  return simulation.clock.monotonicMs() - startedAtMs;
}

/** Lets a random rack fail at a random time and recover after {@link REPAIR_MS}. */
async function loseRack(simulation: MaintenanceSimulation, seed: number): Promise<void> {
  const random = seededRandom(seed);
  await simulation.run(Math.floor(random() * 5) * REBOOT_MS + 50_000);
  const rack = `rack-${Math.floor(random() * (INSTANCE_COUNT / 4)) + 1}`;
  const lost = simulation.instances.filter((instance) => instance.rack === rack);
  for (const { instanceId } of lost) simulation.platform.fail(instanceId);
  await simulation.run(REPAIR_MS);
  for (const { instanceId } of lost) simulation.platform.recover(instanceId);
}

void main();
