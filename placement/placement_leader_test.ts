/** Guards the life of jobs under one holder, and what a successor may do after its end. */
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { PlacementHarness, STEP, fakeWorkerEntry } from './_placement_harness';

const JOB = '00000000000000aa';

describe('PlacementHolder', () => {
  test('runs the steps of a job in their order and shows it as completed', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    void world.process('a').run();
    await world.submit(JOB, [
      { ...STEP, taskCount: 2 },
      { ...STEP, after: [0] },
    ]);
    await world.advance(200);
    expect(worker.starts).toEqual(['0.0.0#1', '0.0.1#1']);
    expect(await world.state(JOB)).toBe('running');
    worker.finishAll();
    await world.advance(200);
    expect(worker.starts).toContain('0.1.0#1');
    worker.finishAll();
    await world.advance(200);
    expect(await world.state(JOB)).toBe('completed');
    expect(worker.acknowledged).toBe(3);
  });

  test('a killed holder is followed by one that starts no running task again', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const first = world.process('a');
    void first.run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    first.kill();
    void world.process('b').run();
    await world.advance(6_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(worker.highestToken).toBe(2);
    worker.finishAll();
    await world.advance(500);
    expect(await world.state(JOB)).toBe('completed');
  });

  test('an end that nobody recorded is heard by the successor, and the task does not run again', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const first = world.process('a');
    void first.run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    first.kill();
    worker.finishAll();
    void world.process('b').run();
    await world.advance(6_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(await world.state(JOB)).toBe('completed');
  });

  test('a task on a worker out of reach starts elsewhere only after its lease has lapsed', async () => {
    const world = new PlacementHarness();
    const [w1, w2] = [await world.addWorker('w1'), await world.addWorker('w2')];
    void world.process('a').run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    const [cut, other] = w1.starts.length > 0 ? [w1, w2] : [w2, w1];
    cut.isReachable = false;
    await world.advance(9_000);
    expect(other.starts).toEqual([]);
    await world.advance(4_000);
    expect(other.starts).toEqual(['0.0.0#2']);
    expect(cut.leaseUntilMs).toBeLessThan(world.clock.monotonicMs());
  });

  test('a start whose answer was lost counts as running when the worker lists it', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    worker.lostStarts = 'done';
    void world.process('a').run();
    await world.submit(JOB, [STEP]);
    await world.advance(1_000);
    worker.lostStarts = 'none';
    await world.advance(3_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
  });

  test('a start that may still arrive is barred by a stop before the task starts again', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    worker.lostStarts = 'not_done';
    void world.process('a').run();
    await world.submit(JOB, [STEP]);
    await world.advance(300);
    worker.lostStarts = 'none';
    await world.advance(4_000);
    expect(worker.starts).toEqual(['0.0.0#2']);
    const late = worker.start({
      task: { jobId: JOB, occurrence: 0, step: 0, index: 0 },
      run: 1,
      spec: 's',
      leaseUntilMs: Infinity,
      fencingToken: 1,
      checkpoint: '',
      ticket: null,
    });
    expect(late.rejection).toBe('superseded');
  });

  test('a worker that starts again under its id has lost what ran there', async () => {
    const world = new PlacementHarness();
    await world.addWorker('w1');
    void world.process('a').run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    const reborn = world.gateway.add(fakeWorkerEntry('w1', { startedAtMs: 2 }));
    await world.register(reborn.entry);
    await world.advance(2_500);
    expect(reborn.starts).toEqual(['0.0.0#2']);
  });

  test('a cancelled job is stopped and starts nothing more', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    void world.process('a').run();
    await world.submit(JOB, [{ ...STEP, taskCount: 6 }]);
    await world.advance(200);
    await world.cancel(JOB);
    await world.advance(1_000);
    expect(worker.runs.size).toBe(0);
    expect(worker.starts).toHaveLength(4);
    expect(await world.state(JOB)).toBe('cancelled');
  });

  test('a task that fails as often as its queue allows fails the job', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    void world.process('a').run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    worker.finishAll('failed');
    await world.advance(200);
    worker.finishAll('failed');
    await world.advance(200);
    expect(worker.starts).toEqual(['0.0.0#1', '0.0.0#2']);
    expect(await world.state(JOB)).toBe('failed');
  });

  test('ends are not acknowledged while the store is down, and nothing starts', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const process = world.process('a');
    void process.run();
    await world.submit(JOB, [STEP, { ...STEP, after: [0] }]);
    await world.advance(200);
    process.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    worker.finishAll();
    await world.advance(8_000);
    expect(worker.acknowledged).toBe(0);
    expect(worker.starts).toEqual(['0.0.0#1']);
    process.store.faults = NO_ROW_STORE_FAULTS;
    await world.advance(1_500);
    expect(worker.starts).toEqual(['0.0.0#1', '0.1.0#1']);
  });

  test('leases of running tasks are extended while the store is down', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const process = world.process('a');
    void process.run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    process.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    await world.advance(25_000);
    expect(worker.runs.size).toBe(1);
  });

  test('lost answers of the store neither end the role nor repeat a start', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const process = world.process('a');
    void process.run();
    await world.advance(200);
    process.store.faults = { ...NO_ROW_STORE_FAULTS, loseAnswers: 2 };
    await world.submit(JOB, [STEP]);
    await world.advance(1_500);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(process.lostRoles).toBe(0);
  });

  test('a holder that was paused is refused by the workers and stops', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const first = world.process('a');
    void first.run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    first.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    void world.process('b').run();
    await world.advance(7_000);
    expect(first.lostRoles).toBe(1);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(worker.runs.size).toBe(1);
  });

  test('a role that is given back passes at once', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const first = world.process('a');
    void first.run();
    await world.advance(200);
    void world.process('b').run();
    await world.advance(100);
    await first.leader?.release();
    await world.advance(1_000);
    expect(worker.highestToken).toBe(2);
  });

  test('a role is given back although a transaction was under way when the process was stopped', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const first = world.process('a');
    void first.run();
    await world.advance(200);
    void world.process('b').run();
    first.store.faults = { ...NO_ROW_STORE_FAULTS, responseDelayMs: 600 };
    await world.submit(JOB, [STEP]);
    await world.advance(150);
    void first.leader?.release();
    await world.advance(2_500);
    expect(worker.highestToken).toBe(2);
  });

  test('a process that is told that the holder has resigned follows at once', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    const [first, second] = [world.process('a'), world.process('b')];
    void first.run();
    await world.advance(200);
    void second.run();
    await world.advance(100);
    first.leader?.resign();
    second.onLeaderResigned(1);
    await world.advance(200);
    expect(first.lostRoles).toBe(1);
    expect(worker.highestToken).toBe(2);
  });

  test('an unreadable entry names no worker, and the others hold', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    await world.writeEntry('w2', 'garbage');
    void world.process('a').run();
    await world.submit(JOB, [STEP]);
    await world.advance(300);
    expect(worker.starts).toEqual(['0.0.0#1']);
  });

  test('history that is gone is read anew without a second start', async () => {
    const world = new PlacementHarness();
    const worker = await world.addWorker('w1');
    void world.process('a').run();
    await world.submit(JOB, [STEP]);
    await world.advance(200);
    world.rows.compact();
    await world.submit('00000000000000bb', [STEP]);
    await world.advance(3_000);
    expect(worker.starts).toEqual(['0.0.0#1', '0.0.0#1']);
  });

  test('a draining worker gets no new tasks, and its lasting ones move', async () => {
    const world = new PlacementHarness();
    const [w1, w2] = [await world.addWorker('w1'), await world.addWorker('w2')];
    void world.process('a').run();
    await world.submit(JOB, [{ ...STEP, isLongRunning: true, maxUnavailable: 0 }]);
    await world.advance(500);
    const [from, to] = w1.starts.length > 0 ? [w1, w2] : [w2, w1];
    await world.register({ ...from.entry, state: 'draining' });
    await world.advance(2_000);
    expect(from.runs.size).toBe(0);
    expect(to.runs.size).toBe(1);
  });

  test('members of a gang start together under one run, and again together after a failure', async () => {
    const world = new PlacementHarness();
    const [w1, w2] = [await world.addWorker('w1'), await world.addWorker('w2')];
    void world.process('a').run();
    await world.submit(JOB, [{ ...STEP, taskCount: 6, isGang: true }]);
    await world.advance(300);
    expect([...w1.starts, ...w2.starts].sort()).toEqual([0, 1, 2, 3, 4, 5].map((index) => `0.0.${index}#1`));
    const [victim] = w1.runs.values();
    if (victim !== undefined) w1.finish(victim, 'failed');
    for (const run of [...w1.runs.values()]) w1.finish(run, 'broken');
    for (const run of [...w2.runs.values()]) w2.finish(run, 'broken');
    await world.advance(500);
    expect(world.starts().filter((start) => start.endsWith('#2'))).toHaveLength(6);
  });
});
