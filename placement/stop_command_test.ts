/** Guards against runs that go on because a worker has not carried out the command to stop them. */
import type { CommandFault, FakeWorker } from './_fake_worker_gateway';
import { PlacementHarness, STEP } from './_placement_harness';

const JOB = '00000000000000aa';
const LASTING = { ...STEP, isLongRunning: true };
/** The platform's limit for the end of a cancelled job's runs, in milliseconds. */
const CANCEL_LIMIT_MS = 3_200;

/** A long-running task with a run on the only worker. */
async function startTask(): Promise<{ readonly harness: PlacementHarness; readonly worker: FakeWorker }> {
  const harness = new PlacementHarness();
  const worker = await harness.addWorker('w1');
  void harness.process('a').run();
  await harness.submit(JOB, [LASTING]);
  await harness.advance(1_000);
  expect(worker.runs.size).toBe(1);
  return { harness, worker };
}

const FAULTS: readonly CommandFault[] = [
  'unhealthy',
  'malformed',
  'superseded',
  'expired',
  'no_room',
  'unreachable',
  'not_applied',
  'applied',
];

describe('a run of a cancelled job', () => {
  test.each(FAULTS)('is stopped although the worker answers two stops with %s', async (fault) => {
    const { harness, worker } = await startTask();
    worker.stopFaults = [fault, fault];
    await harness.cancel(JOB);
    await harness.advance(CANCEL_LIMIT_MS);
    expect(worker.runs.size).toBe(0);
    expect(await harness.state(JOB)).toBe('cancelled');
  });

  test('is stopped again if its worker lists it after it has confirmed the stop', async () => {
    const { harness, worker } = await startTask();
    worker.ignoresNextStop = true;
    await harness.cancel(JOB);
    await harness.advance(CANCEL_LIMIT_MS);
    expect(worker.runs.size).toBe(0);
  });

  test('is not stopped again once its end is listed', async () => {
    const { harness, worker } = await startTask();
    await harness.cancel(JOB);
    await harness.advance(10_000);
    expect(worker.stopCount).toBe(1);
  });
});
