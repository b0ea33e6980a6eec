/** Guards against a job that runs although its cancelling was acknowledged before its submission was stored. */
import { JOB_TABLE, jobAddress } from '../scheduling/job_rows';
import { PlacementHarness, RETENTION_MS, STEP, type HarnessProcess } from './_placement_harness';

const JOB = '00000000000000aa';

interface Deployment {
  readonly harness: PlacementHarness;
  readonly leader: HarnessProcess;
}

async function startDeployment(): Promise<Deployment> {
  const harness = new PlacementHarness();
  await harness.addWorker('w1');
  const leader = harness.process('a');
  void leader.run();
  await harness.advance(500);
  return { harness, leader };
}

async function jobRowCount({ store }: HarnessProcess): Promise<number> {
  const { rows } = await store.read({ table: JOB_TABLE, partition: jobAddress(JOB).partition });
  return rows.length;
}

describe('a job that is cancelled before its submission is stored', () => {
  test.each([0, 5, 400, 4_000, RETENTION_MS])('never runs if it is stored %i ms later', async (delayMs) => {
    const { harness } = await startDeployment();
    expect(await harness.cancelIfKnown(JOB)).toBe(false);
    await harness.advance(delayMs);
    await harness.submit(JOB, [STEP, { ...STEP, after: [0] }]);
    await harness.advance(3_000);
    expect(harness.starts()).toEqual([]);
    expect(await harness.state(JOB)).toBe('cancelled');
  });

  test.each(['before', 'after'])('never runs if the leader changes %s it is stored', async (moment) => {
    const { harness, leader } = await startDeployment();
    await harness.cancel(JOB);
    await harness.advance(1_000);
    const changeLeader = async (): Promise<void> => {
      leader.kill();
      void harness.process('b').run();
      await harness.advance(4_000);
    };
    if (moment === 'before') await changeLeader();
    await harness.submit(JOB, [STEP]);
    if (moment === 'after') await changeLeader();
    await harness.advance(3_000);
    expect(harness.starts()).toEqual([]);
    expect(await harness.state(JOB)).toBe('cancelled');
  });

  test('never runs if no process leads when it is stored', async () => {
    const harness = new PlacementHarness();
    await harness.addWorker('w1');
    await harness.cancel(JOB);
    await harness.submit(JOB, [STEP]);
    void harness.process('a').run();
    await harness.advance(3_000);
    expect(harness.starts()).toEqual([]);
  });

  test.each([true, false])('leaves no rows behind (stored: %s)', async (isStored) => {
    const { harness, leader } = await startDeployment();
    await harness.cancel(JOB);
    await harness.advance(1_000);
    if (isStored) await harness.submit(JOB, [STEP]);
    await harness.advance(3 * RETENTION_MS);
    expect(await jobRowCount(leader)).toBe(0);
  });
});

describe('a job that has ended', () => {
  test('leaves no rows behind if it is cancelled after its own row was removed', async () => {
    const { harness, leader } = await startDeployment();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    for (const worker of harness.gateway.all()) worker.finishAll();
    await harness.advance(10_000);
    expect(await harness.cancelIfKnown(JOB)).toBe(false);
    await harness.advance(5_000);
    expect(await harness.state(JOB)).toBe('completed');
    await harness.advance(3 * RETENTION_MS);
    expect(await jobRowCount(leader)).toBe(0);
  });
});
