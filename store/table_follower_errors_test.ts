/** Guards against a follower that stops, or a process that ends, because one row cannot be handled. */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryRows, MemoryRowStore } from './memory_row_store';
import type { RowChange, RowChanges } from './row_store';
import { TableFollower, type FollowerFailure } from './table_follower';

const BAD_VALUE = 'bad';

class Fixture {
  readonly clock = new VirtualClock();
  readonly rows = new MemoryRows();
  readonly writer = new MemoryRowStore(this.rows, this.clock);
  readonly handled = new Set<string>();
  readonly failures: FollowerFailure[] = [];

  follow(store = new MemoryRowStore(this.rows, this.clock)): TableFollower {
    return new TableFollower({
      store,
      clock: this.clock,
      table: 't',
      partitions: [''],
      waitMs: 100,
      onChanges: (changes) => {
        for (const change of changes) this.handle(change);
      },
      onFailure: (failure) => {
        this.failures.push(failure);
      },
    });
  }

  async write(...rows: readonly (readonly [key: string, value: string])[]): Promise<void> {
    const writes = rows.map(([key, value]) => ({ table: 't', partition: '', key, value }));
    await this.writer.transact({ conditions: [], writes });
  }

  private handle({ key, value }: RowChange): void {
    if (value === BAD_VALUE) throw new RangeError('The row cannot be handled.');
    this.handled.add(key);
  }
}

test('the other rows of a table are handled at the start, and later ones are followed', async () => {
  const fixture = new Fixture();
  await fixture.write(['a', 'good'], ['b', BAD_VALUE], ['c', 'good']);
  const follower = fixture.follow();
  const ended = follower.run();
  await fixture.clock.advanceAsync(500);
  await fixture.write(['d', BAD_VALUE], ['e', 'good']);
  await fixture.clock.advanceAsync(500);
  await fixture.write(['f', 'good']);
  await fixture.clock.advanceAsync(500);
  expect([...fixture.handled]).toEqual(['a', 'c', 'e', 'f']);
  expect(fixture.failures.map(({ key }) => key)).toEqual(['b', 'd']);
  follower.stop();
  await fixture.clock.advanceAsync(500);
  await expect(ended).resolves.toBeUndefined();
});

test('a load before the feed is followed leaves out only the row that cannot be handled', async () => {
  const fixture = new Fixture();
  await fixture.write(['a', 'good'], ['b', BAD_VALUE], ['c', 'good']);
  await fixture.follow().load();
  expect([...fixture.handled]).toEqual(['a', 'c']);
});

test('a read that fails for another cause than the store is repeated', async () => {
  const fixture = new Fixture();
  let failures = 2;
  class FaultyStore extends MemoryRowStore {
    override changes(table: string, version: number, waitMs: number): Promise<RowChanges> {
      failures -= 1;
      return failures >= 0 ? Promise.reject(new RangeError('x')) : super.changes(table, version, waitMs);
    }
  }
  const follower = fixture.follow(new FaultyStore(fixture.rows, fixture.clock));
  void follower.run();
  await fixture.clock.advanceAsync(1_000);
  await fixture.write(['a', 'good']);
  await fixture.clock.advanceAsync(1_000);
  expect([...fixture.handled]).toEqual(['a']);
  expect(fixture.failures.map(({ key }) => key)).toEqual([null, null]);
  follower.stop();
});
