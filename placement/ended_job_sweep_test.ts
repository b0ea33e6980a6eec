/**
 * Guards against rows that are never removed, and against an ended job that runs again
 * after its row was removed.
 */
import { JOB_TABLE, jobAddress, PLACEMENT_PARTITION, PROGRESS_TABLE } from '../scheduling/job_rows';
import { PlacementHarness, RETENTION_MS, STEP, type HarnessProcess } from './_placement_harness';

const JOB = '00000000000000aa';

async function rowCount({ store }: HarnessProcess): Promise<number> {
  const { partition } = jobAddress(JOB);
  const jobs = await store.read({ table: JOB_TABLE, partition });
  const progress = await store.read({ table: PROGRESS_TABLE, partition: PLACEMENT_PARTITION });
  return jobs.rows.length + progress.rows.length;
}

async function harnessWithEndedJob() {
  const harness = new PlacementHarness();
  const worker = await harness.addWorker('w1');
  const first = harness.process('a');
  void first.run();
  await harness.submit(JOB, [STEP]);
  await harness.advance(200);
  worker.finishAll();
  await harness.advance(200);
  expect(await harness.state(JOB)).toBe('completed');
  return { harness, first };
}

describe('rows of ended jobs', () => {
  test('the row of the job is removed soon, and its state is retained as long as promised', async () => {
    const { harness, first } = await harnessWithEndedJob();
    await harness.advance(RETENTION_MS);
    expect(await harness.state(JOB)).toBe('completed');
    expect(await rowCount(first)).toBe(1);
    await harness.advance(2 * RETENTION_MS);
    expect(await harness.state(JOB)).toBeNull();
    expect(await rowCount(first)).toBe(0);
  });

  test('a successor removes the progress of jobs that ended under a killed leader', async () => {
    const { harness, first } = await harnessWithEndedJob();
    await harness.advance(10_000);
    first.kill();
    const second = harness.process('b');
    void second.run();
    await harness.advance(6_000);
    expect(await harness.state(JOB)).toBe('completed');
    await harness.advance(3 * RETENTION_MS);
    expect(await rowCount(second)).toBe(0);
  });

  test('a submission that is repeated after the row was removed does not run the job again', async () => {
    const { harness, first } = await harnessWithEndedJob();
    await harness.advance(10_000);
    expect(await rowCount(first)).toBe(1);
    await harness.submit(JOB, [STEP]);
    await harness.advance(1_000);
    first.kill();
    void harness.process('b').run();
    await harness.advance(6_000);
    expect(harness.starts()).toHaveLength(1);
    expect(await harness.state(JOB)).toBe('completed');
  });

  test('the row of a job is not removed before its end is stored', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const first = harness.process('a');
    void first.run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    first.store.faults = { ...first.store.faults, down: true };
    worker.finishAll();
    await harness.advance(1_000);
    first.store.faults = { ...first.store.faults, down: false };
    first.kill();
    const second = harness.process('b');
    void second.run();
    await harness.advance(6_000);
    expect(await harness.state(JOB)).toBe('completed');
  });
});
