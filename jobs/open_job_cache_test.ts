/**
 * Guards against writes under a lost role, and against writes that overwrite
 * or miss what a caller or an earlier write with a lost response has changed.
 */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryTableService, NO_TABLE_FAULTS } from '../platform/memory_table_service';
import { TableStore } from '../platform/table_store';
import { MemoryCounters } from '../telemetry/counters';
import { testJob } from './_test_fleet';
import { OpenJobCache } from './open_job_cache';
import { JobStore } from './job_store';

async function setUp() {
  const clock = new VirtualClock();
  const table = new MemoryTableService(new TableStore(), clock);
  const store = new JobStore(table, clock);
  const role = { name: 'placement/vats', epoch: 1, condition: { key: 'role/placement/vats', version: null } };
  const state = { lost: 0 };
  const onRoleLost = (): void => {
    state.lost += 1;
  };
  const openJobs = new OpenJobCache({
    store,
    poolId: 'vats',
    role,
    counters: new MemoryCounters(),
    onRoleLost,
  });
  await store.insert(testJob('a'));
  await openJobs.refresh();
  return { clock, table, store, openJobs, state };
}

describe('OpenJobCache', () => {
  test('writes nothing once another entry instance has the role', async () => {
    const { table, store, openJobs, state } = await setUp();
    const writes = [{ key: 'role/placement/vats', value: { epoch: 2 } }];
    await table.transact({ conditions: [], writes });
    expect(await openJobs.write(testJob('a', { state: 'placed' }))).toBe(false);
    expect(state.lost).toBe(1);
    expect((await store.read('a'))?.job.state).toBe('waiting');
  });

  test('an earlier cancellation is not overwritten, and the cache removes the job', async () => {
    const { store, openJobs, state } = await setUp();
    const stored = await store.read('a');
    if (stored) await store.update(stored, { ...stored.job, state: 'cancelled' });
    expect(await openJobs.write(testJob('a', { state: 'placed' }))).toBe(false);
    expect(openJobs.jobs()).toEqual([]);
    expect(state.lost).toBe(0);
  });

  test('a write with an unknown outcome is read again by the next refresh', async () => {
    const { clock, table, openJobs } = await setUp();
    table.faults = { ...NO_TABLE_FAULTS, loseAnswers: 1 };
    const writing = openJobs.write(testJob('a', { state: 'placed' }));
    table.faults = { ...table.faults, down: true };
    await clock.advanceAsync(2_000);
    expect(await writing).toBe(false);
    table.faults = NO_TABLE_FAULTS;
    await openJobs.refresh();
    expect(openJobs.get('a')?.state).toBe('placed');
  });

  test('a cancellation requested during an operation is not overwritten by it', async () => {
    const { store, openJobs } = await setUp();
    openJobs.lock('a');
    const stored = await store.read('a');
    if (stored) await store.update(stored, { ...stored.job, cancelRequested: true });
    await openJobs.refresh();
    expect(await openJobs.write(testJob('a', { state: 'placed' }))).toBe(false);
    expect(openJobs.get('a')?.cancelRequested).toBe(true);
  });

  test('a refresh does not change locked jobs and reports those that have ended', async () => {
    const { store, openJobs } = await setUp();
    openJobs.lock('a');
    const stored = await store.read('a');
    if (stored) await store.update(stored, { ...stored.job, state: 'cancelled' });
    expect(await openJobs.refresh()).toEqual(['a']);
    expect(openJobs.get('a')?.state).toBe('waiting');
    openJobs.unlock('a');
    await openJobs.refresh();
    expect(openJobs.get('a')).toBeUndefined();
  });
});
