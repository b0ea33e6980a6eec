/** One simulated entry instance: the real admission code on fakes of everything else. */
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

/** Interval at which a member reads the head, in milliseconds. */
const POLL_MS = 400;

/** The configuration of the whole deployment at one moment. */
export interface Published {
  readonly fleet: FleetConfiguration;
  readonly ticket: number;
}

export interface FakeMemberOptions {
  readonly memberId: string;
  readonly clock: VirtualClock;
  readonly store: TableStore;
  readonly list: FakeMemberList;
  readonly network: FakeNetwork;
  readonly published: () => Published;
  readonly newPolicy: () => QueueingPolicy;
  readonly random: () => number;
  /** Delay before the first poll and exchange, so that members do not act in step. */
  readonly phaseMs: number;
}

/** Table client whose answers wait for the end of a pause. */
class PausableTable extends MemoryTableService {
  calls = { reads: 0, writes: 0 };

  constructor(
    store: TableStore,
    private readonly pausable: PausableClock,
  ) {
    super(store, pausable);
  }

  override async read(query: Query): Promise<readonly Row[]> {
    this.calls = { ...this.calls, reads: this.calls.reads + 1 };
    try {
      return await super.read(query);
    } finally {
      await this.pausable.whenRunning();
    }
  }

  override async transact(transaction: Transaction): Promise<TransactionResult> {
    this.calls = { ...this.calls, writes: this.calls.writes + 1 };
    try {
      return await super.transact(transaction);
    } finally {
      await this.pausable.whenRunning();
    }
  }
}

export class FakeMember {
  readonly memberId: string;
  readonly clock: PausableClock;
  readonly table: PausableTable;
  readonly exchange: FakeExchange;
  readonly counters = new MemoryCounters();
  readonly service: AdmissionService;
  readonly errors: unknown[] = [];
  cutOff = false;
  private readonly membership: FakeMembership;
  private view: Published = { fleet: EMPTY_CONFIGURATION, ticket: 0 };
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
      isSilent: () => this.cutOff || this.clock.isPaused(),
    });
    this.service = this.newService();
    this.service.start();
    this.register();
    this.poll();
    this.repeat(POLL_MS, () => {
      this.poll();
    });
    this.repeat(EXCHANGE_INTERVAL_MS, () => {
      this.exchange.exchange();
    });
  }

  /** Admits as the request flow does: the evidence is checked again before the work starts. */
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
      fleet: () => this.view.fleet,
      teamTicket: () => this.view.ticket,
      isFresh: () => this.isFresh(),
      newPolicy: this.options.newPolicy,
      random: this.options.random,
    });
  }

  /** The first members start as active; later ones wait until every view that lacks them has expired. */
  private register(): void {
    const member = this.options.list.register(this.memberId);
    if (this.clock.monotonicMs() === 0) {
      this.membership.become(member);
      return;
    }
    this.membership.become({ ...member, status: 'joining' });
    this.clock.schedule(FENCE_WAIT_MS, () => {
      if (this.membership.self()?.incarnation === member.incarnation) this.membership.become(member);
    });
  }

  /** Takes in the configuration and notices a fence; a fenced member registers again at the next poll. */
  poll(): void {
    if (this.cutOff) return;
    const self = this.membership.self();
    if (self === null) this.register();
    else if (this.options.list.standing(self.memberId, self.incarnation) !== 'live') {
      this.membership.become(null);
      return;
    }
    this.freshAsOfMs = this.clock.monotonicMs();
    this.membership.refresh();
    const published = this.options.published();
    if (published === this.view) return;
    this.view = published;
    this.service.onMembershipOrConfigurationChanged();
  }

  private repeat(intervalMs: number, task: () => void): void {
    const next = (): void => {
      task();
      this.clock.schedule(intervalMs, next);
    };
    this.clock.schedule(this.options.phaseMs % intervalMs, next);
  }
}
