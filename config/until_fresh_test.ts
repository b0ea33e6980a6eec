/** Guards against rejecting work during the short time in which a newer configuration is loaded. */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryTableService } from '../platform/memory_table_service';
import { TableStore } from '../platform/table_store';
import { ChangeLog } from './change_log';
import { ConfigurationService } from './configuration_service';
import { PropagationBarrier, type PendingCommit } from './propagation_barrier';

class ImmediateBarrier extends PropagationBarrier {
  override begin(): PendingCommit {
    return { untilInEffect: () => Promise.resolve(), end: () => undefined };
  }
}

function newService(clock: VirtualClock, table: MemoryTableService): ConfigurationService {
  const log = new ChangeLog(table, clock);
  return new ConfigurationService({ clock, log, barrier: new ImmediateBarrier(), onLoaded: () => undefined });
}

async function resultAfter(clock: VirtualClock, result: Promise<boolean>, forMs: number): Promise<boolean> {
  await clock.advanceAsync(forMs);
  return result;
}

describe('ConfigurationService.untilFresh', () => {
  test('waits while a newer configuration is loaded instead of reporting that it is stale', async () => {
    const clock = new VirtualClock();
    const store = new TableStore();
    const service = newService(clock, new MemoryTableService(store, clock));
    const other = newService(clock, new MemoryTableService(store, clock));
    await service.refresh();
    await other.change(() => ({
      revision: 1,
      ticketNumber: 1,
      objects: [{ kind: 'pools', objectId: 'a', value: { poolId: 'a', maxUnavailable: 1, spare: false } }],
    }));
    service.guard.observe({ head: other.head(), asOfMs: clock.monotonicMs(), source: 'table' });
    expect(service.isFresh()).toBe(false);
    expect(await resultAfter(clock, service.untilFresh(500), 100)).toBe(true);
    expect(service.fleet().pools.has('a')).toBe(true);
  });

  test('resolves with false after the limit while the table is down', async () => {
    const clock = new VirtualClock();
    const table = new MemoryTableService(new TableStore(), clock);
    const service = newService(clock, table);
    await service.refresh();
    clock.advance(3_000);
    table.faults = { ...table.faults, down: true };
    expect(await resultAfter(clock, service.untilFresh(500), 600)).toBe(false);
  });
});
