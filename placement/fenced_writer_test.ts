/** Guards against values that are encoded once per change, and actions that run before their change is stored. */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryRows, MemoryRowStore, NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { StoreClock } from '../store/store_clock';
import { FencedWriter } from './fenced_writer';
import { LeaderElection } from './leader_election';

const ADDRESS = { table: 'progress', partition: 'placement', key: 'job' };

async function setUp(): Promise<{ clock: VirtualClock; store: MemoryRowStore; writer: FencedWriter }> {
  const clock = new VirtualClock();
  const store = new MemoryRowStore(new MemoryRows(), clock);
  const election = new LeaderElection({
    store,
    clock,
    identity: { nodeName: 'a', processId: 'a' },
    leaseMs: 2_000,
    hasLargerPeer: () => false,
    onUnusableLease: () => undefined,
  });
  const lease = await election.acquire();
  if (lease === null) throw new Error('The lease was not acquired.');
  const writer = new FencedWriter({
    store,
    clock,
    lease,
    leaseMs: 2_000,
    storeClock: new StoreClock(),
    onRowRefused: () => undefined,
    onLost: () => undefined,
  });
  return { clock, store, writer };
}

test('many changes of one row are encoded once for each transaction', async () => {
  const { clock, store, writer } = await setUp();
  let changes = 0;
  let encodings = 0;
  const encode = (): string => {
    encodings += 1;
    return String(changes);
  };
  for (; changes < 100; changes += 1) writer.stageDeferred({ ...ADDRESS, encode });
  await clock.advanceAsync(100);
  expect(encodings).toBe(1);
  expect((await store.readOne(ADDRESS))?.value).toBe('100');
});

test('an action waits for a change that was staged while the row was being written', async () => {
  const { clock, store, writer } = await setUp();
  store.faults = { ...NO_ROW_STORE_FAULTS, responseDelayMs: 50 };
  const done: string[] = [];
  writer.stage({ ...ADDRESS, value: '1' });
  writer.afterCommit(() => done.push('first'));
  await clock.advanceAsync(20);
  writer.stage({ ...ADDRESS, value: '2' });
  writer.afterCommit(() => done.push('second'));
  await clock.advanceAsync(50);
  expect(done).toEqual(['first']);
  await clock.advanceAsync(100);
  expect(done).toEqual(['first', 'second']);
});

test('a change whose transaction failed is written by the next one, before its actions run', async () => {
  const { clock, store, writer } = await setUp();
  store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
  const done: string[] = [];
  writer.stage({ ...ADDRESS, value: '1' });
  writer.afterCommit(() => done.push('stored'));
  await clock.advanceAsync(100);
  expect(done).toEqual([]);
  store.faults = NO_ROW_STORE_FAULTS;
  await clock.advanceAsync(300);
  expect(done).toEqual(['stored']);
  expect((await store.readOne(ADDRESS))?.value).toBe('1');
});

test.each([1_800, 3_000, 8_000, 30_000])(
  'after a suspension of %s ms nothing may be done until the lease has been renewed',
  async (suspendedMs) => {
    const { clock, store, writer } = await setUp();
    await clock.advanceAsync(700);
    expect(writer.isValid()).toBe(true);
    // The monotonic clock leaves the suspension out.
    clock.jumpWall(suspendedMs);
    expect(writer.isValid()).toBe(false);
    writer.renewSoon();
    await clock.advanceAsync(50);
    expect(writer.isValid()).toBe(true);
    clock.jumpWall(-suspendedMs);
    expect(writer.isValid()).toBe(true);
    store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    await clock.advanceAsync(2_000);
    expect(writer.isValid()).toBe(false);
  },
);
