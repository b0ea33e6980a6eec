/** One simulated entry instance: the real maintenance code and configuration on fakes of everything else. */
import { ChangeLog } from '../config/change_log';
import { ConfigurationService } from '../config/configuration_service';
import { PropagationBarrier, type PendingCommit } from '../config/propagation_barrier';
import { FENCE_WAIT_MS } from '../config/freshness';
import { InFlightCounter } from './_in_flight_counter';
import type { VirtualClock } from '../kernel/virtual_clock';
import { InFlightTracker } from '../maintenance/in_flight_tracker';
import { MaintenanceService } from '../maintenance/maintenance_service';
import { PoolMaintainer } from '../maintenance/pool_maintainer';
import type { WavePolicy } from '../maintenance/wave_policy';
import type { Member } from '../membership/membership';
import { MemoryInstanceList, MemoryPoolOperations, PlatformConnection } from '../platform/memory_platform';
import { MemoryTableService } from '../platform/memory_table_service';
import type { SimulatedPlatform } from '../platform/simulated_platform';
import type { Query, Row, Transaction, TransactionResult } from '../platform/table_service';
import type { TableStore } from '../platform/table_store';
import { RoleLeases } from '../roles/role_lease';
import { MemoryCounters } from '../telemetry/counters';
import { SimulatedMembership, type SimulatedMemberList } from './_simulated_members';

const POLL_MS = 400;

/** Waits out the evidence of every member that could still act on an older head. */
class WaitingBarrier extends PropagationBarrier {
  constructor(private readonly clock: VirtualClock) {
    super();
  }

  override begin(): PendingCommit {
    return { untilInEffect: () => this.clock.delay(FENCE_WAIT_MS), end: () => undefined };
  }
}

/** Holds up everything a paused process does. */
class Gate {
  private waiting: (() => void)[] = [];
  paused = false;

  async pass(): Promise<void> {
    while (this.paused) {
      await new Promise<void>((resolve) => {
        this.waiting = [...this.waiting, resolve];
      });
    }
  }

  open(): void {
    this.paused = false;
    const { waiting } = this;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }
}

class GatedTable extends MemoryTableService {
  constructor(
    store: TableStore,
    clock: VirtualClock,
    private readonly gate: Gate,
  ) {
    super(store, clock);
  }

  override async read(query: Query): Promise<readonly Row[]> {
    await this.gate.pass();
    const rows = await super.read(query);
    await this.gate.pass();
    return rows;
  }

  override async transact(transaction: Transaction): Promise<TransactionResult> {
    await this.gate.pass();
    const result = await super.transact(transaction);
    await this.gate.pass();
    return result;
  }
}

class GatedPlatformConnection extends PlatformConnection {
  constructor(
    platform: SimulatedPlatform,
    clock: VirtualClock,
    private readonly gate: Gate,
  ) {
    super(platform, clock);
  }

  override async awaitArrival(): Promise<void> {
    await this.gate.pass();
    await super.awaitArrival();
  }
}

export interface MaintenanceMemberOptions {
  readonly memberId: string;
  readonly clock: VirtualClock;
  readonly store: TableStore;
  readonly platform: SimulatedPlatform;
  readonly list: SimulatedMemberList;
  readonly newPolicy: () => WavePolicy;
}

export class MaintenanceMember {
  readonly counts = new InFlightCounter();
  readonly counters = new MemoryCounters();
  readonly watch: InFlightTracker;
  readonly configuration: ConfigurationService;
  readonly table: GatedTable;
  readonly link: PlatformConnection;
  private readonly gate = new Gate();
  private member: Member;
  private nextOperation = 0;

  constructor(private readonly options: MaintenanceMemberOptions) {
    const { clock, store, platform, list, memberId } = options;
    this.member = list.register(memberId);
    this.table = new GatedTable(store, clock, this.gate);
    this.link = new GatedPlatformConnection(platform, clock, this.gate);
    const log = new ChangeLog(this.table, clock);
    const barrier = new WaitingBarrier(clock);
    this.configuration = new ConfigurationService({ clock, log, barrier, onLoaded: () => undefined });
    const membership = new SimulatedMembership(list, () => this.member);
    const fleet = () => this.configuration.fleet();
    this.watch = new InFlightTracker({ clock, counts: this.counts, membership, fleet });
    this.startPolling();
    this.newService(membership).start();
  }

  /** Registers again if this member was fenced. */
  rejoin(): void {
    if (!this.gate.paused && this.options.list.isFenced(this.member))
      this.member = this.options.list.register(this.options.memberId);
  }

  isPaused(): boolean {
    return this.gate.paused;
  }

  identity(): Member {
    return this.member;
  }

  pause(): void {
    this.gate.paused = true;
  }

  resume(): void {
    this.gate.open();
  }

  private newService(membership: SimulatedMembership): MaintenanceService {
    const { clock, newPolicy, memberId } = this.options;
    const shared = { clock, membership, counters: this.counters, log: () => undefined };
    const service: MaintenanceService = new MaintenanceService({
      ...shared,
      fleet: () => this.configuration.fleet(),
      instanceList: new MemoryInstanceList(this.link),
      newMaintainer: (poolId) =>
        new PoolMaintainer(poolId, {
          ...shared,
          table: this.table,
          configuration: this.configuration,
          roles: new RoleLeases(this.table, membership),
          operations: new MemoryPoolOperations(this.link),
          watch: this.watch,
          policy: newPolicy(),
          view: () => service.platformView(),
          newOperationId: () => `${memberId}-operation-${(this.nextOperation += 1)}`,
        }),
    });
    return service;
  }

  private startPolling(): void {
    const poll = (): void => {
      void this.configuration
        .refresh()
        .catch(() => undefined)
        .then(() => this.options.clock.schedule(POLL_MS, poll));
    };
    poll();
  }
}
