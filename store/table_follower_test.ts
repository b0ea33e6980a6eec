/** Guards against a follower that never catches up although the store is reachable. */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryRows, MemoryRowStore } from './memory_row_store';
import { StoreUnavailableError, type RowChange, type RowChanges } from './row_store';
import { TableFollower } from './table_follower';

const ROW = { table: 't', partition: '', key: 'rules' };

/**
 * A store whose feed calls can be made to time out, as they do when the missed
 * changes are too many for a slow link. Reads succeed.
 */
class FeedTimeoutStore extends MemoryRowStore {
  doesFeedTimeOut = false;

  override changes(table: string, version: number, waitMs: number): Promise<RowChanges> {
    if (this.doesFeedTimeOut) return Promise.reject(new StoreUnavailableError('The request timed out.'));
    return super.changes(table, version, waitMs);
  }
}

test('a follower reads the whole table when the feed calls for missed changes time out', async () => {
  const clock = new VirtualClock();
  const rows = new MemoryRows();
  const writer = new MemoryRowStore(rows, clock);
  const store = new FeedTimeoutStore(rows, clock);
  let lastChange: RowChange | undefined;
  const follower = new TableFollower({
    store,
    clock,
    table: 't',
    partitions: [''],
    waitMs: 500,
    onChanges: (changes) => {
      lastChange = changes.at(-1) ?? lastChange;
    },
    onFailure: ({ error }) => {
      throw error;
    },
  });
  await writer.transact({ conditions: [], writes: [{ ...ROW, value: 'first' }] });
  void follower.run();
  await clock.advanceAsync(1_000);
  expect(lastChange?.value).toBe('first');
  store.doesFeedTimeOut = true;
  // The feed call that is in progress still succeeds.
  await clock.advanceAsync(600);
  await writer.transact({ conditions: [], writes: [{ ...ROW, value: 'second' }] });
  await clock.advanceAsync(2_000);
  expect(lastChange?.value).toBe('second');
  follower.stop();
});
