/** Guards against starts over a worker's capacity that shrinks while it runs, and against stops for it. */
import type { WorkerEntry } from '../scheduling/worker_entry';
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { fakeWorkerEntry, PlacementHarness, STEP } from './_placement_harness';

const JOB = '00000000000000aa';
const LATER_JOB = '00000000000000bb';
const LONG_RUNNING = '00000000000000ff';

const SHRINK_DELAY_MS = 50;

function capacityOf(processors: number): Pick<WorkerEntry, 'capacity'> {
  return { capacity: { processors, memoryBytes: 1_000, accelerators: 0 } };
}

describe('a worker whose capacity changes while it runs', () => {
  test('gets no start over a capacity that shrank after the start was planned', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const process = harness.process('a');
    process.store.faults = { ...NO_ROW_STORE_FAULTS, responseDelayMs: 300 };
    void process.run();
    await harness.advance(4_000);
    await harness.submit(JOB, [{ ...STEP, taskCount: 4 }]);
    // The leader reads the entry after it has planned the starts and before they are stored.
    await harness.advance(SHRINK_DELAY_MS);
    await harness.register(fakeWorkerEntry('w1', capacityOf(1)));
    await harness.advance(5_000);
    expect(worker.starts).toHaveLength(1);
  });

  test('runs on what it had started, and gets new tasks once there is room again', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    void harness.process('a').run();
    await harness.submit(JOB, [{ ...STEP, taskCount: 4 }]);
    await harness.advance(500);
    await harness.register(fakeWorkerEntry('w1', capacityOf(2)));
    await harness.submit(LATER_JOB, [STEP]);
    await harness.advance(2_000);
    expect(worker.starts).toHaveLength(4);
    expect(worker.runs.size).toBe(4);
    const [first, second] = [...worker.runs.values()];
    for (const run of [first, second]) if (run !== undefined) worker.finish(run, 'done');
    await harness.advance(1_000);
    expect(worker.starts).toHaveLength(4);
    await harness.register(fakeWorkerEntry('w1', capacityOf(3)));
    await harness.advance(1_000);
    expect(worker.starts).toHaveLength(5);
  });

  test('gets no start over it from the successor of a killed leader', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const first = harness.process('a');
    void first.run();
    await harness.submit(JOB, [{ ...STEP, taskCount: 3 }]);
    await harness.advance(500);
    first.kill();
    await harness.register(fakeWorkerEntry('w1', capacityOf(2)));
    await harness.submit(LATER_JOB, [STEP]);
    void harness.process('b').run();
    await harness.advance(8_000);
    expect(worker.starts).toHaveLength(3);
    expect(worker.runs.size).toBe(3);
  });

  test('loses no runs for a long-running task that another worker can take', async () => {
    const harness = new PlacementHarness();
    const shrunk = await harness.addWorker('w1');
    const other = await harness.addWorker('w2');
    void harness.process('a').run();
    await harness.submit(JOB, [{ ...STEP, taskCount: 8 }]);
    await harness.advance(500);
    await harness.register(fakeWorkerEntry('w1', capacityOf(2)));
    await harness.advance(200);
    // The worker whose entry was read first is considered first.
    await harness.register(other.entry);
    await harness.submit(LONG_RUNNING, [{ ...STEP, isLongRunning: true }]);
    await harness.advance(3_000);
    expect(shrunk.runs.size).toBe(4);
    expect(other.starts.filter((start) => start === '0.0.0#1')).not.toHaveLength(0);
    expect(harness.runningCount()).toBe(8);
  });

  test('keeps its runs and gets none while its entry is malformed', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(500);
    await harness.writeEntry('w1', 'garbage');
    await harness.submit(LATER_JOB, [STEP]);
    await harness.advance(3_000);
    expect(worker.starts).toHaveLength(1);
    expect(worker.runs.size).toBe(1);
    await harness.register(fakeWorkerEntry('w1'));
    await harness.advance(1_000);
    expect(worker.starts).toHaveLength(2);
  });
});
