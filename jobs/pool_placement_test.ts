/**
 * Guards the placement of a pool end to end in the simulation: late urgent
 * jobs, lost or duplicated work after a change of the placement leader, and
 * faulty or draining workers that keep receiving tasks.
 */
import { NO_TABLE_FAULTS } from '../platform/memory_table_service';
import { NO_WORKER_FAULTS } from '../platform/memory_worker_control';
import { PlacementSimulation } from './_placement_simulation';
import { testFleet } from './_test_fleet';

function payload(runTimeMs: number, options: object = {}): string {
  return JSON.stringify({ runTimeMs, ...options });
}

async function startSimulation(options: Partial<ConstructorParameters<typeof PlacementSimulation>[0]> = {}) {
  const simulation = new PlacementSimulation({ entries: 1, workers: 3, grantPerEntry: 100, ...options });
  await simulation.advance(2_000);
  return simulation;
}

async function submitMany(simulation: PlacementSimulation, count: number, changes: object) {
  const ids: string[] = [];
  for (let index = 0; index < count; index += 1) {
    const jobId = await simulation.submit(0, 'red', changes);
    if (jobId !== null) ids.push(jobId);
  }
  return ids;
}

describe('PoolPlacement', () => {
  test('a job runs to completion', async () => {
    const simulation = await startSimulation();
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(500) });
    await simulation.advance(3_000);
    expect(simulation.job(jobId)).toMatchObject({ state: 'done', attempt: 1 });
  });

  test('an urgent job starts within 3 s in a full pool, and the batch work resumes', async () => {
    const simulation = await startSimulation();
    const batch = { priority: 'batch' as const, processors: 32, memoryBytes: 100 * 2 ** 30 };
    const ids = await submitMany(simulation, 3, { ...batch, payload: payload(20_000) });
    await simulation.advance(3_000);
    const submittedMs = simulation.clock.monotonicMs();
    const urgent = await simulation.submit(0, 'blue', {
      ...batch,
      priority: 'urgent',
      payload: payload(1_000),
    });
    await simulation.advance(60_000);
    const urgentInterval = simulation.intervals().find(({ jobId }) => jobId === urgent);
    if (urgentInterval === undefined) throw new Error('The urgent job did not start.');
    expect(urgentInterval.fromMs - submittedMs).toBeLessThan(3_000);
    const overlapping = simulation
      .intervals()
      .filter((other) => other.host === urgentInterval.host && other.jobId !== urgent);
    expect(
      overlapping.filter(
        ({ fromMs, endMs }) => fromMs < urgentInterval.endMs && endMs > urgentInterval.fromMs,
      ),
    ).toEqual([]);
    expect(ids.map((id) => simulation.job(id)?.state)).toEqual(['done', 'done', 'done']);
    const batchIntervals = simulation.intervals().filter(({ jobId }) => ids.includes(jobId));
    const totalMs = batchIntervals.reduce((sum, { fromMs, endMs }) => sum + endMs - fromMs, 0);
    expect(totalMs).toBe(60_000);
  });

  test('a cancelled running job is stopped, and many cancellations at once need no message per job', async () => {
    const simulation = await startSimulation();
    const ids = await submitMany(simulation, 12, { processors: 4, payload: payload(600_000) });
    const { control, counters } = simulation.entry(0);
    const before = control.commands;
    await Promise.all(ids.map((id) => simulation.entry(0).service.cancel(id, 'red-key')));
    await simulation.advance(300);
    expect(new Set(ids.map((id) => simulation.job(id)?.state))).toEqual(new Set(['cancelled']));
    expect(simulation.intervals().filter(({ toMs }) => toMs === null)).toEqual([]);
    // A regular renewal and one more message for each of the three workers.
    expect(control.commands - before).toBeLessThanOrEqual(6);
    expect(counters.snapshot().get('jobs.task_ended:stopped')).toBe(12);
  });

  test('a job that fails on every worker ends as failed with the reason', async () => {
    const simulation = await startSimulation();
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(100, { fails: true }) });
    await simulation.advance(60_000);
    expect(simulation.job(jobId)).toMatchObject({ state: 'failed', attempt: 5 });
    expect(simulation.job(jobId)?.reason).toContain('failed 5 times');
    expect(simulation.job(jobId)?.failedOn).toHaveLength(3);
  });

  test('a worker that fails every task is suspended, and its jobs finish on other workers', async () => {
    const simulation = await startSimulation();
    simulation.host(0).faults = { ...simulation.host(0).faults, failTasks: true };
    const ids = await submitMany(simulation, 12, { payload: payload(100) });
    await simulation.advance(20_000);
    expect(new Set(ids.map((id) => simulation.job(id)?.state))).toEqual(new Set(['done']));
    expect(simulation.entry(0).counters.snapshot().get('jobs.worker_suspended')).toBe(1);
  });

  test('a waiting job that no instance can run any more ends with the reason', async () => {
    const simulation = await startSimulation({ workers: 1 });
    await submitMany(simulation, 1, { processors: 32, payload: payload(10_000) });
    const [waiting = ''] = await submitMany(simulation, 1, { processors: 32 });
    simulation.fleet = { ...simulation.fleet, instances: new Map() };
    await simulation.advance(2_000);
    expect(simulation.job(waiting)).toMatchObject({ state: 'cannot_run' });
    expect(simulation.job(waiting)?.reason).toContain('no instances');
  });

  test('the next placement leader checkpoints and resumes the tasks of a crashed one', async () => {
    const simulation = await startSimulation({ entries: 2 });
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(10_000) });
    const leader = simulation.entries.find(({ roles }) => roles.heldPools().length > 0);
    leader?.process.pause();
    await simulation.advance(25_000);
    expect(simulation.job(jobId)).toMatchObject({ state: 'done', attempt: 2, epoch: 2 });
  });

  test('an adopted task that gets no admission of its own is ended', async () => {
    const simulation = await startSimulation({ entries: 2 });
    await submitMany(simulation, 2, { payload: payload(30_000) });
    const leader = simulation.entries.find(({ roles }) => roles.heldPools().length > 0);
    const other = simulation.entries.find((entry) => entry !== leader);
    if (!leader || !other) throw new Error('No entry instance holds the role.');
    other.grantedFleet = testFleet({ workers: 3, upperLimit: 1 });
    leader.table.faults = { ...NO_TABLE_FAULTS, down: true };
    simulation.fence(leader.memberId);
    await simulation.advance(3_000);
    const running = (): number => simulation.intervals().filter(({ toMs }) => toMs === null).length;
    expect(other.roles.heldPools()).toEqual(['vats']);
    expect(running()).toBe(2);
    await simulation.advance(6_000);
    expect(running()).toBe(1);
  });

  test('a new placement leader waits for tasks on a worker that only the old one reaches', async () => {
    const simulation = await startSimulation({ entries: 2 });
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(12_000) });
    const leader = simulation.entries.find(({ roles }) => roles.heldPools().length > 0);
    const other = simulation.entries.find((entry) => entry !== leader);
    if (!leader || !other) throw new Error('No entry instance holds the role.');
    const [first] = simulation.intervals();
    other.control.faults = { ...NO_WORKER_FAULTS, unreachable: new Set([first?.host ?? '']) };
    leader.table.faults = { ...NO_TABLE_FAULTS, down: true };
    simulation.fence(leader.memberId);
    await simulation.advance(40_000);
    const runs = simulation.intervals();
    expect(runs).toHaveLength(2);
    expect(runs[1]?.fromMs).toBeGreaterThanOrEqual(runs[0]?.endMs ?? Infinity);
    expect(simulation.job(jobId)).toMatchObject({ state: 'done', losses: 1 });
  });

  test('an urgent job that needs only processors throttles batch work until it has ended', async () => {
    const simulation = await startSimulation({ workers: 1 });
    const batch = { priority: 'batch' as const, processors: 32, payload: payload(4_000) };
    const [slow = ''] = await submitMany(simulation, 1, batch);
    await submitMany(simulation, 1, { priority: 'urgent', processors: 16, payload: payload(3_000) });
    expect(simulation.intervals().filter(({ toMs }) => toMs === null)).toHaveLength(2);
    await simulation.advance(12_000);
    expect(simulation.job(slow)).toMatchObject({ state: 'done', attempt: 1 });
    const ranMs = simulation.intervals().map(({ fromMs, endMs }) => endMs - fromMs);
    // Three seconds at a quarter of the speed cost 2.25 s; throttled to the end, the task would take over 12 s.
    expect(ranMs[0]).toBeGreaterThan(6_000);
    expect(ranMs[0]).toBeLessThan(7_500);
  });

  test('tasks on a draining worker move to another', async () => {
    const simulation = await startSimulation();
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(8_000) });
    const drained = simulation.intervals()[0]?.host ?? '';
    const states = new Map(simulation.fleet.instanceStates);
    const state = states.get(drained);
    if (state) states.set(drained, { ...state, state: 'draining', epoch: 1 });
    simulation.fleet = { ...simulation.fleet, instanceStates: states };
    await simulation.advance(12_000);
    expect(simulation.job(jobId)).toMatchObject({ state: 'done', attempt: 2 });
    expect(simulation.intervals()[1]?.host).not.toBe(drained);
  });

  test('a stopping placement leader checkpoints its tasks and releases the role', async () => {
    const simulation = await startSimulation({ entries: 2 });
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(10_000) });
    const leader = simulation.entries.find(({ roles }) => roles.heldPools().length > 0);
    const stopped = leader?.roles.stop();
    await simulation.advance(1_000);
    await stopped;
    expect(simulation.job(jobId)?.state).toBe('checkpointed');
  });

  test('places fewer jobs at once after their usage has exceeded what they declare', async () => {
    const simulation = await startSimulation({ workers: 1 });
    const underdeclared = { processors: 4, payload: payload(3_000, { processors: 16 }) };
    await submitMany(simulation, 6, underdeclared);
    await simulation.advance(20_000);
    const sinceMs = simulation.clock.monotonicMs();
    await submitMany(simulation, 4, underdeclared);
    await simulation.advance(20_000);
    const later = simulation.intervals().filter(({ fromMs }) => fromMs >= sinceMs);
    const concurrent = later.map(
      ({ fromMs }) => later.filter((other) => other.fromMs <= fromMs && other.endMs > fromMs).length,
    );
    expect(Math.max(...concurrent)).toBe(2);
  });
});
