/** Guards against lost, repeated or wrongly ended tasks under one leader and after a change of the leader. */
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { PlacementHarness, STEP, fakeWorkerEntry } from './_placement_harness';

const JOB = '00000000000000aa';

describe('PlacementLeader', () => {
  test('runs the steps of a job in order and completes it', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    void harness.process('a').run();
    await harness.submit(JOB, [
      { ...STEP, taskCount: 2 },
      { ...STEP, after: [0] },
    ]);
    await harness.advance(200);
    expect(worker.starts).toEqual(['0.0.0#1', '0.0.1#1']);
    expect(await harness.state(JOB)).toBe('running');
    worker.finishAll();
    await harness.advance(200);
    expect(worker.starts).toContain('0.1.0#1');
    worker.finishAll();
    await harness.advance(200);
    expect(await harness.state(JOB)).toBe('completed');
    expect(worker.acknowledgedEndNumber).toBe(3);
  });

  test('the successor of a killed leader does not restart running tasks', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const first = harness.process('a');
    void first.run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    first.kill();
    void harness.process('b').run();
    await harness.advance(6_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(worker.highestToken).toBe(2);
    worker.finishAll();
    await harness.advance(500);
    expect(await harness.state(JOB)).toBe('completed');
  });

  test('a successor plans within four calls to a slow store', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const successor = harness.process('a');
    successor.store.faults = { ...NO_ROW_STORE_FAULTS, responseDelayMs: 200 };
    await harness.submit(JOB, [STEP]);
    void successor.run();
    // Reading the lease, acquiring it, reading all tables, recording the start.
    await harness.advance(4 * 200 + 100);
    expect(worker.starts).toEqual(['0.0.0#1']);
  });

  test('a run that a worker reports in an undecodable entry is neither lost nor started again', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const other = await harness.addWorker('w2');
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    const runner = worker.starts.length > 0 ? worker : other;
    runner.hidesRuns = true;
    await harness.advance(8_000);
    expect([...worker.starts, ...other.starts]).toEqual(['0.0.0#1']);
    runner.hidesRuns = false;
    runner.finishAll();
    await harness.advance(500);
    expect(await harness.state(JOB)).toBe('completed');
  });

  test('undecodable rows of a wave and of burst heights do not stop the jobs', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    for (const table of ['waves', 'bursts', 'queues', 'progress'])
      await harness.writeRow({ table, partition: 'placement', key: '1', value: '{"begun":' });
    harness.waves.set(1, { waveNumber: 1, instanceIds: ['m-w1'], timeLimitMs: 1_000, maxConcurrent: 1 });
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(2_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(harness.instances.commands).toEqual([]);
  });

  test("a row under another form of a wave's number does not stand for the wave", async () => {
    const harness = new PlacementHarness();
    await harness.addWorker('w1');
    const value = JSON.stringify({ begun: ['m-w1'], isCompleted: true, orderedAtMs: 1 });
    await harness.writeRow({ table: 'waves', partition: 'placement', key: '1.0', value });
    harness.instances.instances.set('m-w1', {
      instanceId: 'm-w1',
      poolId: 'p',
      state: 'up',
      availabilityZone: 'z',
      labels: [],
      capacity: { processors: 4, memoryBytes: 1_000, accelerators: 0 },
      workerId: 'w1',
    });
    harness.waves.set(1, { waveNumber: 1, instanceIds: ['m-w1'], timeLimitMs: 1_000, maxConcurrent: 1 });
    void harness.process('a').run();
    await harness.advance(3_000);
    expect(harness.instances.commands).toContain('maintain m-w1 1');
  });

  test('an unexpected error of a planning pass ends the leadership, not the process', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const first = harness.process('a');
    await first.run();
    const { rules } = harness;
    Object.defineProperty(harness, 'rules', {
      configurable: true,
      get: () => {
        throw new RangeError('unexpected');
      },
    });
    await harness.submit(JOB, [STEP]);
    await harness.advance(300);
    expect(first.leadershipLossCount).toBe(1);
    expect(first.counters.snapshot().get('placement.step_failed')).toBe(1);
    Object.defineProperty(harness, 'rules', { value: rules });
    void harness.process('b').run();
    await harness.advance(6_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
  });

  test('an undecodable lease keeps all processes waiting and ends none', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const lease = { table: 'lease', partition: 'placement', key: 'placement' };
    await harness.writeRow({ ...lease, value: '{"epoch":"seven"}' });
    const run = harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(5_000);
    expect(worker.starts).toEqual([]);
    await harness.writeRow({ ...lease, value: null });
    await harness.advance(5_000);
    await run;
    expect(worker.starts).toEqual(['0.0.0#1']);
  });

  test('the undecodable row of a job does not stop the other jobs', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    void harness.process('a').run();
    await harness.advance(200);
    await harness.writeRow({
      table: 'jobs',
      partition: '0',
      key: '00000000000000ff',
      value: '{"encoding":9}',
    });
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    expect(worker.starts).toEqual(['0.0.0#1']);
  });

  test('a successor receives the end of a run that was not recorded, and the task does not run again', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const first = harness.process('a');
    void first.run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    first.kill();
    worker.finishAll();
    void harness.process('b').run();
    await harness.advance(6_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(await harness.state(JOB)).toBe('completed');
  });

  test('a task of an unreachable worker starts on another worker only after the lease has expired', async () => {
    const harness = new PlacementHarness();
    const [w1, w2] = [await harness.addWorker('w1'), await harness.addWorker('w2')];
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    const [unreachable, other] = w1.starts.length > 0 ? [w1, w2] : [w2, w1];
    unreachable.isReachable = false;
    await harness.advance(9_000);
    expect(other.starts).toEqual([]);
    await harness.advance(4_000);
    expect(other.starts).toEqual(['0.0.0#2']);
    expect(unreachable.leaseUntilMs).toBeLessThan(harness.clock.monotonicMs());
  });

  test('a start whose response was lost counts as running when the worker reports the run', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    worker.lostStarts = 'applied';
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(1_000);
    worker.lostStarts = 'none';
    await harness.advance(3_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
  });

  test('a start that may still arrive is invalidated by a stop before the task starts again', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    worker.lostStarts = 'not_applied';
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(300);
    worker.lostStarts = 'none';
    await harness.advance(4_000);
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

  test('a worker that restarts under its id has lost its runs', async () => {
    const harness = new PlacementHarness();
    await harness.addWorker('w1');
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    const restarted = harness.gateway.add(fakeWorkerEntry('w1', { startedAtMs: 2 }));
    await harness.register(restarted.entry);
    await harness.advance(2_500);
    expect(restarted.starts).toEqual(['0.0.0#2']);
  });

  test('a cancelled job is stopped and starts no more tasks', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    void harness.process('a').run();
    await harness.submit(JOB, [{ ...STEP, taskCount: 6 }]);
    await harness.advance(200);
    await harness.cancel(JOB);
    await harness.advance(1_000);
    expect(worker.runs.size).toBe(0);
    expect(worker.starts).toHaveLength(4);
    expect(await harness.state(JOB)).toBe('cancelled');
  });

  test('a job fails when one of its tasks has failed as often as the queue allows', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    worker.finishAll('failed');
    await harness.advance(200);
    worker.finishAll('failed');
    await harness.advance(200);
    expect(worker.starts).toEqual(['0.0.0#1', '0.0.0#2']);
    expect(await harness.state(JOB)).toBe('failed');
  });

  test('while the store is down, ends are not acknowledged and nothing starts', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const process = harness.process('a');
    void process.run();
    await harness.submit(JOB, [STEP, { ...STEP, after: [0] }]);
    await harness.advance(200);
    process.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    worker.finishAll();
    await harness.advance(8_000);
    expect(worker.acknowledgedEndNumber).toBe(0);
    expect(worker.starts).toEqual(['0.0.0#1']);
    process.store.faults = NO_ROW_STORE_FAULTS;
    await harness.advance(1_500);
    expect(worker.starts).toEqual(['0.0.0#1', '0.1.0#1']);
  });

  test('while the store is down, the leases of running tasks are renewed', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const process = harness.process('a');
    void process.run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    process.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    await harness.advance(25_000);
    expect(worker.runs.size).toBe(1);
  });

  test('lost responses of the store neither end the leadership nor repeat a start', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const process = harness.process('a');
    void process.run();
    await harness.advance(200);
    process.store.faults = { ...NO_ROW_STORE_FAULTS, loseAnswers: 2 };
    await harness.submit(JOB, [STEP]);
    await harness.advance(1_500);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(process.leadershipLossCount).toBe(0);
  });

  test('a leader that lost contact with the store is fenced by the workers and stops', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const first = harness.process('a');
    void first.run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    first.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    void harness.process('b').run();
    await harness.advance(7_000);
    expect(first.leadershipLossCount).toBe(1);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(worker.runs.size).toBe(1);
  });

  test('a released lease is acquired by another process at once', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const first = harness.process('a');
    void first.run();
    await harness.advance(200);
    void harness.process('b').run();
    await harness.advance(100);
    await first.leader?.release();
    await harness.advance(1_000);
    expect(worker.highestToken).toBe(2);
  });

  test('the lease is released although a transaction was in flight when the process was stopped', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const first = harness.process('a');
    void first.run();
    await harness.advance(200);
    void harness.process('b').run();
    first.store.faults = { ...NO_ROW_STORE_FAULTS, responseDelayMs: 600 };
    await harness.submit(JOB, [STEP]);
    await harness.advance(150);
    void first.leader?.release();
    await harness.advance(2_500);
    expect(worker.highestToken).toBe(2);
  });

  test('a process that is notified of the resignation of the leader takes over at once', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const [first, second] = [harness.process('a'), harness.process('b')];
    void first.run();
    await harness.advance(200);
    void second.run();
    await harness.advance(100);
    first.leader?.resign();
    second.onLeaderResigned(1);
    await harness.advance(200);
    expect(first.leadershipLossCount).toBe(1);
    expect(worker.highestToken).toBe(2);
  });

  test('an undecodable worker entry is ignored, and the other workers are used', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    await harness.writeEntry('w2', 'garbage');
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(300);
    expect(worker.starts).toEqual(['0.0.0#1']);
  });

  test('after the change history is compacted, jobs are read again without a second start', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    void harness.process('a').run();
    await harness.submit(JOB, [STEP]);
    await harness.advance(200);
    harness.rows.compact();
    await harness.submit('00000000000000bb', [STEP]);
    await harness.advance(3_000);
    expect(worker.starts).toEqual(['0.0.0#1', '0.0.0#1']);
  });

  test('a draining worker gets no new tasks, and its long-running ones move', async () => {
    const harness = new PlacementHarness();
    const [w1, w2] = [await harness.addWorker('w1'), await harness.addWorker('w2')];
    void harness.process('a').run();
    await harness.submit(JOB, [{ ...STEP, isLongRunning: true, maxUnavailable: 0 }]);
    await harness.advance(500);
    const [from, to] = w1.starts.length > 0 ? [w1, w2] : [w2, w1];
    await harness.register({ ...from.entry, state: 'draining' });
    await harness.advance(2_000);
    expect(from.runs.size).toBe(0);
    expect(to.runs.size).toBe(1);
  });

  test('members of a gang start together with one run number, and again together after a failure', async () => {
    const harness = new PlacementHarness();
    const [w1, w2] = [await harness.addWorker('w1'), await harness.addWorker('w2')];
    void harness.process('a').run();
    await harness.submit(JOB, [{ ...STEP, taskCount: 6, isGang: true }]);
    await harness.advance(300);
    expect([...w1.starts, ...w2.starts].sort()).toEqual([0, 1, 2, 3, 4, 5].map((index) => `0.0.${index}#1`));
    const [failing] = w1.runs.values();
    if (failing !== undefined) w1.finish(failing, 'failed');
    for (const run of [...w1.runs.values()]) w1.finish(run, 'broken');
    for (const run of [...w2.runs.values()]) w2.finish(run, 'broken');
    await harness.advance(500);
    expect(harness.starts().filter((start) => start.endsWith('#2'))).toHaveLength(6);
  });
});
