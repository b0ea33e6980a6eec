/** Guards against a successor that trusts the end of a lease which was requested again, or none at all. */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryRows, MemoryRowStore, NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { StoreClock } from '../store/store_clock';
import { FencedWriter } from './fenced_writer';
import { LeaseEndKeeper } from './lease_end_keeper';
import { leaseEndAddress } from './lease_end_rows';
import { LeaderElection } from './leader_election';

const LEASE_MS = 2_000;

class Leaders {
  readonly clock = new VirtualClock();
  readonly rows = new MemoryRows();

  async next(nodeName: string): Promise<{ readonly keeper: LeaseEndKeeper; readonly store: MemoryRowStore }> {
    const { clock } = this;
    const store = new MemoryRowStore(this.rows, clock);
    const identity = { nodeName, processId: nodeName };
    const election = new LeaderElection({
      store,
      clock,
      identity,
      leaseMs: LEASE_MS,
      hasLargerPeer: () => false,
      onUnusableLease: () => undefined,
    });
    const acquired = election.acquire();
    await clock.advanceAsync(2 * LEASE_MS);
    const lease = await acquired;
    if (lease === null) throw new Error('The lease was not acquired.');
    const storeClock = new StoreClock();
    const onLost = (): void => undefined;
    const writer = new FencedWriter({
      store,
      clock,
      lease,
      leaseMs: LEASE_MS,
      storeClock,
      onRowRefused: () => undefined,
      onLost,
    });
    const keeper = new LeaseEndKeeper({ store, clock, storeClock, writer });
    await keeper.load();
    await clock.advanceAsync(1_000);
    return { keeper, store };
  }

  /** A lease that was requested now and ends in 10 s. */
  lease(): { readonly requestedAtMs: number; readonly endsAtMs: number } {
    const nowMs = this.clock.monotonicMs();
    return { requestedAtMs: nowMs, endsAtMs: nowMs + 10_000 };
  }

  /** Ends a leader without releasing its lease. */
  kill(store: MemoryRowStore): void {
    store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
  }
}

describe('LeaseEndKeeper', () => {
  test('a successor knows the end that its predecessor stored, for that incarnation only', async () => {
    const leaders = new Leaders();
    const first = await leaders.next('a');
    const lease = leaders.lease();
    await leaders.clock.advanceAsync(1_000);
    first.keeper.record({ workerId: 'w1', workerStartedAtMs: 7, ...lease });
    await leaders.clock.advanceAsync(100);
    leaders.kill(first.store);
    const { keeper } = await leaders.next('b');
    expect(keeper.endOf('w1', 7)).toBeCloseTo(lease.endsAtMs, 0);
    expect(keeper.endOf('w1', 8)).toBeNull();
    expect(keeper.mayRequest('w1')).toBe(false);
  });

  test('permits a request only once the removal of the row is stored', async () => {
    const leaders = new Leaders();
    const { keeper, store } = await leaders.next('a');
    const lease = leaders.lease();
    await leaders.clock.advanceAsync(1_000);
    keeper.record({ workerId: 'w1', workerStartedAtMs: 7, ...lease });
    await leaders.clock.advanceAsync(100);
    store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    keeper.release('w1');
    await leaders.clock.advanceAsync(1_000);
    expect(keeper.mayRequest('w1')).toBe(false);
    store.faults = NO_ROW_STORE_FAULTS;
    await leaders.clock.advanceAsync(500);
    expect(keeper.mayRequest('w1')).toBe(true);
    expect(await store.readOne(leaseEndAddress('w1'))).toBeNull();
  });

  test('a row that cannot be decoded names no end, and is removed like any other', async () => {
    const leaders = new Leaders();
    leaders.rows.apply({
      conditions: [],
      writes: [{ ...leaseEndAddress('w1'), value: '{"endsAtStoreMs":' }],
    });
    const { keeper } = await leaders.next('a');
    expect(keeper.endOf('w1', 0)).toBeNull();
    expect(keeper.mayRequest('w1')).toBe(false);
    keeper.release('w1');
    await leaders.clock.advanceAsync(500);
    expect(keeper.mayRequest('w1')).toBe(true);
  });
});
