/** Guards against an accepted job that stands still after the operator has renamed, moved or removed its queue. */
import type { QueueRule } from '../scheduling/fleet_rules';
import { LASTING } from './_lasting_deployment';
import { PlacementHarness, QUEUE, STEP, type HarnessProcess } from './_placement_harness';
import type { FakeWorker } from './_fake_worker_gateway';

const JOB = '00000000000000aa';
const TWO_STEPS = [STEP, { ...STEP, after: [0] }];

interface Deployment {
  readonly harness: PlacementHarness;
  readonly leader: HarnessProcess;
  /** A worker of the pool of the queue. */
  readonly worker: FakeWorker;
  /** A worker of another pool. */
  readonly other: FakeWorker;
}

async function startDeployment(): Promise<Deployment> {
  const harness = new PlacementHarness();
  setRules(harness, [QUEUE], ['p', 'other']);
  const worker = await harness.addWorker('w1');
  const other = await harness.addWorker('w2', { poolId: 'other' });
  const leader = harness.process('a');
  void leader.run();
  await harness.advance(200);
  return { harness, leader, worker, other };
}

function setRules(
  harness: PlacementHarness,
  queues: readonly QueueRule[],
  poolIds: readonly string[] = ['p', 'other'],
): void {
  harness.rules = {
    ...harness.rules,
    version: harness.rules.version + 1,
    queues: new Map(queues.map((queue) => [queue.queueId, queue])),
    pools: new Map(poolIds.map((poolId) => [poolId, { poolId, spare: false }])),
  };
}

interface Change {
  readonly name: string;
  readonly queues: readonly QueueRule[];
  readonly poolIds?: readonly string[];
  readonly runsOn: 'worker' | 'other';
}

const RENAMED = { ...QUEUE, queueId: 'q2' };
const CHANGES: readonly Change[] = [
  { name: 'is renamed', queues: [RENAMED], runsOn: 'worker' },
  { name: 'is removed', queues: [], runsOn: 'worker' },
  { name: 'is replaced by one of another pool', queues: [{ ...RENAMED, poolId: 'other' }], runsOn: 'worker' },
  { name: 'gets another pool', queues: [{ ...QUEUE, poolId: 'other' }], runsOn: 'other' },
  { name: 'gets another path', queues: [{ ...QUEUE, pathPrefix: '/later/' }], runsOn: 'worker' },
  { name: 'leaves its name to an unrelated queue', queues: [{ ...QUEUE, host: 'x' }], runsOn: 'worker' },
  {
    name: 'is replaced, and its pool removed',
    queues: [{ ...RENAMED, poolId: 'other' }],
    poolIds: ['other'],
    runsOn: 'other',
  },
];

describe.each(CHANGES)('an accepted job whose queue $name', ({ queues, poolIds, runsOn }) => {
  test.each(['before it is discovered', 'while its first step runs'])('goes on: %s', async (moment) => {
    const deployment = await startDeployment();
    const { harness, worker, other } = deployment;
    await harness.submit(JOB, TWO_STEPS);
    if (moment === 'while its first step runs') await harness.advance(200);
    setRules(harness, queues, poolIds);
    await harness.advance(500);
    for (const each of [worker, other]) each.finishAll();
    await harness.advance(500);
    expect(deployment[runsOn].starts).toContain('0.1.0#1');
    for (const each of [worker, other]) each.finishAll();
    await harness.advance(500);
    expect(await harness.state(JOB)).toBe('completed');
  });

  test('goes on under a leader that has never seen the queue', async () => {
    const deployment = await startDeployment();
    const { harness, leader, worker, other } = deployment;
    await harness.submit(JOB, TWO_STEPS);
    await harness.advance(200);
    leader.kill();
    setRules(harness, queues, poolIds);
    void harness.process('b').run();
    for (const each of [worker, other]) each.finishAll();
    await harness.advance(8_000);
    expect(deployment[runsOn].starts).toContain('0.1.0#1');
  });
});

describe('an accepted job whose queue is removed', () => {
  test('fails after as many failed runs as its queue allowed', async () => {
    const { harness, worker } = await startDeployment();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    setRules(harness, []);
    for (let run = 1; run <= QUEUE.maxAttempts; run += 1) {
      worker.finishAll('failed');
      await harness.advance(500);
    }
    expect(worker.starts).toHaveLength(QUEUE.maxAttempts);
    expect(await harness.state(JOB)).toBe('failed');
  });

  test('has its long-running tasks started again', async () => {
    const { harness, worker } = await startDeployment();
    await harness.submit(JOB, [LASTING]);
    await harness.advance(200);
    setRules(harness, []);
    worker.finishAll('failed');
    await harness.advance(3_000);
    expect(worker.runs.size).toBe(1);
  });

  test('counts as pending at the queue that now serves its callers', async () => {
    const { harness } = await startDeployment();
    await harness.submit(JOB, [{ ...STEP, demand: { ...STEP.demand, processors: 99 } }]);
    setRules(harness, [RENAMED]);
    await harness.advance(3_000);
    expect(await harness.pending('q2')).toBe(1);
  });
});
