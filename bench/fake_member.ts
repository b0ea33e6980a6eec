/** A simulated entry instance that runs the real admission code; everything else is faked. */
import { AdmissionService } from '../admission/admission_service';
import type { Admission, AdmissionRequest } from '../admission/admission_gate';
import type { QueueingPolicy } from '../admission/queueing_policy';
import { FENCE_WAIT_MS, FRESHNESS_MS } from '../config/freshness';
import { EventLoop } from '../kernel/event_loop';
import type { VirtualClock } from '../kernel/virtual_clock';
import { EMPTY_CONFIGURATION, type FleetConfiguration } from '../model/fleet';
import { MemoryTableService } from '../platform/memory_table_service';
import type { Query, Row, Transaction, TransactionResult } from '../platform/table_service';
import type { TableStore } from '../platform/table_store';
import { MemoryCounters } from '../telemetry/counters';
import { FakeExchange, EXCHANGE_INTERVAL_MS, type FakeNetwork } from './fake_network';
import { FakeMembership, type FakeMemberList } from './fake_membership';
import { PausableClock } from '../kernel/pausable_clock';

/** Interval at which a member reads the configuration, in milliseconds. */
const POLL_INTERVAL_MS = 400;

/** The configuration of a deployment and the number of the ticket that set it. */
export interface PublishedConfiguration {
  readonly fleet: FleetConfiguration;
  readonly ticket: number;
}

export interface FakeMemberOptions {
  readonly memberId: string;
  readonly clock: VirtualClock;
  readonly store: TableStore;
  readonly list: FakeMemberList;
  readonly network: FakeNetwork;
  readonly published: () => PublishedConfiguration;
  readonly newPolicy: () => QueueingPolicy;
  readonly random: () => number;
  /** Offset of the periodic polls and exchanges, so that the members do not act at the same time. */
  readonly phaseMs: number;
}

/** Table client that counts calls and delays responses until the end of a pause. */
class PausableTable extends MemoryTableService {
  calls = { reads: 0, writes: 0 };

  constructor(
    store: TableStore,
    private readonly pausableClock: PausableClock,
  ) {
    super(store, pausableClock);
  }

  override async read(query: Query): Promise<readonly Row[]> {
    this.calls = { ...this.calls, reads: this.calls.reads + 1 };
    try {
      return await super.read(query);
    } finally {
      await this.pausableClock.whenRunning();
    }
  }

  override async transact(transaction: Transaction): Promise<TransactionResult> {
    this.calls = { ...this.calls, writes: this.calls.writes + 1 };
    try {
      return await super.transact(transaction);
    } finally {
      await this.pausableClock.whenRunning();
    }
  }
}

/** Registers, polls the configuration and admits requests from its construction on. */
export class FakeMember {
  readonly memberId: string;
  readonly clock: PausableClock;
  readonly table: PausableTable;
  readonly exchange: FakeExchange;
  readonly counters = new MemoryCounters();
  readonly service: AdmissionService;
  readonly errors: unknown[] = [];
  /** Set to cut the member off from its peers and the configuration; the table stays reachable. */
  cutOff = false;
  private readonly membership: FakeMembership;
  private configuration: PublishedConfiguration = { fleet: EMPTY_CONFIGURATION, ticket: 0 };
  private freshAsOfMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FakeMemberOptions) {
    this.memberId = options.memberId;
    this.clock = new PausableClock(options.clock);
    this.table = new PausableTable(options.store, this.clock);
    this.membership = new FakeMembership(options.list);
    this.exchange = new FakeExchange({
      memberId: options.memberId,
      network: options.network,
      identity: () => this.membership.self(),
      isDisconnected: () => this.cutOff || this.clock.isPaused(),
    });
    this.service = this.newService();
    this.service.start();
    this.register();
    this.poll();
    this.scheduleEvery(POLL_INTERVAL_MS, () => {
      this.poll();
    });
    this.scheduleEvery(EXCHANGE_INTERVAL_MS, () => {
      this.exchange.exchange();
    });
  }

  /** Admits as the request flow does: the freshness of the configuration is checked again before the work starts. */
  async admit(request: AdmissionRequest): Promise<Admission> {
    const admission = await this.service.gate.admit(request);
    if (this.isFresh()) return admission;
    admission.release();
    throw new Error('The configuration is stale.');
  }

  isFresh(): boolean {
    return this.membership.self() !== null && this.clock.monotonicMs() - this.freshAsOfMs <= FRESHNESS_MS;
  }

  private newService(): AdmissionService {
    return new AdmissionService({
      clock: this.clock,
      loop: new EventLoop((error) => this.errors.push(error)),
      counters: this.counters,
      table: this.table,
      membership: this.membership,
      exchange: this.exchange,
      memberId: this.memberId,
      fleet: () => this.configuration.fleet,
      teamTicket: () => this.configuration.ticket,
      isFresh: () => this.isFresh(),
      newPolicy: this.options.newPolicy,
      random: this.options.random,
    });
  }

  /**
   * Members that register at time 0 are active at once. Later ones are joining
   * until every view of the membership that lacks them has expired.
   */
  private register(): void {
    const member = this.options.list.register(this.memberId);
    if (this.clock.monotonicMs() === 0) {
      this.membership.setSelf(member);
      return;
    }
    this.membership.setSelf({ ...member, status: 'joining' });
    this.clock.schedule(FENCE_WAIT_MS, () => {
      if (this.membership.self()?.incarnation === member.incarnation) this.membership.setSelf(member);
    });
  }

  /**
   * Loads the published configuration. A member that finds itself fenced gives up
   * its identity and registers again at the next poll.
   */
  poll(): void {
    if (this.cutOff) return;
    const self = this.membership.self();
    if (self === null) this.register();
    else if (this.options.list.incarnationState(self.memberId, self.incarnation) !== 'live') {
      this.membership.setSelf(null);
      return;
    }
    this.freshAsOfMs = this.clock.monotonicMs();
    this.membership.refresh();
    const published = this.options.published();
    if (published === this.configuration) return;
    this.configuration = published;
    this.service.onMembershipOrConfigurationChanged();
  }

  private scheduleEvery(intervalMs: number, task: () => void): void {
    const next = (): void => {
      task();
      this.clock.schedule(intervalMs, next);
    };
    this.clock.schedule(this.options.phaseMs % intervalMs, next);
  }
}
