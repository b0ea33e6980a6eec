import { NO_TABLE_FAULTS } from '../platform/memory_table_service';
import { NO_WORKER_FAULTS } from '../platform/memory_worker_control';
import { PlacementSimulation } from './_placement_simulation';
import { testFleet } from './_test_fleet';

function payload(runTimeMs: number, more: object = {}): string {
  return JSON.stringify({ runTimeMs, ...more });
}

async function started(options: Partial<ConstructorParameters<typeof PlacementSimulation>[0]> = {}) {
  const simulation = new PlacementSimulation({ entries: 1, workers: 3, grantOfEach: 100, ...options });
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
  test('a job runs to its end', async () => {
    const simulation = await started();
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(500) });
    await simulation.advance(3_000);
    expect(simulation.job(jobId)).toMatchObject({ state: 'done', attempt: 1 });
  });

  test('an urgent job starts within 3 s in a full pool, and the batch work resumes', async () => {
    const simulation = await started();
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
    const run = simulation.intervals().find(({ jobId }) => jobId === urgent);
    if (run === undefined) throw new Error('The urgent job did not start.');
    expect(run.fromMs - submittedMs).toBeLessThan(3_000);
    const beside = simulation
      .intervals()
      .filter((other) => other.host === run.host && other.jobId !== urgent);
    expect(beside.filter(({ fromMs, endMs }) => fromMs < run.endMs && endMs > run.fromMs)).toEqual([]);
    expect(ids.map((id) => simulation.job(id)?.state)).toEqual(['done', 'done', 'done']);
    const worked = simulation.intervals().filter(({ jobId }) => ids.includes(jobId));
    const totalMs = worked.reduce((sum, { fromMs, endMs }) => sum + endMs - fromMs, 0);
    expect(totalMs).toBe(60_000);
  });

  test('a running job that is cancelled is stopped, and a wave of cancellations costs no message per job', async () => {
    const simulation = await started();
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

  test('a job that fails everywhere becomes failed with the reason', async () => {
    const simulation = await started();
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(100, { fails: true }) });
    await simulation.advance(60_000);
    expect(simulation.job(jobId)).toMatchObject({ state: 'failed', attempt: 5 });
    expect(simulation.job(jobId)?.reason).toContain('failed 5 times');
    expect(simulation.job(jobId)?.failedOn).toHaveLength(3);
  });

  test('a worker that fails everything is taken out of placement, and its jobs finish elsewhere', async () => {
    const simulation = await started();
    simulation.host(0).faults = { ...simulation.host(0).faults, failTasks: true };
    const ids = await submitMany(simulation, 12, { payload: payload(100) });
    await simulation.advance(20_000);
    expect(new Set(ids.map((id) => simulation.job(id)?.state))).toEqual(new Set(['done']));
    expect(simulation.entry(0).counters.snapshot().get('jobs.worker_suspended')).toBe(1);
  });

  test('a waiting job that no instance can run any more is marked with the reason', async () => {
    const simulation = await started({ workers: 1 });
    await submitMany(simulation, 1, { processors: 32, payload: payload(10_000) });
    const [waiting = ''] = await submitMany(simulation, 1, { processors: 32 });
    simulation.fleet = { ...simulation.fleet, instances: new Map() };
    await simulation.advance(2_000);
    expect(simulation.job(waiting)).toMatchObject({ state: 'cannot_run' });
    expect(simulation.job(waiting)?.reason).toContain('no instances');
  });

  test('tasks of a killed holder are checkpointed and resumed by the next', async () => {
    const simulation = await started({ entries: 2 });
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(10_000) });
    const holder = simulation.entries.find(({ roles }) => roles.heldPools().length > 0);
    holder?.process.pause();
    await simulation.advance(25_000);
    expect(simulation.job(jobId)).toMatchObject({ state: 'done', attempt: 2, epoch: 2 });
  });

  test('a task taken over without an admission of its own makes room', async () => {
    const simulation = await started({ entries: 2 });
    await submitMany(simulation, 2, { payload: payload(30_000) });
    const holder = simulation.entries.find(({ roles }) => roles.heldPools().length > 0);
    const other = simulation.entries.find((entry) => entry !== holder);
    if (!holder || !other) throw new Error('Nobody holds the role.');
    other.grants = testFleet({ workers: 3, upperLimit: 1 });
    holder.table.faults = { ...NO_TABLE_FAULTS, down: true };
    simulation.fence(holder.memberId);
    await simulation.advance(3_000);
    const running = (): number => simulation.intervals().filter(({ toMs }) => toMs === null).length;
    expect(other.roles.heldPools()).toEqual(['vats']);
    expect(running()).toBe(2);
    await simulation.advance(6_000);
    expect(running()).toBe(1);
  });

  test('a new holder waits for tasks on a worker that only the old holder reaches', async () => {
    const simulation = await started({ entries: 2 });
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(12_000) });
    const holder = simulation.entries.find(({ roles }) => roles.heldPools().length > 0);
    const other = simulation.entries.find((entry) => entry !== holder);
    if (!holder || !other) throw new Error('Nobody holds the role.');
    const [first] = simulation.intervals();
    other.control.faults = { ...NO_WORKER_FAULTS, unreachable: new Set([first?.host ?? '']) };
    holder.table.faults = { ...NO_TABLE_FAULTS, down: true };
    simulation.fence(holder.memberId);
    await simulation.advance(40_000);
    const runs = simulation.intervals();
    expect(runs).toHaveLength(2);
    expect(runs[1]?.fromMs).toBeGreaterThanOrEqual(runs[0]?.endMs ?? Infinity);
    expect(simulation.job(jobId)).toMatchObject({ state: 'done', losses: 1 });
  });

  test('an urgent job that lacks only processors throttles batch work until it has ended', async () => {
    const simulation = await started({ workers: 1 });
    const batch = { priority: 'batch' as const, processors: 32, payload: payload(4_000) };
    const [slow = ''] = await submitMany(simulation, 1, batch);
    await submitMany(simulation, 1, { priority: 'urgent', processors: 16, payload: payload(3_000) });
    expect(simulation.intervals().filter(({ toMs }) => toMs === null)).toHaveLength(2);
    await simulation.advance(12_000);
    expect(simulation.job(slow)).toMatchObject({ state: 'done', attempt: 1 });
    const ranMs = simulation.intervals().map(({ fromMs, endMs }) => endMs - fromMs);
    // Three seconds at a quarter of the speed cost 2.25 s; at a quarter to the end it would take over 12 s.
    expect(ranMs[0]).toBeGreaterThan(6_000);
    expect(ranMs[0]).toBeLessThan(7_500);
  });

  test('tasks on a worker that is drained move to another', async () => {
    const simulation = await started();
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

  test('a stopping holder checkpoints its tasks and gives the role back', async () => {
    const simulation = await started({ entries: 2 });
    const [jobId = ''] = await submitMany(simulation, 1, { payload: payload(10_000) });
    const holder = simulation.entries.find(({ roles }) => roles.heldPools().length > 0);
    const stopped = holder?.roles.stop();
    await simulation.advance(1_000);
    await stopped;
    expect(simulation.job(jobId)?.state).toBe('checkpointed');
  });

  test('learns from usage that jobs are larger than declared', async () => {
    const simulation = await started({ workers: 1 });
    const large = { processors: 4, payload: payload(3_000, { processors: 16 }) };
    await submitMany(simulation, 6, large);
    await simulation.advance(20_000);
    const from = simulation.clock.monotonicMs();
    await submitMany(simulation, 4, large);
    await simulation.advance(20_000);
    const later = simulation.intervals().filter(({ fromMs }) => fromMs >= from);
    const together = later.map(
      ({ fromMs }) => later.filter((o) => o.fromMs <= fromMs && o.endMs > fromMs).length,
    );
    expect(Math.max(...together)).toBe(2);
  });
});
