/**
 * Guards against two processes that act around a handover, a storm of candidates, and work of a
 * worker that was only silent for a while being started again. As many processes, workers and
 * client accounts as on the largest deployment that is played.
 */
import { FAKE_LEASE_MS } from './_fake_worker_gateway';
import { PlacementHarness, STEP, type HarnessProcess } from './_placement_harness';

const PROCESSES = 97;
const WORKERS = 400;
const JOBS = 200;

function jobId(number: number): string {
  return number.toString(16).padStart(16, '0');
}

async function startAll(): Promise<{ harness: PlacementHarness; processes: readonly HarnessProcess[] }> {
  const harness = new PlacementHarness();
  await Promise.all(Array.from({ length: WORKERS }, (_, number) => harness.addWorker(`w${number}`)));
  const processes = Array.from({ length: PROCESSES }, (_, number) => harness.process(`front-${number}`));
  for (const process of processes) void process.run();
  return { harness, processes };
}

function leaders(processes: readonly HarnessProcess[]): readonly HarnessProcess[] {
  return processes.filter(({ leader }) => leader?.isActive() === true);
}

test('97 candidates: one leader at a time, each run started once, and few calls to the store', async () => {
  const { harness, processes } = await startAll();
  await harness.advance(500);
  for (let number = 0; number < JOBS; number += 1)
    await harness.submit(jobId(number), [{ ...STEP, taskCount: 4 }]);
  let mostLeaders = 0;
  for (let takeover = 0; takeover < 3; takeover += 1) {
    const callsBefore = processes.reduce((sum, { store }) => sum + store.calls, 0);
    for (let step = 0; step < 50; step += 1) {
      await harness.advance(20);
      mostLeaders = Math.max(mostLeaders, leaders(processes).length);
    }
    for (const worker of harness.gateway.all()) if (worker.runs.size > 0) worker.finishAll();
    leaders(processes)[0]?.kill();
    for (let step = 0; step < 250 && leaders(processes).length === 0; step += 1) await harness.advance(20);
    expect(leaders(processes)).toHaveLength(1);
    const calls = processes.reduce((sum, { store }) => sum + store.calls, 0) - callsBefore;
    // Five seconds at most; the store accepts 16,000 reads and 3,200 writes a second from all of them.
    expect(calls).toBeLessThan(5 * 1_000);
  }
  await harness.advance(2_000);
  expect(mostLeaders).toBe(1);
  const starts = harness.gateway.all().flatMap(({ starts: ids }) => ids);
  expect(starts).toHaveLength(4 * JOBS);
  for (let number = 0; number < JOBS; number += 1)
    expect(await harness.state(jobId(number))).toBe('completed');
}, 60_000);

test.each([
  { name: 'just under', silentMs: FAKE_LEASE_MS - 1_000, expected: 1 },
  { name: 'just over', silentMs: FAKE_LEASE_MS + 2_000, expected: 2 },
])(
  'a worker that is silent for $name its lease has its running work started $expected time(s)',
  async ({ silentMs, expected }) => {
    const harness = new PlacementHarness();
    const [first, second] = [await harness.addWorker('w1'), await harness.addWorker('w2')];
    void harness.process('a').run();
    await harness.submit(jobId(1), [STEP]);
    await harness.advance(200);
    const silent = first.starts.length > 0 ? first : second;
    silent.isReachable = false;
    await harness.advance(silentMs);
    silent.isReachable = true;
    await harness.advance(500);
    const runs = [...first.runs.values(), ...second.runs.values()];
    expect(runs).toHaveLength(1);
    expect(first.starts.length + second.starts.length).toBe(expected);
    for (const worker of [first, second]) worker.finishAll();
    await harness.advance(500);
    expect(await harness.state(jobId(1))).toBe('completed');
  },
);
