/** A simulated entry instance that runs the real maintenance and configuration code; everything else is faked. */
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

/** Interval at which a member refreshes its configuration, in milliseconds. */
const POLL_INTERVAL_MS = 400;

/** Waits for a fixed time, after which every member that has not seen the new head has stopped; needs no acknowledgements. */
class FixedWaitBarrier extends PropagationBarrier {
  constructor(private readonly clock: VirtualClock) {
    super();
  }

  override begin(): PendingCommit {
    return { untilInEffect: () => this.clock.delay(FENCE_WAIT_MS), end: () => undefined };
  }
}

/** Blocks the calls of a simulated process while it is paused. */
class PauseGate {
  private waiters: (() => void)[] = [];
  isPaused = false;

  /** Resolves once the process is not paused. */
  async whenOpen(): Promise<void> {
    while (this.isPaused) {
      await new Promise<void>((resolve) => {
        this.waiters = [...this.waiters, resolve];
      });
    }
  }

  open(): void {
    this.isPaused = false;
    const { waiters } = this;
    this.waiters = [];
    for (const resolve of waiters) resolve();
  }
}

/** Table client whose requests and responses wait for the end of a pause. */
class GatedTable extends MemoryTableService {
  constructor(
    store: TableStore,
    clock: VirtualClock,
    private readonly gate: PauseGate,
  ) {
    super(store, clock);
  }

  override async read(query: Query): Promise<readonly Row[]> {
    await this.gate.whenOpen();
    const rows = await super.read(query);
    await this.gate.whenOpen();
    return rows;
  }

  override async transact(transaction: Transaction): Promise<TransactionResult> {
    await this.gate.whenOpen();
    const result = await super.transact(transaction);
    await this.gate.whenOpen();
    return result;
  }
}

/** Platform client whose requests wait for the end of a pause. */
class GatedPlatformConnection extends PlatformConnection {
  constructor(
    platform: SimulatedPlatform,
    clock: VirtualClock,
    private readonly gate: PauseGate,
  ) {
    super(platform, clock);
  }

  override async awaitArrival(): Promise<void> {
    await this.gate.whenOpen();
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

/** Polls the configuration and maintains the pools from its construction on. */
export class MaintenanceMember {
  readonly inFlight = new InFlightCounter();
  readonly counters = new MemoryCounters();
  readonly inFlightTracker: InFlightTracker;
  readonly configuration: ConfigurationService;
  readonly table: GatedTable;
  readonly link: PlatformConnection;
  private readonly gate = new PauseGate();
  private member: Member;
  private lastOperationNumber = 0;

  constructor(private readonly options: MaintenanceMemberOptions) {
    const { clock, store, platform, list, memberId } = options;
    this.member = list.register(memberId);
    this.table = new GatedTable(store, clock, this.gate);
    this.link = new GatedPlatformConnection(platform, clock, this.gate);
    const log = new ChangeLog(this.table, clock);
    const barrier = new FixedWaitBarrier(clock);
    this.configuration = new ConfigurationService({ clock, log, barrier, onLoaded: () => undefined });
    const membership = new SimulatedMembership(list, () => this.member);
    const fleet = () => this.configuration.fleet();
    this.inFlightTracker = new InFlightTracker({ clock, counts: this.inFlight, membership, fleet });
    this.startPolling();
    this.newService(membership).start();
  }

  /** Registers a new incarnation if this member was fenced; does nothing while it is paused. */
  registerAgainIfFenced(): void {
    if (!this.gate.isPaused && this.options.list.isFenced(this.member))
      this.member = this.options.list.register(this.options.memberId);
  }

  isPaused(): boolean {
    return this.gate.isPaused;
  }

  /** The incarnation under which this member acts. */
  identity(): Member {
    return this.member;
  }

  pause(): void {
    this.gate.isPaused = true;
  }

  resume(): void {
    this.gate.open();
  }

  private newService(membership: SimulatedMembership): MaintenanceService {
    const { clock, newPolicy, memberId } = this.options;
    const commonOptions = { clock, membership, counters: this.counters, log: () => undefined };
    const service: MaintenanceService = new MaintenanceService({
      ...commonOptions,
      fleet: () => this.configuration.fleet(),
      instanceList: new MemoryInstanceList(this.link),
      newMaintainer: (poolId) =>
        new PoolMaintainer(poolId, {
          ...commonOptions,
          table: this.table,
          configuration: this.configuration,
          roles: new RoleLeases(this.table, membership),
          operations: new MemoryPoolOperations(this.link),
          watch: this.inFlightTracker,
          policy: newPolicy(),
          view: () => service.platformView(),
          newOperationId: () => `${memberId}-operation-${(this.lastOperationNumber += 1)}`,
        }),
    });
    return service;
  }

  private startPolling(): void {
    const poll = (): void => {
      void this.configuration
        .refresh()
        .catch(() => undefined)
        .then(() => this.options.clock.schedule(POLL_INTERVAL_MS, poll));
    };
    poll();
  }
}
