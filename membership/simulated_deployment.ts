/**
 * Test harness with several entry instances in one process on one virtual clock;
 * there are no callers and no targets.
 */
import { defaultClientLimitSettings } from '../entry/client_limit_settings';
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

/** How the clock of a member differs from the shared one: it shows `shared time * rate + offsetMs`. */
export interface ClockSkew {
  readonly rate: number;
  readonly offsetMs: number;
}

class ProcessClock extends Clock {
  constructor(
    private readonly sharedClock: VirtualClock,
    private readonly process: PausableProcess,
    private readonly skew: ClockSkew,
  ) {
    super();
  }

  override monotonicMs(): number {
    return this.sharedClock.monotonicMs() * this.skew.rate + this.skew.offsetMs;
  }

  override wallMs(): number {
    return this.monotonicMs();
  }

  override schedule(delayMs: number, task: () => void): Timer {
    return this.sharedClock.schedule(delayMs / this.skew.rate, () => {
      this.process.runOrDefer(task);
    });
  }
}

/** The table as seen by one process; responses are delivered only while the process is running. */
class ProcessTable extends TableService {
  /**
   * Delays of the next transactions, in milliseconds. Each of these transactions
   * times out at the caller at once and is applied after its delay.
   */
  lateTransactionDelaysMs: readonly number[] = [];
  /** Called when a transaction that will be applied late has been sent. */
  onLateTransaction: () => void = () => undefined;

  constructor(
    readonly service: MemoryTableService,
    private readonly store: TableStore,
    private readonly clock: VirtualClock,
    private readonly process: PausableProcess,
  ) {
    super();
  }

  override read(query: Query): Promise<readonly Row[]> {
    return this.whenRunning(this.service.read(query));
  }

  override transact(transaction: Transaction): Promise<TransactionResult> {
    const [delayMs, ...remaining] = this.lateTransactionDelaysMs;
    if (delayMs === undefined) return this.whenRunning(this.service.transact(transaction));
    this.lateTransactionDelaysMs = remaining;
    this.clock.schedule(delayMs, () => this.store.transact(transaction));
    this.onLateTransaction();
    return this.whenRunning(Promise.reject(new TableOutcomeUnknownError('The table call timed out.')));
  }

  private async whenRunning<T>(call: Promise<T>): Promise<T> {
    try {
      return await call;
    } finally {
      await this.process.whenRunning();
    }
  }
}

class SimulatedInstanceList extends InstanceList {
  constructor(private readonly currentListing: () => InstanceListing | null) {
    super();
  }

  override list(): Promise<InstanceListing> {
    const listing = this.currentListing();
    if (listing) return Promise.resolve(listing);
    return Promise.reject(new PlatformUnavailableError('The instance list is unavailable.'));
  }
}

class StubPlugin extends Plugin {
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
    const { clock, store, network: memoryNetwork } = deployment;
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
      transport: memoryNetwork.transport(memberId, (task) => {
        this.process.runOrDefer(task);
      }),
      random: Math.random,
    });
    const providePlatform = (kernel: Kernel): void => {
      kernel.provide(TABLE_SERVICE, this.table);
      kernel.provide(INSTANCE_LIST, new SimulatedInstanceList(() => deployment.listing));
    };
    const providePeers = (kernel: Kernel): void => {
      kernel.provide(PEER_NETWORK, network);
      kernel.provide(PEER_EXCHANGE, network);
    };
    const pluginsUnderTest = pluginRegistry
      .all()
      .filter(({ name }) => name === 'config' || name === 'membership');
    this.kernel.load([
      { name: 'platform', create: () => new StubPlugin('platform', providePlatform) },
      { name: 'peers', create: () => new StubPlugin('peers', providePeers, () => network.close()) },
      ...pluginsUnderTest,
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

  /** Resumes the process; `beforeDeferredTasks` runs before the tasks that were deferred during the pause. */
  resume(beforeDeferredTasks: () => void = () => undefined): void {
    beforeDeferredTasks();
    this.process.resume();
  }

  /** Resolves once the process is running. */
  whenRunning(): Promise<void> {
    return this.process.whenRunning();
  }
}

/**
 * A simulated deployment of entry instances.
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
  readonly network: MemoryNetwork;
  /** All processes, in the order in which they were started. */
  members: readonly SimulatedMember[] = [];
  /** The platform's instance list, `null` if it is unavailable. */
  listing: InstanceListing | null = null;

  constructor(readonly clock: VirtualClock) {
    this.network = new MemoryNetwork(clock);
  }

  /** Starts a process; it replaces an earlier one with the same member id. */
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
    ...defaultClientLimitSettings(),
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
