/** Registers this entry instance, refreshes the membership and fences silent members. */
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
import { isRegistered, successorRow, toMember, type MemberRow } from './member_row';
import { MemberTable, type MembershipSnapshot } from './member_table';
import { Membership, type Member, type IncarnationState } from './membership';
import { SILENCE_TICK_MS, SilenceMonitor, type Silence } from './silence_monitor';

/** The table counts as down if the latest evidence from it (see `HeadEvidence`) is older than this many milliseconds. */
const MAX_TABLE_EVIDENCE_AGE_MS = 1_000;

/** Delay before a write that conflicted with another one is retried, in milliseconds; jitter is added. */
const CONFLICT_RETRY_MS = 50;
const UNAVAILABLE_RETRY_MS = 500;

/** Interval between reads of the platform's list, in milliseconds. */
const LISTING_INTERVAL_MS = 5_000;

/** Attempts to mark this member as left; other members fence it if all attempts fail. */
const LEAVE_ATTEMPTS = 5;

/** A silent member is not fenced if a peer received a message from it within this many milliseconds. */
const RECENT_CONTACT_MS = 1_250;

/**
 * Peer method that returns the time since the last message of a member, in
 * milliseconds, or -1 if there was none.
 */
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
  /** Uniform in [0, 1); adds jitter to retries. */
  readonly random: () => number;
  /** Returns a globally unique id for an incarnation. */
  readonly newIncarnation: () => string;
  /** Called when the loaded membership or the state of an incarnation has changed. */
  readonly onUpdated: () => void;
}

/** The member id and location under which this entry instance registers. */
export type MemberAddress = Pick<Member, 'memberId' | 'host' | 'peerPort' | 'availabilityZone'>;

/**
 * Membership that is stored in the table.
 *
 * @example
 * ```ts
 * await membership.start({ memberId: 'entry-1', host, peerPort, availabilityZone: 'zone-1' });
 * await membership.stop();
 * ```
 */
export class MembershipService extends Membership {
  private readonly members: MemberTable;
  private readonly fencedIncarnations = new FencedIncarnations();
  private readonly silenceMonitor = new SilenceMonitor();
  private address: MemberAddress | null = null;
  private incarnation: string | null = null;
  private snapshot: MembershipSnapshot | null = null;
  private pendingJoin: PendingCommit | null = null;
  private listing: InstanceListing | null = null;
  private listingReadAtMs = Number.NEGATIVE_INFINITY;
  private endedCount = 0;
  private isBusy = false;
  private stopped = false;
  private timer: Timer | null = null;

  constructor(private readonly options: MembershipServiceOptions) {
    super();
    this.members = new MemberTable(options.table, options.clock);
    options.exchange.subscribe(() => {
      if (this.canActivate()) void this.runExclusive(() => this.activate());
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
    return this.fencedIncarnations.stateOf(
      row,
      incarnation,
      this.isActive(),
      this.options.clock.monotonicMs(),
    );
  }

  /** Registers this instance; resolves once it is registered, which may be before it is active. */
  async start(address: MemberAddress): Promise<void> {
    this.address = address;
    await this.runExclusive(() => this.register(address));
    this.scheduleTick();
  }

  /** Reads the membership from the table; a failed read is retried at the next tick. */
  async refresh(): Promise<void> {
    try {
      this.applySnapshot(await this.members.load());
    } catch {
      this.options.counters.increment('membership.read_failed');
    }
  }

  /** Marks this instance as left, so that the others know that none of its work is running. */
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

  /**
   * Runs `task` unless another one is running, because registration, activation
   * and fences write the same rows. A failure is counted; a later tick tries again.
   */
  private async runExclusive(task: () => Promise<void>): Promise<void> {
    if (this.isBusy) return;
    this.isBusy = true;
    try {
      await task();
    } catch {
      this.options.counters.increment('membership.write_failed');
    } finally {
      this.isBusy = false;
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
    this.publishEndedIncarnations();
    if (this.needsRefresh()) await this.refresh();
    const { address } = this;
    if (address !== null && this.mayRegister()) await this.runExclusive(() => this.register(address));
    else if (this.canActivate()) await this.runExclusive(() => this.activate());
    else if (this.isTableUp()) await this.runExclusive(() => this.fenceSilent(silences));
  }

  /**
   * Whether the rows have to be read. Activation does not raise the epoch, so they
   * are also read at every tick while a peer is joining.
   */
  private needsRefresh(): boolean {
    const newestEpoch = this.options.configuration.guard.newestHead().membershipEpoch;
    if (this.snapshot === null || this.snapshot.head.membershipEpoch < newestEpoch) return true;
    return this.peerRows().some(({ status }) => status === 'joining');
  }

  private observeSilence(): readonly Silence[] {
    const { clock, network, configuration } = this.options;
    return this.silenceMonitor.observe({
      nowMs: clock.monotonicMs(),
      isUsable: this.isTableUp() && configuration.isFresh(),
      peers: this.peerRows().map((row) => ({
        peer: identity(row),
        silentMs: network.sinceLastContactMs(row),
      })),
    });
  }

  private isTableUp(): boolean {
    return this.options.configuration.guard.tableEvidenceAgeMs() <= MAX_TABLE_EVIDENCE_AGE_MS;
  }

  private publishEndedIncarnations(): void {
    const count = this.isActive() ? this.fencedIncarnations.endedCount(this.options.clock.monotonicMs()) : 0;
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

  /**
   * Whether this instance may register again after it lost its registration. False
   * while another process is registered under the same id, because the two would
   * otherwise replace each other endlessly.
   */
  private mayRegister(): boolean {
    if (this.stopped || this.address === null || this.snapshot === null || this.ownRow() !== null)
      return false;
    const row = this.snapshot.rows.get(this.address.memberId);
    return row === undefined || !isRegistered(row);
  }

  private async register(address: MemberAddress): Promise<void> {
    const incarnation = this.options.newIncarnation();
    const pending = this.options.barrier.begin();
    this.pendingJoin?.end();
    this.pendingJoin = pending;
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
        const result = await this.members.commit(base, [successorRow(member, previous)]);
        if (result !== 'committed') this.options.counters.increment('membership.register_retried', result);
      }
      this.applySnapshot(await this.members.load());
      return this.ownRow() !== null;
    } catch {
      this.options.counters.increment('membership.register_retried', 'unavailable');
      await this.options.clock.delay(UNAVAILABLE_RETRY_MS);
      return false;
    }
  }

  /**
   * Whether this joining instance may become active: every registered member has
   * seen it and needs its confirmation to stay fresh.
   */
  private canActivate(): boolean {
    const row = this.ownRow();
    if (row?.status !== 'joining' || this.snapshot === null) return false;
    return this.options.exchange.isSeenByAll(this.snapshot.head);
  }

  private async activate(): Promise<void> {
    const row = this.ownRow();
    if (row === null || this.snapshot === null || !this.canActivate()) return;
    const result = await this.members.updateRow(this.snapshot, { ...row, status: 'active' });
    if (result !== 'committed') this.options.counters.increment('membership.activate_retried', result);
    this.applySnapshot(await this.members.load());
  }

  /**
   * Completes an activation. Called whenever the row of this instance has been
   * loaded, because the response to the write may have been lost.
   */
  private onActive(row: MemberRow): void {
    if (row.status !== 'active' || this.pendingJoin === null) return;
    this.fencedIncarnations.restartWaits(this.options.clock.monotonicMs());
    this.pendingJoin.end();
    this.pendingJoin = null;
    this.options.log(LOG_EVENTS.memberActive, { memberId: row.memberId, incarnation: row.incarnation });
  }

  private async fenceSilent(silences: readonly Silence[]): Promise<void> {
    const row = this.ownRow();
    if (row === null || silences.every(({ countedMs }) => countedMs === 0)) return;
    await this.readListing();
    const candidates = fenceCandidates({
      selfId: row.memberId,
      isConfirmationNeeded: row.status === 'active' || row.succeedsActive,
      silences,
      listing: this.listing,
    });
    const confirmed: FenceCandidate[] = [];
    for (const candidate of candidates) if (await this.isConfirmed(candidate)) confirmed.push(candidate);
    if (confirmed.length > 0) await this.fence(confirmed);
  }

  private async readListing(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.listingReadAtMs < LISTING_INTERVAL_MS) return;
    this.listingReadAtMs = nowMs;
    try {
      this.listing = await this.options.instanceList.list();
    } catch {
      this.options.counters.increment('membership.listing_failed');
      this.listing = null;
    }
  }

  /**
   * Whether a member may be fenced. Asks the peers about a silent one: if it is in
   * contact with one of them, it is running and only this instance cannot reach it.
   */
  private async isConfirmed(candidate: FenceCandidate): Promise<boolean> {
    const { network, counters, log } = this.options;
    if (candidate.reason === 'listed_gone') return true;
    const responses = await Promise.allSettled(
      network.reachable().map((peer) => network.call(peer.memberId, SILENT_MS_METHOD, candidate.peer)),
    );
    const hasContact = responses.some(({ status, ...response }) => {
      const silentMs = status === 'fulfilled' && 'value' in response ? response.value : -1;
      return typeof silentMs === 'number' && silentMs >= 0 && silentMs <= RECENT_CONTACT_MS;
    });
    if (hasContact) {
      counters.increment('membership.fence_withheld');
      log(LOG_EVENTS.fenceWithheld, { memberId: candidate.peer.memberId });
    }
    return !hasContact;
  }

  private async fence(candidates: readonly FenceCandidate[]): Promise<void> {
    const pending = this.options.barrier.begin();
    try {
      const base = await this.members.load();
      this.applySnapshot(base);
      const rows = candidates.flatMap(({ peer }) => {
        const row = base.rows.get(peer.memberId);
        return row && isRegistered(row) && isSamePeer(row, peer)
          ? [{ ...row, status: 'fenced' as const }]
          : [];
      });
      // An instance that has been fenced itself in the meantime must not fence others.
      if (rows.length === 0 || this.ownRow() === null) return;
      const result = await this.members.commit(base, rows);
      if (result === 'conflict') this.options.counters.increment('membership.fence_retried', result);
      else await this.finishFence(candidates, pending);
    } finally {
      pending.end();
    }
  }

  private async finishFence(candidates: readonly FenceCandidate[], pending: PendingCommit): Promise<void> {
    const snapshot = await this.loadWithRetries();
    this.applySnapshot(snapshot);
    for (const { peer, reason } of candidates) {
      this.options.counters.increment('membership.fenced', reason);
      this.options.log(LOG_EVENTS.memberFenced, { ...peer, reason });
    }
    await pending.untilInEffect(snapshot.head);
  }

  /**
   * Loads the membership and retries until the table responds. After a fence, this
   * instance must not confirm a head before it has loaded the new one.
   */
  private async loadWithRetries(): Promise<MembershipSnapshot> {
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
    return (await this.members.commit(base, [{ ...row, status: 'left' }])) === 'committed';
  }

  private applySnapshot(snapshot: MembershipSnapshot): void {
    const current = this.snapshot;
    if (current !== null && snapshot.head.membershipEpoch < current.head.membershipEpoch) return;
    const previousRow = this.ownRow();
    this.snapshot = snapshot;
    this.fencedIncarnations.observe(snapshot.rows.values(), this.options.clock.monotonicMs());
    const self = this.ownRow();
    if (previousRow !== null && self === null) this.onRegistrationLost(previousRow);
    if (self !== null) this.onActive(self);
    this.publish();
  }

  private onRegistrationLost(row: MemberRow): void {
    const isIdInUse = this.snapshot?.rows.get(row.memberId)?.incarnation !== row.incarnation;
    this.options.counters.increment('membership.lost', isIdInUse ? 'id_in_use' : 'fenced');
    const event = isIdInUse ? LOG_EVENTS.memberIdInUse : LOG_EVENTS.registrationLost;
    this.options.log(event, { memberId: row.memberId, incarnation: row.incarnation });
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
      fencedEvidenceUntilMs: this.fencedIncarnations.evidenceUntilMs(),
    });
    this.options.onUpdated();
  }
}

function identity(row: PeerIdentity): PeerIdentity {
  return { memberId: row.memberId, incarnation: row.incarnation };
}
