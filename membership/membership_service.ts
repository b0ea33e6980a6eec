/** Registers this entry instance, keeps the membership up to date and fences silent members. */
import type { ConfigurationService } from '../config/configuration_service';
import type { PropagationBarrier, PendingCommit } from '../config/propagation_barrier';
import type { HeadExchange } from '../config/head_exchange';
import type { Clock, Timer } from '../kernel/clock';
import { isSamePeer, type PeerIdentity } from '../peers/exchange';
import type { PeerNetwork } from '../peers/peer_network';
import type { InstanceList, InstanceListing } from '../platform/instance_list';
import type { TableService } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS, type LogEvent } from '../telemetry/events_catalogue';
import type { LogFields } from '../telemetry/logger';
import { FencedIncarnations } from './fenced_incarnations';
import { fenceCandidates, type FenceCandidate } from './fence_policy';
import { isRegistered, succeed, toMember, type MemberRow } from './member_row';
import { MemberTable, type MembershipSnapshot } from './member_table';
import { Membership, type Member, type IncarnationState } from './membership';
import { SILENCE_TICK_MS, SilenceMonitor, type Silence } from './silence_monitor';

/** Table evidence older than this shows that the table is down or slow, in milliseconds. */
const TABLE_UP_MS = 1_000;

/** Delay before a lost race for the head is run again, in milliseconds; spread at random. */
const CONFLICT_RETRY_MS = 50;
const UNAVAILABLE_RETRY_MS = 500;

/** Interval between reads of the platform's list, in milliseconds. */
const LISTING_INTERVAL_MS = 5_000;

/** Attempts to mark the own row as left; others fence the member if all fail. */
const LEAVE_ATTEMPTS = 5;

/** A member that heard from another one within this time vouches for it, in milliseconds. */
const VOUCH_MS = 1_250;

const SILENT_MS_METHOD = 'membership.silent_ms';

export interface MembershipServiceOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly configuration: ConfigurationService;
  readonly exchange: HeadExchange;
  readonly barrier: PropagationBarrier;
  readonly network: PeerNetwork;
  readonly instanceList: InstanceList;
  readonly counters: Counters;
  readonly log: (event: LogEvent, fields: LogFields) => void;
  /** Uniform in [0, 1); spreads retries. */
  readonly random: () => number;
  /** A new incarnation, unique among all. */
  readonly newIncarnation: () => string;
  readonly onUpdated: () => void;
}

/** What this entry instance registers. */
export type MemberAddress = Pick<Member, 'memberId' | 'host' | 'peerPort' | 'availabilityZone'>;

/**
 * The membership kept in the table.
 *
 * @example
 * ```ts
 * await membership.start({ memberId: 'entry-1', host, peerPort, availabilityZone: 'zone-1' });
 * await membership.stop();
 * ```
 */
export class MembershipService extends Membership {
  private readonly members: MemberTable;
  private readonly ended = new FencedIncarnations();
  private readonly silence = new SilenceMonitor();
  private address: MemberAddress | null = null;
  private incarnation: string | null = null;
  private snapshot: MembershipSnapshot | null = null;
  private joinPending: PendingCommit | null = null;
  private listing: InstanceListing | null = null;
  private listedAtMs = Number.NEGATIVE_INFINITY;
  private endedCount = 0;
  private working = false;
  private stopped = false;
  private timer: Timer | null = null;

  constructor(private readonly options: MembershipServiceOptions) {
    super();
    this.members = new MemberTable(options.table, options.clock);
    options.exchange.subscribe(() => {
      if (this.canActivate()) void this.work(() => this.activate());
    });
    options.network.handle(SILENT_MS_METHOD, (_, params) => {
      const silentMs = options.network.sinceLastContactMs(params as PeerIdentity);
      return Promise.resolve(Number.isFinite(silentMs) ? silentMs : -1);
    });
  }

  override self(): Member | null {
    const row = this.ownRow();
    return row ? toMember(row) : null;
  }

  override registered(): readonly Member[] {
    return [...(this.snapshot?.rows.values() ?? [])].filter(isRegistered).map(toMember);
  }

  override incarnationState(memberId: string, incarnation: string): IncarnationState {
    if (this.snapshot === null) return 'live';
    const row = this.snapshot.rows.get(memberId);
    if (row === undefined) return 'ended';
    return this.ended.standing(row, incarnation, this.isActive(), this.options.clock.monotonicMs());
  }

  /** Registers this instance; resolves once it is registered, which may be before it is active. */
  async start(address: MemberAddress): Promise<void> {
    this.address = address;
    await this.work(() => this.register(address));
    this.scheduleTick();
  }

  /** Brings the membership up to date with the table; failures are repeated at the next tick. */
  async refresh(): Promise<void> {
    try {
      this.adopt(await this.members.load());
    } catch {
      this.options.counters.increment('membership.read_failed');
    }
  }

  /** Marks this instance as left, which tells the others that none of its work is running. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.timer?.cancel();
    this.options.barrier.begin();
    for (let attempt = 1; attempt <= LEAVE_ATTEMPTS; attempt += 1) {
      try {
        if (await this.leave()) return;
      } catch {
        this.options.counters.increment('membership.leave_failed');
      }
      await this.options.clock.delay(CONFLICT_RETRY_MS * (attempt + this.options.random()));
    }
  }

  /** Registration, activation and fences write the same rows, so one runs at a time. */
  private async work(task: () => Promise<void>): Promise<void> {
    if (this.working) return;
    this.working = true;
    try {
      await task();
    } catch {
      this.options.counters.increment('membership.write_failed');
    } finally {
      this.working = false;
    }
  }

  private scheduleTick(): void {
    if (this.stopped) return;
    this.timer = this.options.clock.schedule(SILENCE_TICK_MS, () => {
      void this.tick();
      this.scheduleTick();
    });
  }

  private async tick(): Promise<void> {
    const silences = this.observeSilence();
    this.noticeEndedWaits();
    if (this.needsRefresh()) await this.refresh();
    const { address } = this;
    if (address !== null && this.mayRegister()) await this.work(() => this.register(address));
    else if (this.canActivate()) await this.work(() => this.activate());
    else if (this.isTableUp()) await this.work(() => this.fenceSilent(silences));
  }

  /** Activation does not raise the epoch, so the rows of joining members are read until they are active. */
  private needsRefresh(): boolean {
    const newestEpoch = this.options.configuration.guard.newestHead().membershipEpoch;
    if (this.snapshot === null || this.snapshot.head.membershipEpoch < newestEpoch) return true;
    return this.peerRows().some(({ status }) => status === 'joining');
  }

  private observeSilence(): readonly Silence[] {
    const { clock, network, configuration } = this.options;
    return this.silence.observe({
      nowMs: clock.monotonicMs(),
      isUsable: this.isTableUp() && configuration.isFresh(),
      peers: this.peerRows().map((row) => ({
        peer: identity(row),
        silentMs: network.sinceLastContactMs(row),
      })),
    });
  }

  private isTableUp(): boolean {
    return this.options.configuration.guard.tableEvidenceAgeMs() <= TABLE_UP_MS;
  }

  private noticeEndedWaits(): void {
    const count = this.isActive() ? this.ended.endedCount(this.options.clock.monotonicMs()) : 0;
    if (count !== this.endedCount) this.options.onUpdated();
    this.endedCount = count;
  }

  private ownRow(): MemberRow | null {
    const row = this.address === null ? undefined : this.snapshot?.rows.get(this.address.memberId);
    return row?.incarnation === this.incarnation && isRegistered(row) ? row : null;
  }

  private isActive(): boolean {
    return this.ownRow()?.status === 'active';
  }

  private peerRows(): readonly MemberRow[] {
    const rows = [...(this.snapshot?.rows.values() ?? [])];
    return rows.filter((row) => isRegistered(row) && row.memberId !== this.address?.memberId);
  }

  /** Another process that registered under the same id keeps it; two would take the row from each other for ever. */
  private mayRegister(): boolean {
    if (this.stopped || this.address === null || this.snapshot === null || this.ownRow() !== null)
      return false;
    const row = this.snapshot.rows.get(this.address.memberId);
    return row === undefined || !isRegistered(row);
  }

  private async register(address: MemberAddress): Promise<void> {
    const incarnation = this.options.newIncarnation();
    const pending = this.options.barrier.begin();
    this.joinPending?.end();
    this.joinPending = pending;
    this.incarnation = incarnation;
    const member: Member = { ...address, incarnation, status: 'joining' };
    while (!this.stopped && !(await this.tryRegister(member))) {
      await this.options.clock.delay(CONFLICT_RETRY_MS * (1 + this.options.random()));
    }
    this.options.counters.increment('membership.registered');
    this.options.log(LOG_EVENTS.memberRegistered, { memberId: address.memberId, incarnation });
    if (this.canActivate()) await this.activate();
  }

  private async tryRegister(member: Member): Promise<boolean> {
    try {
      const base = await this.members.load();
      const previous = base.rows.get(member.memberId) ?? null;
      if (previous?.incarnation !== member.incarnation) {
        const result = await this.members.change(base, [succeed(member, previous)]);
        if (result !== 'committed') this.options.counters.increment('membership.register_retried', result);
      }
      this.adopt(await this.members.load());
      return this.ownRow() !== null;
    } catch {
      this.options.counters.increment('membership.register_retried', 'unavailable');
      await this.options.clock.delay(UNAVAILABLE_RETRY_MS);
      return false;
    }
  }

  /** Every registered member knows this one, so its promise is asked for from now on. */
  private canActivate(): boolean {
    const row = this.ownRow();
    if (row?.status !== 'joining' || this.snapshot === null) return false;
    return this.options.exchange.isSeenByAll(this.snapshot.head);
  }

  private async activate(): Promise<void> {
    const row = this.ownRow();
    if (row === null || this.snapshot === null || !this.canActivate()) return;
    const result = await this.members.update(this.snapshot, { ...row, status: 'active' });
    if (result !== 'committed') this.options.counters.increment('membership.activate_retried', result);
    this.adopt(await this.members.load());
  }

  /** Noted on loading the row, because the answer to the write may have been lost. */
  private noteActive(row: MemberRow): void {
    if (row.status !== 'active' || this.joinPending === null) return;
    this.ended.restart(this.options.clock.monotonicMs());
    this.joinPending.end();
    this.joinPending = null;
    this.options.log(LOG_EVENTS.memberActive, { memberId: row.memberId, incarnation: row.incarnation });
  }

  private async fenceSilent(silences: readonly Silence[]): Promise<void> {
    const row = this.ownRow();
    if (row === null || silences.every(({ countedMs }) => countedMs === 0)) return;
    await this.readListing();
    const candidates = fenceCandidates({
      selfId: row.memberId,
      isKnownToSilentMembers: row.status === 'active' || row.succeedsActive,
      silences,
      listing: this.listing,
    });
    const confirmed: FenceCandidate[] = [];
    for (const candidate of candidates) if (await this.isConfirmed(candidate)) confirmed.push(candidate);
    if (confirmed.length > 0) await this.fence(confirmed);
  }

  private async readListing(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.listedAtMs < LISTING_INTERVAL_MS) return;
    this.listedAtMs = nowMs;
    try {
      this.listing = await this.options.instanceList.list();
    } catch {
      this.options.counters.increment('membership.listing_failed');
      this.listing = null;
    }
  }

  /** A member that others hear is not gone; only the way to it is cut. */
  private async isConfirmed(candidate: FenceCandidate): Promise<boolean> {
    const { network, counters, log } = this.options;
    if (candidate.reason === 'listed_gone') return true;
    const answers = await Promise.allSettled(
      network.reachable().map((peer) => network.call(peer.memberId, SILENT_MS_METHOD, candidate.peer)),
    );
    const isHeard = answers.some(({ status, ...answer }) => {
      const silentMs = status === 'fulfilled' && 'value' in answer ? answer.value : -1;
      return typeof silentMs === 'number' && silentMs >= 0 && silentMs <= VOUCH_MS;
    });
    if (isHeard) {
      counters.increment('membership.fence_withheld');
      log(LOG_EVENTS.fenceWithheld, { memberId: candidate.peer.memberId });
    }
    return !isHeard;
  }

  private async fence(candidates: readonly FenceCandidate[]): Promise<void> {
    const pending = this.options.barrier.begin();
    try {
      const base = await this.members.load();
      this.adopt(base);
      const rows = candidates.flatMap(({ peer }) => {
        const row = base.rows.get(peer.memberId);
        return row && isRegistered(row) && isSamePeer(row, peer)
          ? [{ ...row, status: 'fenced' as const }]
          : [];
      });
      // An instance that was itself fenced meanwhile has no say any more.
      if (rows.length === 0 || this.ownRow() === null) return;
      const result = await this.members.change(base, rows);
      if (result === 'conflict') this.options.counters.increment('membership.fence_retried', result);
      else await this.finishFence(candidates, pending);
    } finally {
      pending.end();
    }
  }

  private async finishFence(candidates: readonly FenceCandidate[], pending: PendingCommit): Promise<void> {
    const fenced = await this.loadUntilAnswered();
    this.adopt(fenced);
    for (const { peer, reason } of candidates) {
      this.options.counters.increment('membership.fenced', reason);
      this.options.log(LOG_EVENTS.memberFenced, { ...peer, reason });
    }
    await pending.untilInEffect(fenced.head);
  }

  /** The fence is in the table, so no promise may be given before its head is known here. */
  private async loadUntilAnswered(): Promise<MembershipSnapshot> {
    for (;;) {
      try {
        return await this.members.load();
      } catch {
        await this.options.clock.delay(UNAVAILABLE_RETRY_MS);
      }
    }
  }

  private async leave(): Promise<boolean> {
    const base = await this.members.load();
    const row = this.address === null ? undefined : base.rows.get(this.address.memberId);
    if (row?.incarnation !== this.incarnation || !isRegistered(row)) return true;
    return (await this.members.change(base, [{ ...row, status: 'left' }])) === 'committed';
  }

  private adopt(snapshot: MembershipSnapshot): void {
    const known = this.snapshot;
    if (known !== null && snapshot.head.membershipEpoch < known.head.membershipEpoch) return;
    const before = this.ownRow();
    this.snapshot = snapshot;
    this.ended.observe(snapshot.rows.values(), this.options.clock.monotonicMs());
    const self = this.ownRow();
    if (before !== null && self === null) this.noteLost(before);
    if (self !== null) this.noteActive(self);
    this.publish();
  }

  private noteLost(before: MemberRow): void {
    const isTaken = this.snapshot?.rows.get(before.memberId)?.incarnation !== before.incarnation;
    this.options.counters.increment('membership.lost', isTaken ? 'id_in_use' : 'fenced');
    const event = isTaken ? LOG_EVENTS.memberIdInUse : LOG_EVENTS.registrationLost;
    this.options.log(event, { memberId: before.memberId, incarnation: before.incarnation });
  }

  private publish(): void {
    if (this.snapshot === null) return;
    const self = this.ownRow();
    const peers = this.peerRows();
    this.options.network.setMembers(
      self ? identity(self) : null,
      peers.map((row) => ({ ...identity(row), address: { host: row.host, port: row.peerPort } })),
      self?.status === 'joining',
    );
    this.options.exchange.setMembers({
      head: this.snapshot.head,
      peers: peers.map(identity),
      isRegistered: self !== null,
      isActive: self?.status === 'active',
      fencedEvidenceUntilMs: this.ended.fencedUntilMs(),
    });
    this.options.onUpdated();
  }
}

function identity(row: PeerIdentity): PeerIdentity {
  return { memberId: row.memberId, incarnation: row.incarnation };
}
