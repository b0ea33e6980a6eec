/** Measures what the placement leader costs: processor time per task, pauses of its loop, memory. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import path from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { parseArgs } from 'node:util';
import { MemoryCounters } from '../../telemetry/counters';
import { CpuProfile } from './_cpu_profile';
import type { LeaderLoad, StandinAddresses } from './leader_load';
import { leadUnderLoad } from './leader_under_load';

/** Time before the measurement, for connections to open and code to be compiled, in milliseconds. */
const WARM_UP_MS = 4_000;

/** Functions of the profile that are printed. */
const PROFILE_ROWS = 45;

interface TaskCounts {
  readonly started: number;
  readonly ended: number;
}

const { values } = parseArgs({
  options: {
    workers: { type: 'string', default: '250' },
    starts: { type: 'string', default: '500' },
    seconds: { type: 'string', default: '8' },
    profile: { type: 'boolean', default: false },
  },
});

async function countTasks(standins: ChildProcess): Promise<TaskCounts> {
  standins.send('count');
  const [counts] = (await once(standins, 'message')) as [TaskCounts];
  return counts;
}

async function main(load: LeaderLoad): Promise<void> {
  const standins = fork(path.join(__dirname, 'leader_standins_main.js'), [JSON.stringify(load)]);
  const [addresses] = (await once(standins, 'message')) as [StandinAddresses];
  await leadUnderLoad(addresses, new MemoryCounters());
  await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
  const pauses = monitorEventLoopDelay({ resolution: 1 });
  const profile = values.profile ? new CpuProfile() : null;
  const before = await countTasks(standins);
  profile?.start();
  pauses.enable();
  const cpu = process.cpuUsage();
  await new Promise((resolve) => setTimeout(resolve, load.seconds * 1_000));
  const { user, system } = process.cpuUsage(cpu);
  pauses.disable();
  const after = await countTasks(standins);
  const cpuMs = (user + system) / 1_000;
  const ended = after.ended - before.ended;
  const figures = {
    ...load,
    startedPerSecond: Math.round((after.started - before.started) / load.seconds),
    endedPerSecond: Math.round(ended / load.seconds),
    coreShare: Number((cpuMs / (load.seconds * 1_000)).toFixed(3)),
    cpuMsPerTask: ended === 0 ? null : Number((cpuMs / ended).toFixed(3)),
    pauseP50Ms: Number((pauses.percentile(50) / 1e6).toFixed(1)),
    pauseP99Ms: Number((pauses.percentile(99) / 1e6).toFixed(1)),
    pauseMaxMs: Number((pauses.max / 1e6).toFixed(1)),
    residentMb: Math.round(process.memoryUsage().rss / 1e6),
  };
  process.stdout.write(`${JSON.stringify(figures)}\n`);
  const functions = (await profile?.stop()) ?? [];
  for (const { location, selfMs } of functions.slice(0, PROFILE_ROWS))
    process.stdout.write(`${selfMs.toFixed(0).padStart(7)} ms  ${location}\n`);
  standins.disconnect();
  process.exit(0);
}

void main({
  workers: Number(values.workers),
  startsPerSecond: Number(values.starts),
  seconds: Number(values.seconds),
});
