/** Guards against a run that ends, or calls and writes without need, while the contact with its worker is interrupted. */
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { FAKE_LEASE_MS } from './_fake_worker_gateway';
import { LASTING, LASTING_JOB, listInstance, maxRunning, startLastingTask } from './_lasting_deployment';
import { PlacementHarness, STEP } from './_placement_harness';
import { LEASE_END_TABLE } from './lease_end_rows';

function countRenewals(harness: PlacementHarness): { count: () => number; reset: () => void } {
  let count = 0;
  const original = harness.gateway.renewLease.bind(harness.gateway);
  harness.gateway.renewLease = (address, command) => {
    count += 1;
    return original(address, command);
  };
  return {
    count: () => count,
    reset: () => {
      count = 0;
    },
  };
}

describe('a task whose worker is unreachable for a while', () => {
  test('keeps its only run if the entry of the worker names no instance', async () => {
    const deployment = await startLastingTask('missing');
    deployment.runner.isReachable = false;
    expect(await maxRunning(deployment, 6_000)).toBe(1);
  });

  test('keeps its run if the store fails between the loss of contact and the write of the lease end', async () => {
    const deployment = await startLastingTask();
    const { harness, leader, runner } = deployment;
    const holdsSent = countRenewals(harness);
    runner.isReachable = false;
    await harness.advance(700);
    leader.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    await harness.advance(500);
    runner.isReachable = true;
    holdsSent.reset();
    await harness.advance(1_000);
    const callsPerSecond = holdsSent.count();
    await harness.advance(FAKE_LEASE_MS);
    expect(runner.endedRuns).toEqual([]);
    expect(runner.leaseUntilMs).toBeGreaterThan(harness.clock.monotonicMs());
    expect(callsPerSecond).toBeLessThanOrEqual(4);
  });

  test('costs at most two writes of its lease end', async () => {
    const deployment = await startLastingTask();
    const { harness, runner } = deployment;
    // A run that is not recorded, such as a start that arrived late.
    runner.runs.set('x', {
      task: { jobId: '00000000000000bb', occurrence: 0, step: 0, index: 0 },
      run: 1,
      checkpoint: '',
    });
    runner.stop = () => ({ rejection: null, clockMs: runner.nowMs() });
    await harness.advance(2_000);
    await harness.cancel(LASTING_JOB);
    await harness.advance(3_000);
    for (const key of [...runner.runs.keys()]) if (key !== 'x') runner.runs.delete(key);
    await harness.advance(3_000);
    const version = harness.rows.read({ table: LEASE_END_TABLE, partition: 'placement' }).version;
    runner.isReachable = false;
    await harness.advance(6_000);
    const { changes } = harness.rows.changes(LEASE_END_TABLE, version);
    expect(changes.length).toBeLessThanOrEqual(2);
  });
});

describe('a worker that responds', () => {
  test('gets no row for one start without a response', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    const leader = harness.process('a');
    void leader.run();
    await harness.submit(LASTING_JOB, [LASTING]);
    await harness.advance(3_000);
    const { version } = harness.rows.read({ table: LEASE_END_TABLE, partition: 'placement' });
    worker.lostStarts = 'applied';
    await harness.submit('00000000000000bb', [STEP]);
    await harness.advance(100);
    worker.lostStarts = 'none';
    await harness.advance(4_000);
    expect(harness.rows.changes(LEASE_END_TABLE, version).changes.length).toBe(0);
  });
});

describe('an instance list that is behind', () => {
  test.each(['names the earlier worker', 'does not contain the new instance'])(
    'is no evidence that a new worker has stopped: the list %s',
    async (kind) => {
      const harness = new PlacementHarness();
      const workers = [await harness.addWorker('w1'), await harness.addWorker('w2')];
      const leader = harness.process('a');
      void leader.run();
      await harness.advance(2_000);
      if (kind === 'names the earlier worker') for (const id of ['w1', 'w2']) listInstance(harness, id);
      else listInstance(harness, 'w3');
      for (const [key, instance] of harness.instances.instances)
        if (key !== 'm-w3') harness.instances.instances.set(key, { ...instance, workerId: `earlier-${key}` });
      await harness.submit(LASTING_JOB, [LASTING]);
      await harness.advance(500);
      const runner = workers.find(({ runs }) => runs.size > 0);
      const other = workers.find(({ runs }) => runs.size === 0);
      if (runner === undefined || other === undefined) throw new Error('The task does not run.');
      runner.isReachable = false;
      const deployment = { harness, leader, runner, other };
      let max = await maxRunning(deployment, 1_000);
      for (const id of ['w1', 'w2']) listInstance(harness, id);
      max = Math.max(max, await maxRunning(deployment, 4_000));
      expect(max).toBe(1);
    },
  );
});
