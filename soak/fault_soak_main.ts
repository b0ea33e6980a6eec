/** Plays the fault soak with given or fresh seeds, and prints the seeds that fail. */
import { randomInt } from 'node:crypto';
import { parseArgs } from 'node:util';
import { playSeed, type SoakResult } from './fault_soak';

const MAX_SEED = 2 ** 31 - 1;

const { values } = parseArgs({
  options: {
    /** Number of seeds, from `seed` on. */
    seeds: { type: 'string', default: '10' },
    /** Plays fresh seeds for this long instead. */
    minutes: { type: 'string' },
    seed: { type: 'string' },
    seconds: { type: 'string', default: '12' },
    processes: { type: 'string', default: '4' },
    'jobs-per-second': { type: 'string', default: '12' },
  },
});

async function main(): Promise<void> {
  const { minutes } = values;
  const endAtMs = minutes === undefined ? Infinity : performance.now() + Number(minutes) * 60_000;
  const seedCount = minutes === undefined ? Number(values.seeds) : Infinity;
  const firstSeed = values.seed === undefined ? (minutes === undefined ? 1 : null) : Number(values.seed);
  const failedSeeds: number[] = [];
  let played = 0;
  for (; played < seedCount && performance.now() < endAtMs; played += 1) {
    const result = await playSeed({
      seed: firstSeed === null ? randomInt(MAX_SEED) : firstSeed + played,
      processes: Number(values.processes),
      durationMs: Number(values.seconds) * 1_000,
      jobsPerSecond: Number(values['jobs-per-second']),
    });
    print(result);
    if (result.violations.length > 0) failedSeeds.push(result.seed);
  }
  const failed = failedSeeds.length === 0 ? 'none' : failedSeeds.join(', ');
  process.stdout.write(`${played} seeds, failed: ${failed}\n`);
  process.exit(failedSeeds.length === 0 ? 0 : 1);
}

function print({ seed, violations, acceptedJobs, starts, faults, oddRows, logFiles }: SoakResult): void {
  process.stdout.write(
    `seed ${seed}: ${acceptedJobs} jobs accepted, ${starts} starts, ${faults.length} faults, ${oddRows.length} odd rows, ${violations.length} violations\n`,
  );
  if (violations.length === 0) return;
  const details = [
    ...violations.slice(0, 10),
    ...faults.map((fault) => `fault: ${fault}`),
    ...oddRows.map((row) => `odd row: ${row}`),
    ...logFiles,
  ];
  process.stdout.write(`  ${details.join('\n  ')}\n`);
}

void main();
