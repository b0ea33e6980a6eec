/** Several entry instances in one process on one virtual clock, without callers, for tests of the control path. */
import '../config/config_plugin';
import './membership_plugin';
import { CONFIGURATION, type ConfigurationService } from '../config/configuration_service';
import { TicketService } from '../config/ticket_service';
import { Clock, type Timer } from '../kernel/clock';
import { Kernel } from '../kernel/kernel';
import { PausableProcess } from '../kernel/pausable_process';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import type { VirtualClock } from '../kernel/virtual_clock';
import { PEER_EXCHANGE } from '../peers/exchange';
import { MemoryNetwork } from '../peers/memory_transport';
import { PEER_NETWORK, PeerNetwork } from '../peers/peer_network';
import {
  INSTANCE_LIST,
  InstanceList,
  PlatformUnavailableError,
  type InstanceListing,
} from '../platform/instance_list';
import { MemoryTableService } from '../platform/memory_table_service';
import { TABLE_SERVICE } from '../platform/platform_plugin';
import {
  TableOutcomeUnknownError,
  TableService,
  type Query,
  type Row,
  type Transaction,
  type TransactionResult,
} from '../platform/table_service';
import { TableStore } from '../platform/table_store';
import { COUNTERS, LOGGER, ENTRY_SETTINGS } from '../settings/base_capabilities';
import type { EntrySettings } from '../settings/settings';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { MEMBERSHIP, type Membership } from './membership';

/** How a member's clock differs from the common one. */
export interface ClockSkew {
  readonly rate: number;
  readonly offsetMs: number;
}

class ProcessClock extends Clock {
  constructor(
    private readonly common: VirtualClock,
    private readonly process: PausableProcess,
    private readonly skew: ClockSkew,
  ) {
    super();
  }

  override monotonicMs(): number {
    return this.common.monotonicMs() * this.skew.rate + this.skew.offsetMs;
  }

  override wallMs(): number {
    return this.monotonicMs();
  }

  override schedule(delayMs: number, task: () => void): Timer {
    return this.common.schedule(delayMs / this.skew.rate, () => {
      this.process.runOrDefer(task);
    });
  }
}

/** The table as one process reaches it; answers wait while the process is paused. */
class ProcessTable extends TableService {
  /** Coming transactions that time out at the caller and take effect this much later, in milliseconds. */
  lateMs: readonly number[] = [];
  /** Called when such a transaction has been sent. */
  onLate: () => void = () => undefined;

  constructor(
    readonly service: MemoryTableService,
    private readonly store: TableStore,
    private readonly clock: VirtualClock,
    private readonly process: PausableProcess,
  ) {
    super();
  }

  override read(query: Query): Promise<readonly Row[]> {
    return this.answered(this.service.read(query));
  }

  override transact(transaction: Transaction): Promise<TransactionResult> {
    const [delayMs, ...later] = this.lateMs;
    if (delayMs === undefined) return this.answered(this.service.transact(transaction));
    this.lateMs = later;
    this.clock.schedule(delayMs, () => this.store.transact(transaction));
    this.onLate();
    return this.answered(Promise.reject(new TableOutcomeUnknownError('The call took too long.')));
  }

  private async answered<T>(call: Promise<T>): Promise<T> {
    try {
      return await call;
    } finally {
      await this.process.whenRunning();
    }
  }
}

class SimulatedInstanceList extends InstanceList {
  constructor(private readonly current: () => InstanceListing | null) {
    super();
  }

  override list(): Promise<InstanceListing> {
    const listing = this.current();
    if (listing) return Promise.resolve(listing);
    return Promise.reject(new PlatformUnavailableError('The platform has no list.'));
  }
}

class ProvidingPlugin extends Plugin {
  override readonly requires = [];

  constructor(
    override readonly name: string,
    private readonly provide: (kernel: Kernel) => void,
    private readonly close: () => Promise<void> = () => Promise.resolve(),
  ) {
    super();
  }

  override setUp(kernel: Kernel): void {
    this.provide(kernel);
  }

  override stop(): Promise<void> {
    return this.close();
  }
}

/** One simulated entry instance. */
export class SimulatedMember {
  readonly counters = new MemoryCounters();
  readonly table: ProcessTable;
  readonly kernel: Kernel;
  readonly configuration: ConfigurationService;
  readonly membership: Membership;
  readonly tickets: TicketService;
  readonly errors: unknown[] = [];
  private readonly process = new PausableProcess();

  constructor(
    readonly memberId: string,
    deployment: SimulatedDeployment,
    skew: ClockSkew,
  ) {
    const { clock, store, wires } = deployment;
    const processClock = new ProcessClock(clock, this.process, skew);
    this.table = new ProcessTable(new MemoryTableService(store, clock), store, clock, this.process);
    this.kernel = new Kernel({ clock: processClock, onTurnError: (error) => this.errors.push(error) });
    this.kernel.provide(ENTRY_SETTINGS, settingsOf(memberId));
    this.kernel.provide(LOGGER, Logger.create({ level: 'silent' }));
    this.kernel.provide(COUNTERS, this.counters);
    const network = new PeerNetwork({
      clock: processClock,
      loop: this.kernel.loop,
      counters: this.counters,
      transport: wires.transport(memberId, (task) => {
        this.process.runOrDefer(task);
      }),
      random: Math.random,
    });
    const platform = (kernel: Kernel): void => {
      kernel.provide(TABLE_SERVICE, this.table);
      kernel.provide(INSTANCE_LIST, new SimulatedInstanceList(() => deployment.listing));
    };
    const peers = (kernel: Kernel): void => {
      kernel.provide(PEER_NETWORK, network);
      kernel.provide(PEER_EXCHANGE, network);
    };
    const real = pluginRegistry.all().filter(({ name }) => name === 'config' || name === 'membership');
    this.kernel.load([
      { name: 'platform', create: () => new ProvidingPlugin('platform', platform) },
      { name: 'peers', create: () => new ProvidingPlugin('peers', peers, () => network.close()) },
      ...real,
    ]);
    this.configuration = this.kernel.use(CONFIGURATION);
    this.membership = this.kernel.use(MEMBERSHIP);
    this.tickets = new TicketService({
      clock: processClock,
      configuration: this.configuration,
      table: this.table,
    });
    void this.kernel.start();
  }

  isActive(): boolean {
    return this.membership.self()?.status === 'active';
  }

  isPaused(): boolean {
    return this.process.isPaused();
  }

  pause(): void {
    this.process.pause();
  }

  /** Continues the process; `first` runs before anything that waited. */
  resume(first: () => void = () => undefined): void {
    first();
    this.process.resume();
  }

  /** Waits until the process is running again. */
  continued(): Promise<void> {
    return this.process.whenRunning();
  }
}

/**
 * A deployment without callers and targets.
 *
 * @example
 * ```ts
 * const deployment = new SimulatedDeployment(new VirtualClock());
 * const member = deployment.start('entry-1');
 * await deployment.clock.advanceAsync(1_000);
 * ```
 */
export class SimulatedDeployment {
  readonly store = new TableStore();
  readonly wires: MemoryNetwork;
  /** Every process that was ever started. */
  members: readonly SimulatedMember[] = [];
  /** The platform's list, `null` if it does not answer. */
  listing: InstanceListing | null = null;

  constructor(readonly clock: VirtualClock) {
    this.wires = new MemoryNetwork(clock);
  }

  /** Starts a process; one with the same member id takes over from an earlier one. */
  start(memberId: string, skew: ClockSkew = { rate: 1, offsetMs: 0 }): SimulatedMember {
    const member = new SimulatedMember(memberId, this, skew);
    this.members = [...this.members, member];
    return member;
  }

  /** Makes the table unreachable or reachable for all members. */
  setTableDown(down: boolean): void {
    for (const { table } of this.members) table.service.faults = { ...table.service.faults, down };
  }
}

function settingsOf(memberId: string): EntrySettings {
  return {
    memberId,
    host: memberId,
    callerPort: 0,
    operatorPort: 0,
    peerPort: 0,
    availabilityZone: 'zone-1',
    tableUrl: 'http://127.0.0.1',
    tableTimeoutMs: 1_000,
    platformUrl: 'http://127.0.0.1',
    operatorToken: 'operator-token',
    balancerGraceMs: 0,
    maxBodyBytes: 0,
    statsdHost: '',
    statsdPort: 0,
    logLevel: 'silent',
  };
}
