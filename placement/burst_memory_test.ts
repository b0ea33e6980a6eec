/** Guards against a forecast that forgets the bursts of earlier leaders. */
import { VirtualClock } from '../kernel/virtual_clock';
import { BurstForecast } from '../scheduling/burst_forecast';
import { MemoryRows, MemoryRowStore } from '../store/memory_row_store';
import { StoreClock } from '../store/store_clock';
import { BurstMemoryKeeper } from './burst_memory';
import { burstMemoryAddress } from './burst_memory_rows';
import { FencedWriter } from './fenced_writer';
import { LeaderElection } from './leader_election';

async function keeperOf(
  rows: MemoryRows,
  clock: VirtualClock,
): Promise<{ keeper: BurstMemoryKeeper; forecast: BurstForecast }> {
  const store = new MemoryRowStore(rows, clock);
  const identity = { nodeName: 'a', processId: 'a' };
  const election = new LeaderElection({
    store,
    clock,
    identity,
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
  const forecast = new BurstForecast();
  return { keeper: new BurstMemoryKeeper({ store, writer, forecast }), forecast };
}

test('a later leader knows the provisioned sizes and the heights, and ignores a damaged row', async () => {
  const clock = new VirtualClock();
  const rows = new MemoryRows();
  const first = await keeperOf(rows, clock);
  first.keeper.update(new Map([['quotes', 40]]));
  first.forecast.remember('quotes', { provisionedInstances: 40, heights: [90] });
  first.keeper.update(new Map([['quotes', 3]]));
  await clock.advanceAsync(100);
  rows.apply({ conditions: [], writes: [{ ...burstMemoryAddress('damaged'), value: '{"heights":7}' }] });
  const store = new MemoryRowStore(rows, clock);
  const forecast = new BurstForecast();
  const writer = null as unknown as FencedWriter;
  await new BurstMemoryKeeper({ store, writer, forecast }).load();
  expect(forecast.memoryOf('quotes')).toEqual({ provisionedInstances: 40, heights: [90] });
  expect(forecast.memoryOf('damaged')).toBeNull();
});
