/** Guards against a job that outgrows its row, and against one refused row that stops the jobs of everyone. */
import type { StepDefinition } from '../scheduling/job_definition';
import { JOB_TABLE, PLACEMENT_PARTITION, progressAddress, PROGRESS_TABLE } from '../scheduling/job_rows';
import { MemoryRowStore } from '../store/memory_row_store';
import { MAX_ROW_VALUE_BYTES } from '../store/row_store';
import { StoreClock } from '../store/store_clock';
import { LEADER_LEASE_MS, PlacementHarness, STEP } from './_placement_harness';
import { FencedWriter } from './fenced_writer';
import { encodeLease, LEASE_ADDRESS } from './lease_row';
import { momentOf } from './validity_window';

const LARGE = '00000000000000aa';
const SMALL = '00000000000000bb';
const TASK_MS = 100;

function storedBytes(harness: PlacementHarness, jobId: string): number {
  const { table, partition } = progressAddress(jobId);
  return harness.rows
    .read({ table, partition })
    .rows.filter(({ key }) => key.startsWith(jobId))
    .reduce((largest, { value }) => Math.max(largest, Buffer.byteLength(value)), 0);
}

/** Workers with room for everything; tasks end after a while unless they last. */
async function startDeployment(): Promise<PlacementHarness> {
  const harness = new PlacementHarness();
  const capacity = { processors: 4_000, memoryBytes: 1e9, accelerators: 0 };
  for (const workerId of ['w1', 'w2', 'w3', 'w4']) await harness.addWorker(workerId, { capacity });
  harness.gateway.afterStart = (worker, { task, run }) => {
    harness.clock.schedule(TASK_MS, () => {
      if (worker.hasRun({ task, run })) worker.finish({ task, run }, 'done');
    });
  };
  void harness.process('a').run();
  await harness.advance(1_000);
  return harness;
}

const SHAPES: readonly (readonly [name: string, steps: readonly StepDefinition[], occurrences: number])[] = [
  ['many occurrences', [{ ...STEP, taskCount: 8 }], 400],
  ['many tasks in one step', [{ ...STEP, taskCount: 2_000 }], 1],
  [
    'many tasks in two steps with checkpoints',
    [
      { ...STEP, taskCount: 900, savesProgress: true },
      { ...STEP, taskCount: 900, savesProgress: true, after: [0] },
    ],
    1,
  ],
  [
    'many overlapping occurrences of several steps',
    [STEP, { ...STEP, after: [0] }, { ...STEP, after: [1] }],
    500,
  ],
];

describe('a large job', () => {
  test.each(SHAPES)('of %s completes, and its row stays within its limit', async (_, steps, occurrences) => {
    const harness = await startDeployment();
    const repeat =
      occurrences === 1 ? null : { count: occurrences, firstMs: 0, intervalMs: steps.length > 1 ? 0 : 20 };
    await harness.submit(LARGE, steps, { repeat });
    let largest = 0;
    for (let passedMs = 0; passedMs < 30_000; passedMs += 250) {
      await harness.advance(250);
      largest = Math.max(largest, storedBytes(harness, LARGE));
      if ((await harness.state(LARGE)) === 'completed') break;
    }
    expect(await harness.state(LARGE)).toBe('completed');
    expect(largest).toBeLessThanOrEqual(MAX_ROW_VALUE_BYTES);
    await harness.submit(SMALL, [STEP]);
    await harness.advance(2_000);
    expect(await harness.state(SMALL)).toBe('completed');
  });

  test('goes on under the next leader where it was', async () => {
    const harness = new PlacementHarness();
    const capacity = { processors: 4_000, memoryBytes: 1e9, accelerators: 0 };
    for (const workerId of ['w1', 'w2']) await harness.addWorker(workerId, { capacity });
    const leader = harness.process('a');
    void leader.run();
    await harness.submit(
      LARGE,
      [
        { ...STEP, taskCount: 3 },
        { ...STEP, after: [0] },
      ],
      {
        repeat: { count: 3, firstMs: 0, intervalMs: 0 },
      },
    );
    await harness.advance(1_000);
    const [first] = harness.gateway.all().filter(({ runs }) => runs.size > 0);
    for (const run of [...(first?.runs.values() ?? [])].slice(0, 4)) first?.finish(run, 'done');
    await harness.advance(1_000);
    leader.kill();
    void harness.process('b').run();
    await harness.advance(4_000);
    for (let round = 0; round < 6; round += 1) {
      for (const worker of harness.gateway.all()) worker.finishAll('done');
      await harness.advance(1_000);
    }
    expect(await harness.state(LARGE)).toBe('completed');
    const starts = harness.starts();
    expect(new Set(starts).size).toBe(starts.length);
    expect(starts).toHaveLength(12);
  });
});

describe('a row that the store refuses for good', () => {
  test('fails its own job only, under this leader and the next', async () => {
    const harness = new PlacementHarness();
    await harness.addWorker('w1');
    harness.gateway.afterStart = (worker, { task, run }) => {
      harness.clock.schedule(TASK_MS, () => {
        worker.finish({ task, run }, 'done');
      });
    };
    const leader = harness.process('a');
    void leader.run();
    harness.rows.refuses = ({ table, key }) => table === PROGRESS_TABLE && key === LARGE;
    await harness.submit(LARGE, [STEP]);
    await harness.submit(SMALL, [STEP]);
    await harness.advance(5_000);
    expect(await harness.state(SMALL)).toBe('completed');
    expect(leader.counters.snapshot().get('placement.row_refused:progress')).toBeGreaterThan(0);
    leader.kill();
    const successor = harness.process('b');
    void successor.run();
    const next = '00000000000000cc';
    await harness.submit(next, [STEP]);
    await harness.advance(6_000);
    expect(await harness.state(next)).toBe('completed');
    expect(harness.starts()).toHaveLength(2);
  });

  test('fails no job while the store refuses everything', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const leader = harness.process('a');
    void leader.run();
    await harness.submit(SMALL, [STEP]);
    await harness.advance(500);
    harness.rows.refuses = ({ table }) => table !== JOB_TABLE;
    worker.finishAll('done');
    await harness.advance(1_200);
    harness.rows.refuses = () => false;
    await harness.advance(6_000);
    expect(leader.counters.snapshot().get('placement.row_refused:progress')).toBeUndefined();
    expect(await harness.state(SMALL)).toBe('completed');
  });

  test('is not written for its size, and the rows beside it are', async () => {
    const harness = new PlacementHarness();
    const clock = harness.clock;
    const store = new MemoryRowStore(harness.rows, clock);
    const row = { nodeName: 'a', processId: 'a1', epoch: 1, sequence: 0 };
    const created = await store.transact({
      conditions: [],
      writes: [{ ...LEASE_ADDRESS, value: encodeLease(row) }],
    });
    const version = created.kind === 'committed' ? created.version : 0;
    const refused: string[] = [];
    const writer = new FencedWriter({
      store,
      clock,
      lease: { row, version, sentAt: momentOf(clock) },
      leaseMs: LEADER_LEASE_MS,
      storeClock: new StoreClock(),
      onRowRefused: ({ address }) => refused.push(address.key),
      onLost: () => undefined,
    });
    const address = { table: PROGRESS_TABLE, partition: PLACEMENT_PARTITION };
    writer.stage({ ...address, key: LARGE, value: 'x'.repeat(MAX_ROW_VALUE_BYTES + 1) });
    writer.stage({ ...address, key: SMALL, value: 'y' });
    await clock.advanceAsync(500);
    expect(refused).toEqual([LARGE]);
    expect((await store.readOne({ ...address, key: SMALL }))?.value).toBe('y');
    expect(await store.readOne({ ...address, key: LARGE })).toBeNull();
    writer.close();
  });
});
