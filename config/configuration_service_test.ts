/** Guards against a return to an older configuration, wrong ages of evidence and commits by fenced members. */
import { Clock, type Timer } from '../kernel/clock';
import { settlePromises, VirtualClock } from '../kernel/virtual_clock';
import type { Team } from '../model/fleet';
import { MemoryTableService } from '../platform/memory_table_service';
import {
  TableService,
  type Query,
  type Row,
  type Transaction,
  type TransactionResult,
} from '../platform/table_service';
import { TableStore } from '../platform/table_store';
import { MemoryCounters } from '../telemetry/counters';
import type { Change, ConfigurationState } from './change';
import { ChangeLog } from './change_log';
import { ConfigurationService } from './configuration_service';
import { PropagationBarrier, type PendingCommit } from './propagation_barrier';
import { FRESHNESS_MS, FreshnessGuard } from './freshness';
import { HeadExchange } from './head_exchange';

class ImmediateBarrier extends PropagationBarrier {
  override begin(): PendingCommit {
    return { untilInEffect: () => Promise.resolve(), end: () => undefined };
  }
}

/** A table whose reads can be delayed or made to fail. */
class DelayingTable extends TableService {
  readDelayMs = 0;
  failReads = false;
  transactions = 0;

  constructor(
    private readonly service: MemoryTableService,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async read(query: Query): Promise<readonly Row[]> {
    if (this.failReads) throw new Error('The table is unavailable.');
    const { readDelayMs } = this;
    const rows = await this.service.read(query);
    if (readDelayMs > 0) await this.clock.delay(readDelayMs);
    return rows;
  }

  override transact(transaction: Transaction): Promise<TransactionResult> {
    this.transactions += 1;
    return this.service.transact(transaction);
  }
}

function setUp(): {
  readonly clock: VirtualClock;
  readonly store: TableStore;
  readonly table: DelayingTable;
  readonly service: ConfigurationService;
  readonly exchange: HeadExchange;
} {
  const clock = new VirtualClock();
  const store = new TableStore();
  const table = new DelayingTable(new MemoryTableService(store, clock), clock);
  const guard = new FreshnessGuard(clock);
  const exchange = new HeadExchange({
    clock,
    guard,
    counters: new MemoryCounters(),
    onNewerHead: () => undefined,
  });
  exchange.setMembers({
    head: { revision: 0, membershipEpoch: 0 },
    peers: [],
    isRegistered: true,
    isActive: true,
    fencedEvidenceUntilMs: 0,
  });
  const log = new ChangeLog(table, clock);
  const service = new ConfigurationService({
    clock,
    log,
    guard,
    exchange,
    barrier: new ImmediateBarrier(),
    onLoaded: () => undefined,
  });
  return { clock, store, table, service, exchange };
}

const team: Team = { teamId: 'a', shareWeight: 1, upperLimit: 1 };

function addTeam(state: ConfigurationState): Change {
  const objects = [{ kind: 'teams' as const, objectId: 'a', value: team }];
  return { revision: state.fleet.revision + 1, ticketNumber: null, objects };
}

describe('ConfigurationService', () => {
  test('a slow read that began before a commit does not bring back the older configuration', async () => {
    const { clock, table, service } = setUp();
    await service.refresh();
    let slowRefresh: Promise<void> = Promise.resolve();
    const changed = service.change((state) => {
      // This read starts after the change has read the configuration and before the change is committed.
      table.readDelayMs = 500;
      slowRefresh = service.refresh();
      table.readDelayMs = 0;
      return addTeam(state);
    });
    await settlePromises();
    expect(await changed).toBe('committed');
    await clock.advanceAsync(600);
    await slowRefresh;
    expect(service.head().revision).toBe(1);
    expect(service.fleet().teams.has('a')).toBe(true);
  });

  test('the age of evidence counts from the start of a read, and from the time at which a peer composed its report', async () => {
    const { clock, table, service, exchange } = setUp();
    await service.refresh();
    table.readDelayMs = 1_500;
    const slowRefresh = service.refresh();
    await settlePromises();
    await clock.advanceAsync(1_500);
    await slowRefresh;
    expect(service.guard.tableEvidenceAgeMs()).toBe(1_500);
    await clock.advanceAsync(300);
    exchange.receive({ memberId: 'p', incarnation: 'i' }, [0, 0, 200, 0], clock.monotonicMs() - 700);
    expect(service.guard.tableEvidenceAgeMs()).toBe(900);
  });

  test('a committed change is in use and reported as committed even if the table cannot be read afterwards', async () => {
    const { table, service } = setUp();
    await service.refresh();
    const result = await service.change((state) => {
      table.failReads = true;
      return addTeam(state);
    });
    expect([result, service.head().revision]).toEqual(['committed', 1]);
  });

  test('a member that has not loaded the newest membership commits nothing, because it may have been fenced', async () => {
    const { store, table, service } = setUp();
    store.transact({ conditions: [], writes: [{ key: 'head', value: { revision: 0, membershipEpoch: 1 } }] });
    expect(await service.change(addTeam)).toBe('conflict');
    expect(table.transactions).toBe(0);
  });
});

/** A clock whose monotonic time can be stopped while the wall time continues, as on a suspended host. */
class SuspendableClock extends Clock {
  monotonic = 0;
  wall = 1_000_000;

  override monotonicMs(): number {
    return this.monotonic;
  }
  override wallMs(): number {
    return this.wall;
  }
  override schedule(): Timer {
    return { cancel: () => undefined };
  }
  run(ms: number): void {
    this.monotonic += ms;
    this.wall += ms;
  }
}

describe('FreshnessGuard', () => {
  const head = { revision: 0, membershipEpoch: 0 };

  test('evidence expires FRESHNESS_MS after the start of the read', () => {
    const clock = new SuspendableClock();
    const guard = new FreshnessGuard(clock);
    guard.observe({ head, asOfMs: clock.monotonicMs(), source: 'table' });
    clock.run(FRESHNESS_MS);
    expect(guard.isFresh()).toBe(true);
    clock.run(1);
    expect(guard.isFresh()).toBe(false);
  });

  test('evidence from before a suspension of the host is ignored, even if it arrives afterwards', () => {
    const clock = new SuspendableClock();
    const guard = new FreshnessGuard(clock);
    const asOfMs = clock.monotonicMs();
    guard.observe({ head, asOfMs, source: 'table' });
    clock.run(10);
    clock.wall += 60_000;
    expect(guard.isFresh()).toBe(false);
    guard.observe({ head, asOfMs: asOfMs + 5, source: 'table' });
    expect(guard.isFresh()).toBe(false);
    guard.observe({ head, asOfMs: clock.monotonicMs(), source: 'table' });
    expect(guard.isFresh()).toBe(true);
  });

  test('a wall clock that is set back does not hide a suspension', () => {
    const clock = new SuspendableClock();
    const guard = new FreshnessGuard(clock);
    guard.observe({ head, asOfMs: clock.monotonicMs(), source: 'table' });
    clock.wall -= 50_000;
    expect(guard.isFresh()).toBe(true);
    clock.wall += 30_000;
    expect(guard.isFresh()).toBe(false);
  });

  test('evidence from confirmations is not forwarded as evidence from the table', () => {
    const clock = new SuspendableClock();
    const guard = new FreshnessGuard(clock);
    guard.observe({ head, asOfMs: clock.monotonicMs(), source: 'confirmations' });
    expect([guard.isFresh(), guard.tableEvidenceAgeMs()]).toEqual([true, Infinity]);
  });
});
