import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryTableService, NO_TABLE_FAULTS } from '../platform/memory_table_service';
import { TableStore } from '../platform/table_store';
import { MemoryCounters } from '../telemetry/counters';
import { testJob } from './_test_fleet';
import { JobLedger } from './job_ledger';
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
  const ledger = new JobLedger({ store, poolId: 'vats', role, counters: new MemoryCounters(), onRoleLost });
  await store.insert(testJob('a'));
  await ledger.refresh();
  return { clock, table, store, ledger, state };
}

describe('JobLedger', () => {
  test('writes nothing once another holder has the role', async () => {
    const { table, store, ledger, state } = await setUp();
    const writes = [{ key: 'role/placement/vats', value: { epoch: 2 } }];
    await table.transact({ conditions: [], writes });
    expect(await ledger.write(testJob('a', { state: 'placed' }))).toBe(false);
    expect(state.lost).toBe(1);
    expect((await store.read('a'))?.job.state).toBe('waiting');
  });

  test('a cancellation that comes first wins, and the ledger learns of it', async () => {
    const { store, ledger, state } = await setUp();
    const stored = await store.read('a');
    if (stored) await store.update(stored, { ...stored.job, state: 'cancelled' });
    expect(await ledger.write(testJob('a', { state: 'placed' }))).toBe(false);
    expect(ledger.jobs()).toEqual([]);
    expect(state.lost).toBe(0);
  });

  test('a write whose fate is unknown is read again before anything follows from it', async () => {
    const { clock, table, ledger } = await setUp();
    table.faults = { ...NO_TABLE_FAULTS, loseAnswers: 1 };
    const writing = ledger.write(testJob('a', { state: 'placed' }));
    table.faults = { ...table.faults, down: true };
    await clock.advanceAsync(2_000);
    expect(await writing).toBe(false);
    table.faults = NO_TABLE_FAULTS;
    await ledger.refresh();
    expect(ledger.get('a')?.state).toBe('placed');
  });

  test('a cancellation requested during a flow is not overwritten by it', async () => {
    const { store, ledger } = await setUp();
    ledger.claim('a');
    const stored = await store.read('a');
    if (stored) await store.update(stored, { ...stored.job, cancelRequested: true });
    await ledger.refresh();
    expect(await ledger.write(testJob('a', { state: 'placed' }))).toBe(false);
    expect(ledger.get('a')?.cancelRequested).toBe(true);
  });

  test('leaves claimed jobs alone and reports those that have ended', async () => {
    const { store, ledger } = await setUp();
    ledger.claim('a');
    const stored = await store.read('a');
    if (stored) await store.update(stored, { ...stored.job, state: 'cancelled' });
    expect(await ledger.refresh()).toEqual(['a']);
    expect(ledger.get('a')?.state).toBe('waiting');
    ledger.unclaim('a');
    await ledger.refresh();
    expect(ledger.get('a')).toBeUndefined();
  });
});
