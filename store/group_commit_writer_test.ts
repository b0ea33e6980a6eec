/** Guards against one unexpected error after which rows wait for ever. */
import { VirtualClock } from '../kernel/virtual_clock';
import { GroupCommitWriter } from './group_commit_writer';
import { MemoryRows, MemoryRowStore } from './memory_row_store';
import type { RowTransaction, RowTransactionResult } from './row_store';

class FaultyStore extends MemoryRowStore {
  error: Error | null = null;

  override transact(transaction: RowTransaction): Promise<RowTransactionResult> {
    return this.error === null ? super.transact(transaction) : Promise.reject(this.error);
  }
}

const ROW = { table: 'jobs', partition: '0', value: '{}' };

test('rows are written after an error that is no failure of the store', async () => {
  const clock = new VirtualClock();
  const store = new FaultyStore(new MemoryRows(), clock);
  const writer = new GroupCommitWriter({ store, clock });
  store.error = new TypeError('unexpected');
  await expect(writer.create({ ...ROW, key: 'a' }, 1_000)).rejects.toThrow('unexpected');
  store.error = null;
  expect(await writer.create({ ...ROW, key: 'b' }, 1_000)).toBe(true);
  expect(await writer.create({ ...ROW, key: 'b' }, 1_000)).toBe(false);
});
