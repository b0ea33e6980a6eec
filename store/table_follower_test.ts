/** Guards against a process that stays behind although the store answers it. */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryRows, MemoryRowStore } from './memory_row_store';
import { StoreUnavailableError, type RowChange, type RowChanges } from './row_store';
import { TableFollower } from './table_follower';

const ROW = { table: 't', partition: '', key: 'rules' };

/** Changes that were missed do not arrive within the time limit. */
class SlowFeedStore extends MemoryRowStore {
  isSlow = false;

  override changes(table: string, version: number, waitMs: number): Promise<RowChanges> {
    if (this.isSlow) return Promise.reject(new StoreUnavailableError('No answer arrived in time.'));
    return super.changes(table, version, waitMs);
  }
}

test('a follower reads the table when the changes that it missed do not arrive', async () => {
  const clock = new VirtualClock();
  const rows = new MemoryRows();
  const writer = new MemoryRowStore(rows, clock);
  const store = new SlowFeedStore(rows, clock);
  let seen: RowChange | undefined;
  const follower = new TableFollower({
    store,
    clock,
    table: 't',
    partitions: [''],
    waitMs: 500,
    onChanges: (changes) => {
      seen = changes.at(-1) ?? seen;
    },
  });
  await writer.transact({ conditions: [], writes: [{ ...ROW, value: 'first' }] });
  void follower.run();
  await clock.advanceAsync(1_000);
  expect(seen?.value).toBe('first');
  store.isSlow = true;
  // The call that is under way still answers.
  await clock.advanceAsync(600);
  await writer.transact({ conditions: [], writes: [{ ...ROW, value: 'second' }] });
  await clock.advanceAsync(2_000);
  expect(seen?.value).toBe('second');
  follower.stop();
});
