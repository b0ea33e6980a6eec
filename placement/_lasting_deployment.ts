/** A deployment of two workers, one of which runs a long-running task. */
import { PlacementHarness, STEP, type HarnessProcess } from './_placement_harness';
import type { FakeWorker } from './_fake_worker_gateway';

export const LASTING_JOB = '00000000000000aa';
export const LASTING = { ...STEP, isLongRunning: true };

/** Adds the instance of a worker to the list, or replaces it. */
export function listInstance(harness: PlacementHarness, workerId: string, state: 'up' | 'down' = 'up'): void {
  harness.instances.instances.set(`m-${workerId}`, {
    instanceId: `m-${workerId}`,
    poolId: 'p',
    state,
    availabilityZone: 'z',
    labels: ['a', 'r1'],
    capacity: { processors: 4, memoryBytes: 1_000, accelerators: 0 },
    workerId,
  });
}

export interface LastingDeployment {
  readonly harness: PlacementHarness;
  readonly leader: HarnessProcess;
  /** The worker with the run of the task. */
  readonly runner: FakeWorker;
  readonly other: FakeWorker;
}

/** `instanceIds`: whether the entries of the workers name their instances. */
export async function startLastingTask(instanceIds: 'own' | 'missing' = 'own'): Promise<LastingDeployment> {
  const harness = new PlacementHarness();
  const fields = instanceIds === 'missing' ? { instanceId: '' } : {};
  const workers = [await harness.addWorker('w1', fields), await harness.addWorker('w2', fields)];
  for (const { entry } of workers) listInstance(harness, entry.workerId);
  const leader = harness.process('a');
  void leader.run();
  await harness.submit(LASTING_JOB, [LASTING]);
  await harness.advance(1_000);
  const [runner, other] = [...workers].sort((a, b) => b.runs.size - a.runs.size);
  if (runner === undefined || other === undefined) throw new Error('The harness has no workers.');
  if (runner.runs.size !== 1) throw new Error('The task does not run.');
  return { harness, leader, runner, other };
}

/** Number of workers with a run under a valid lease. */
function runningUnderLease({ runner, other }: LastingDeployment): number {
  return [runner, other].filter((worker) => worker.hasRunUnderLease()).length;
}

/** Advances the clock and returns the highest number of runs under valid leases. */
export async function maxRunning(deployment: LastingDeployment, ms: number): Promise<number> {
  let max = 0;
  for (let passedMs = 0; passedMs < ms; passedMs += 100) {
    await deployment.harness.advance(100);
    max = Math.max(max, runningUnderLease(deployment));
  }
  return max;
}
