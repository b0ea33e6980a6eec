/** Guards against rows that stay for ever, and against a swept job that looks new. */
import { JOB_TABLE, jobAddress, PLACEMENT_PARTITION, PROGRESS_TABLE } from '../scheduling/job_rows';
import { PlacementWorld, RETENTION_MS, STEP, type WorldProcess } from './_placement_world';

const JOB = '00000000000000aa';

async function rowsOf({ store }: WorldProcess): Promise<number> {
  const { partition } = jobAddress(JOB);
  const jobs = await store.read({ table: JOB_TABLE, partition });
  const progress = await store.read({ table: PROGRESS_TABLE, partition: PLACEMENT_PARTITION });
  return jobs.rows.length + progress.rows.length;
}

async function worldWithEndedJob() {
  const world = new PlacementWorld();
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
  test('stay as long as promised and are removed later', async () => {
    const { world, first } = await worldWithEndedJob();
    await world.advance(RETENTION_MS);
    expect(await world.state(JOB)).toBe('completed');
    expect(await rowsOf(first)).toBe(2);
    await world.advance(2 * RETENTION_MS);
    expect(await world.state(JOB)).toBeNull();
    expect(await rowsOf(first)).toBe(0);
  });

  test('progress that a lost holder has left alone is removed by its successor', async () => {
    const { world, first } = await worldWithEndedJob();
    await first.store.transact({ conditions: [], writes: [{ ...jobAddress(JOB), value: null }] });
    first.kill();
    const second = world.process('b');
    void second.run();
    await world.advance(6_000);
    expect(await rowsOf(second)).toBe(0);
  });
});
