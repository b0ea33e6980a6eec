/** Guards against rows that stay for ever, and against a swept job that looks new. */
import { JOB_TABLE, jobAddress, PLACEMENT_PARTITION, PROGRESS_TABLE } from '../scheduling/job_rows';
import { PlacementHarness, RETENTION_MS, STEP, type HarnessProcess } from './_placement_harness';

const JOB = '00000000000000aa';

async function rowsOf({ store }: HarnessProcess): Promise<number> {
  const { partition } = jobAddress(JOB);
  const jobs = await store.read({ table: JOB_TABLE, partition });
  const progress = await store.read({ table: PROGRESS_TABLE, partition: PLACEMENT_PARTITION });
  return jobs.rows.length + progress.rows.length;
}

async function worldWithEndedJob() {
  const world = new PlacementHarness();
  const worker = await world.addWorker('w1');
  const first = world.process('a');
  void first.run();
  await world.submit(JOB, [STEP]);
  await world.advance(200);
  worker.finishAll();
  await world.advance(200);
  expect(await world.state(JOB)).toBe('completed');
  return { world, first };
}

describe('rows of ended jobs', () => {
  test('the row of the job goes soon, its state stays as long as promised', async () => {
    const { world, first } = await worldWithEndedJob();
    await world.advance(RETENTION_MS);
    expect(await world.state(JOB)).toBe('completed');
    expect(await rowsOf(first)).toBe(1);
    await world.advance(2 * RETENTION_MS);
    expect(await world.state(JOB)).toBeNull();
    expect(await rowsOf(first)).toBe(0);
  });

  test('a successor removes the progress that a lost holder has left', async () => {
    const { world, first } = await worldWithEndedJob();
    await world.advance(10_000);
    first.kill();
    const second = world.process('b');
    void second.run();
    await world.advance(6_000);
    expect(await world.state(JOB)).toBe('completed');
    await world.advance(3 * RETENTION_MS);
    expect(await rowsOf(second)).toBe(0);
  });

  test('a submission that is repeated after the row is gone does not run the job again', async () => {
    const { world, first } = await worldWithEndedJob();
    await world.advance(10_000);
    expect(await rowsOf(first)).toBe(1);
    await world.submit(JOB, [STEP]);
    await world.advance(1_000);
    first.kill();
    void world.process('b').run();
    await world.advance(6_000);
    expect(world.starts()).toHaveLength(1);
    expect(await world.state(JOB)).toBe('completed');
  });

  test('the row of a job stays while its end is not stored', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const first = world.process('a');
    void first.run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    first.store.faults = { ...first.store.faults, down: true };
    worker.finishAll();
    await world.advance(1_000);
    first.store.faults = { ...first.store.faults, down: false };
    first.kill();
    const second = world.process('b');
    void second.run();
    await world.advance(6_000);
    expect(await world.state(JOB)).toBe('completed');
  });
});
