/** Runs the tests repeatedly for a given time, each time with another seed, and prints the seeds that fail. */
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { parseArgs } from 'node:util';

const { values } = parseArgs({
  options: {
    minutes: { type: 'string', default: '10' },
    /** First seed; random if absent. */
    seed: { type: 'string' },
  },
});

const MAX_SEED = 2 ** 31 - 1;

interface Run {
  readonly seed: number;
  readonly passed: boolean;
  readonly output: string;
}

function runTests(seed: number): Promise<Run> {
  const child = spawn(
    process.execPath,
    ['node_modules/jest/bin/jest.js', '--config', 'soak/jest.config.mjs', '--silent'],
    { env: { ...process.env, ENDIVESTAND_SOAK_SEED: String(seed) }, stdio: ['ignore', 'pipe', 'pipe'] },
  );
  const output: string[] = [];
  child.stdout.on('data', (chunk: Buffer) => output.push(chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => output.push(chunk.toString()));
  return new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('exit', (code) => {
      resolve({ seed, passed: code === 0, output: output.join('') });
    });
  });
}

async function main(): Promise<void> {
  const deadlineAtMs = performance.now() + Number(values.minutes) * 60_000;
  let seed = values.seed === undefined ? randomInt(MAX_SEED) : Number(values.seed);
  let runs = 0;
  const failedSeeds: number[] = [];
  do {
    const run = await runTests(seed);
    runs += 1;
    if (!run.passed) {
      failedSeeds.push(seed);
      process.stdout.write(`seed ${seed} failed\n${run.output}\n`);
    }
    seed = (seed + 1) % MAX_SEED;
  } while (performance.now() < deadlineAtMs);
  process.stdout.write(
    `${runs} runs, failed seeds: ${failedSeeds.length === 0 ? 'none' : failedSeeds.join(', ')}\n`,
  );
  process.exitCode = failedSeeds.length === 0 ? 0 : 1;
}

void main();
