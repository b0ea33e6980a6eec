/** Guards against one unexpected error, or one refused row, that keeps others from being written. */
import { VirtualClock } from '../kernel/virtual_clock';
import { GroupCommitWriter } from './group_commit_writer';
import { MemoryRows, MemoryRowStore } from './memory_row_store';
import { StoreRefusedError, type RowTransaction, type RowTransactionResult } from './row_store';

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

test('a row that the store refuses does not keep the rows beside it from being written', async () => {
  const clock = new VirtualClock();
  const rows = new MemoryRows();
  rows.refuses = ({ key }) => key === 'b';
  const writer = new GroupCommitWriter({ store: new MemoryRowStore(rows, clock), clock });
  const results = await Promise.allSettled(
    ['a', 'b', 'c'].map((key) => writer.create({ ...ROW, key }, 1_000)),
  );
  expect(results.map(({ status }) => status)).toEqual(['fulfilled', 'rejected', 'fulfilled']);
  expect(results[1]).toMatchObject({ reason: { message: 'The store did not create the row.' } });
});

test('large rows are spread over several transactions', async () => {
  const clock = new VirtualClock();
  const sizes: number[] = [];
  class MeasuringStore extends MemoryRowStore {
    override transact(transaction: RowTransaction): Promise<RowTransactionResult> {
      const size = transaction.writes.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
      sizes.push(size);
      if (size > 750_000) return Promise.reject(new StoreRefusedError('The transaction is too large.'));
      return super.transact(transaction);
    }
  }
  const writer = new GroupCommitWriter({ store: new MeasuringStore(new MemoryRows(), clock), clock });
  const value = 'x'.repeat(40_000);
  const keys = Array.from({ length: 40 }, (_, index) => `k${index}`);
  const created = await Promise.all(keys.map((key) => writer.create({ ...ROW, key, value }, 1_000)));
  expect(created).toEqual(keys.map(() => true));
  expect(sizes).toHaveLength(3);
});
