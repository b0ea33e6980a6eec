/** What entry instances tell each other about the head: evidence, acknowledgements and promises. */
import { z } from 'zod';
import { capability } from '../kernel/capability';
import type { Clock } from '../kernel/clock';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { Counters } from '../telemetry/counters';
import { FRESHNESS_MS, type FreshnessGuard, type HeadEvidence } from './freshness';
import { coversHead, type Head } from './head';

/** The members as last loaded from the table. */
export interface KnownMembers {
  /** Head at which they were loaded. */
  readonly head: Head;
  /** Registered members other than this one. */
  readonly peers: readonly PeerIdentity[];
  /** Whether this instance is registered under its current incarnation. */
  readonly isRegistered: boolean;
  /** Whether every registered member knows this instance, which may then commit changes. */
  readonly isActive: boolean;
  /** Local monotonic time from which no incarnation that has been fenced holds evidence, in milliseconds. */
  readonly fencedUntilMs: number;
}

/** Revision, epoch, age of table evidence in milliseconds (-1 for none), and 1 for a promise. */
const sectionSchema = z.tuple([z.int().min(0), z.int().min(0), z.int().min(-1), z.int()]).rest(z.unknown());

interface Statement {
  readonly head: Head;
  readonly promised: boolean;
  readonly sentMs: number;
}

export interface HeadExchangeOptions {
  readonly clock: Clock;
  readonly guard: FreshnessGuard;
  readonly counters: Counters;
  /** Called when a peer names a head that this instance has not loaded. */
  readonly onNewerHead: () => void;
}

export const HEAD_EXCHANGE = capability<HeadExchange>('config.head_exchange');

/** Keeps the statements of the peers, and answers which heads they have seen. */
export class HeadExchange extends ExchangeSection {
  override readonly name = 'h';
  private readonly statements = new Map<string, Statement>();
  private members: KnownMembers | null = null;
  private pendingCommits = 0;
  private watchers: readonly (() => void)[] = [];

  constructor(private readonly options: HeadExchangeOptions) {
    super();
  }

  /** Takes over the members as loaded; only registered ones take part in promises and acknowledgements. */
  setMembers(members: KnownMembers): void {
    this.members = members;
    const epoch = members.head.membershipEpoch;
    this.options.guard.setMembers({ epoch, isRegistered: members.isRegistered });
    this.observe({ head: members.head, asOfMs: Number.NEGATIVE_INFINITY, source: 'table' });
    this.usePromises();
    this.notify();
  }

  /** Whether this instance may commit changes. */
  isActive(): boolean {
    return this.members?.isActive ?? false;
  }

  /** Whether this instance may commit a change on top of `base`: active, with no membership change it has not seen. */
  mayCommitAfter(base: Head): boolean {
    return this.isActive() && this.members?.head.membershipEpoch === base.membershipEpoch;
  }

  /** Stops promises until the returned function is called; calling that again has no effect. */
  suspendPromises(): () => void {
    this.pendingCommits += 1;
    let ended = false;
    return () => {
      if (!ended) this.pendingCommits -= 1;
      ended = true;
    };
  }

  /**
   * Whether every registered member has seen `head`, and members fenced before
   * it hold no evidence any more. False while the members that were registered
   * at that head are not known.
   */
  isSeenByAll(head: Head): boolean {
    const { members } = this;
    if (members === null || members.head.membershipEpoch < head.membershipEpoch) return false;
    if (!coversHead(this.options.guard.newest(), head)) return false;
    if (this.options.clock.monotonicMs() < members.fencedUntilMs) return false;
    return members.peers.every((peer) => this.hasSeen(peer, head));
  }

  /** Registered members that have not seen `head`. */
  missing(head: Head): readonly PeerIdentity[] {
    return this.members?.peers.filter((peer) => !this.hasSeen(peer, head)) ?? [];
  }

  /** Calls `watcher` after every statement and membership change until the returned function is called. */
  watch(watcher: () => void): () => void {
    this.watchers = [...this.watchers, watcher];
    return () => {
      this.watchers = this.watchers.filter((known) => known !== watcher);
    };
  }

  /** Uses the promises of all registered members, if they hold, as evidence. */
  usePromises(): void {
    const asOfMs = this.promisedAsOfMs();
    if (asOfMs === null) return;
    this.options.guard.observe({ head: this.options.guard.newest(), asOfMs, source: 'promises' });
  }

  override compose(): unknown {
    const { guard } = this.options;
    const head = guard.newest();
    const ageMs = Math.ceil(guard.tableEvidenceAgeMs());
    const promised = this.canPromise() ? 1 : 0;
    return [head.revision, head.membershipEpoch, ageMs <= FRESHNESS_MS ? ageMs : -1, promised];
  }

  override receive(peer: PeerIdentity, payload: unknown, sentMs: number): void {
    const parsed = sectionSchema.safeParse(payload);
    if (!parsed.success) {
      this.options.counters.increment('freshness.section_rejected');
      return;
    }
    const [revision, membershipEpoch, ageMs, promise] = parsed.data;
    const head = { revision, membershipEpoch };
    this.statements.set(peerName(peer), { head, promised: promise === 1, sentMs });
    this.observe({ head, asOfMs: ageMs < 0 ? Number.NEGATIVE_INFINITY : sentMs - ageMs, source: 'table' });
    this.usePromises();
    this.notify();
  }

  override forget(peer: PeerIdentity): void {
    this.statements.delete(peerName(peer));
  }

  private observe(evidence: HeadEvidence): void {
    const { guard, onNewerHead } = this.options;
    const isNewer = !coversHead(guard.newest(), evidence.head);
    guard.observe(evidence);
    if (isNewer) onNewerHead();
  }

  private notify(): void {
    for (const watcher of this.watchers) watcher();
  }

  private hasSeen(peer: PeerIdentity, head: Head): boolean {
    const statement = this.statements.get(peerName(peer));
    return statement !== undefined && coversHead(statement.head, head);
  }

  private canPromise(): boolean {
    const { members, pendingCommits } = this;
    if (members?.isRegistered !== true || pendingCommits > 0) return false;
    return members.head.membershipEpoch === this.options.guard.newest().membershipEpoch;
  }

  /** The earliest of all promises on the local clock, `null` if one is missing. */
  private promisedAsOfMs(): number | null {
    const { members } = this;
    if (members === null || !this.canPromise()) return null;
    const head = this.options.guard.newest();
    let asOfMs = this.options.clock.monotonicMs();
    for (const peer of members.peers) {
      const statement = this.statements.get(peerName(peer));
      if (!statement?.promised || !isSameHead(statement.head, head)) return null;
      asOfMs = Math.min(asOfMs, statement.sentMs);
    }
    return asOfMs;
  }
}

function isSameHead(a: Head, b: Head): boolean {
  return a.revision === b.revision && a.membershipEpoch === b.membershipEpoch;
}

function peerName(peer: PeerIdentity): string {
  return `${peer.memberId}/${peer.incarnation}`;
}
