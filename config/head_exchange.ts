/**
 * Reports to peers which head (configuration revision and membership epoch) this entry
 * instance has seen, how recently the table is known to have held it, and whether
 * this instance confirms that it is current.
 */
import { z } from 'zod';
import { capability } from '../kernel/capability';
import type { Clock } from '../kernel/clock';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { Counters } from '../telemetry/counters';
import { FRESHNESS_MS, type FreshnessGuard, type HeadEvidence } from './freshness';
import { coversHead, type Head } from './head';

/** The members as last loaded from the table. */
export interface LoadedMembership {
  /** Head at which they were loaded. */
  readonly head: Head;
  /** Registered members other than this one. */
  readonly peers: readonly PeerIdentity[];
  /** Whether this instance is registered under its current incarnation. */
  readonly isRegistered: boolean;
  /** Whether every registered member knows this instance, so that it may commit changes. */
  readonly isActive: boolean;
  /** Local monotonic time, in milliseconds, after which no fenced incarnation can still be fresh. */
  readonly fencedEvidenceUntilMs: number;
}

/**
 * Configuration revision; membership epoch; milliseconds since the table is known to
 * have held this head, or -1 if there is no recent evidence from the table; and 1 if
 * the sender confirms the head, otherwise 0.
 */
const sectionSchema = z.tuple([z.int().min(0), z.int().min(0), z.int().min(-1), z.int()]).rest(z.unknown());

/** The last report of a peer on the head. */
interface HeadReport {
  readonly head: Head;
  readonly confirmsHead: boolean;
  /** Local monotonic time, in milliseconds, at or after which the peer composed the report. */
  readonly composedAfterMs: number;
}

export interface HeadExchangeOptions {
  readonly clock: Clock;
  readonly guard: FreshnessGuard;
  readonly counters: Counters;
  /** Called when a peer reports a head that is newer than any that this instance has seen. */
  readonly onNewerHead: () => void;
}

export const HEAD_EXCHANGE = capability<HeadExchange>('config.head_exchange');

/**
 * Stores the reports of the peers. A report acknowledges a head. If its sender
 * is registered, has loaded the newest membership and has no commit pending, the
 * report also confirms that the head is current. The confirmations of all
 * registered members together are evidence that does not depend on the table.
 */
export class HeadExchange extends ExchangeSection {
  override readonly name = 'h';
  private readonly reports = new Map<string, HeadReport>();
  private members: LoadedMembership | null = null;
  private pendingCommits = 0;
  private listeners: readonly (() => void)[] = [];

  constructor(private readonly options: HeadExchangeOptions) {
    super();
  }

  /** Sets the loaded membership; only the confirmations and acknowledgements of registered members count. */
  setMembers(members: LoadedMembership): void {
    this.members = members;
    const epoch = members.head.membershipEpoch;
    this.options.guard.setMembers({ epoch, isRegistered: members.isRegistered });
    this.observe({ head: members.head, asOfMs: Number.NEGATIVE_INFINITY, source: 'table' });
    this.observeConfirmations();
    this.notify();
  }

  /** Whether this instance may commit changes. */
  isActive(): boolean {
    return this.members?.isActive ?? false;
  }

  /**
   * Whether this instance may commit a change on top of `base`: it is active and has
   * loaded the members of that epoch.
   */
  mayCommitOn(base: Head): boolean {
    return this.isActive() && this.members?.head.membershipEpoch === base.membershipEpoch;
  }

  /**
   * Stops this instance from confirming heads until the returned function is called;
   * a second call of that function has no effect.
   */
  suspendConfirmations(): () => void {
    this.pendingCommits += 1;
    let ended = false;
    return () => {
      if (!ended) this.pendingCommits -= 1;
      ended = true;
    };
  }

  /**
   * Whether every registered member has seen `head` and fenced members can no
   * longer be fresh. False until the members of that head's epoch are loaded.
   */
  isSeenByAll(head: Head): boolean {
    const { members } = this;
    if (members === null || members.head.membershipEpoch < head.membershipEpoch) return false;
    if (!coversHead(this.options.guard.newestHead(), head)) return false;
    if (this.options.clock.monotonicMs() < members.fencedEvidenceUntilMs) return false;
    return members.peers.every((peer) => this.hasSeen(peer, head));
  }

  /** Returns the registered members that have not seen `head`. */
  missing(head: Head): readonly PeerIdentity[] {
    return this.members?.peers.filter((peer) => !this.hasSeen(peer, head)) ?? [];
  }

  /** Calls `listener` after every report and membership change until the returned function is called. */
  subscribe(listener: () => void): () => void {
    this.listeners = [...this.listeners, listener];
    return () => {
      this.listeners = this.listeners.filter((known) => known !== listener);
    };
  }

  /**
   * Reports the confirmations to the guard as evidence, if every registered member
   * confirms the newest head.
   */
  observeConfirmations(): void {
    const asOfMs = this.confirmedAsOfMs();
    if (asOfMs === null) return;
    this.options.guard.observe({ head: this.options.guard.newestHead(), asOfMs, source: 'confirmations' });
  }

  override compose(): unknown {
    const { guard } = this.options;
    const head = guard.newestHead();
    const ageMs = Math.ceil(guard.tableEvidenceAgeMs());
    const confirmation = this.canConfirm() ? 1 : 0;
    return [head.revision, head.membershipEpoch, ageMs <= FRESHNESS_MS ? ageMs : -1, confirmation];
  }

  override receive(peer: PeerIdentity, payload: unknown, composedAfterMs: number): void {
    const parsed = sectionSchema.safeParse(payload);
    if (!parsed.success) {
      this.options.counters.increment('freshness.section_rejected');
      return;
    }
    const [revision, membershipEpoch, ageMs, confirmation] = parsed.data;
    const head = { revision, membershipEpoch };
    this.reports.set(peerKey(peer), { head, confirmsHead: confirmation === 1, composedAfterMs });
    this.observe({
      head,
      asOfMs: ageMs < 0 ? Number.NEGATIVE_INFINITY : composedAfterMs - ageMs,
      source: 'table',
    });
    this.observeConfirmations();
    this.notify();
  }

  override forget(peer: PeerIdentity): void {
    this.reports.delete(peerKey(peer));
  }

  private observe(evidence: HeadEvidence): void {
    const { guard, onNewerHead } = this.options;
    const isNewer = !coversHead(guard.newestHead(), evidence.head);
    guard.observe(evidence);
    if (isNewer) onNewerHead();
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }

  private hasSeen(peer: PeerIdentity, head: Head): boolean {
    const report = this.reports.get(peerKey(peer));
    return report !== undefined && coversHead(report.head, head);
  }

  private canConfirm(): boolean {
    const { members, pendingCommits } = this;
    if (members?.isRegistered !== true || pendingCommits > 0) return false;
    return members.head.membershipEpoch === this.options.guard.newestHead().membershipEpoch;
  }

  /**
   * Returns the local monotonic time, in milliseconds, of the oldest confirmation, or
   * `null` if a registered member, this one included, does not confirm the newest head.
   */
  private confirmedAsOfMs(): number | null {
    const { members } = this;
    if (members === null || !this.canConfirm()) return null;
    const head = this.options.guard.newestHead();
    let asOfMs = this.options.clock.monotonicMs();
    for (const peer of members.peers) {
      const report = this.reports.get(peerKey(peer));
      if (!report?.confirmsHead || !isSameHead(report.head, head)) return null;
      asOfMs = Math.min(asOfMs, report.composedAfterMs);
    }
    return asOfMs;
  }
}

function isSameHead(a: Head, b: Head): boolean {
  return a.revision === b.revision && a.membershipEpoch === b.membershipEpoch;
}

function peerKey(peer: PeerIdentity): string {
  return `${peer.memberId}/${peer.incarnation}`;
}
