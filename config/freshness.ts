/** Decides whether this entry instance may act on its view of the configuration. */
import type { Clock } from '../kernel/clock';
import { coversHead, INITIAL_HEAD, type Head } from './head';

/** Longest age of evidence on which work is admitted, in milliseconds. Shorter than the 3 s within which a change is in effect. */
export const FRESHNESS_MS = 2_000;

/** Clocks of different machines may run this much faster or slower than each other. */
export const CLOCK_RATE_MARGIN = 0.1;

/** Time after a commit at which every member that has not seen it has stopped, in milliseconds. */
export const FENCE_WAIT_MS = FRESHNESS_MS * (1 + CLOCK_RATE_MARGIN);

/** A wall clock that gains more than this over the monotonic clock shows that the host was suspended. */
const SUSPEND_TOLERANCE_MS = 250;

/**
 * A head that was current at some moment not before `asOfMs` on the local
 * monotonic clock. Evidence from the table may be forwarded to peers; evidence
 * from the promises of all members may not, so that a member cut off from one
 * of the others stops.
 */
export interface HeadEvidence {
  readonly head: Head;
  readonly asOfMs: number;
  readonly source: 'table' | 'promises';
}

/** What the guard needs to know of the loaded membership. */
export interface MembershipView {
  readonly epoch: number;
  readonly isRegistered: boolean;
}

export interface FreshnessGuardOptions {
  /** Nothing is fresh until this instance is registered and has loaded the members of the newest epoch. */
  readonly needsMembership: boolean;
}

/**
 * Keeps the latest evidence of the current head and compares it with the view in use.
 *
 * @example
 * ```ts
 * const guard = new FreshnessGuard(clock);
 * guard.setView({ revision: 4, membershipEpoch: 2 });
 * guard.observe({ head: { revision: 4, membershipEpoch: 2 }, asOfMs: readStartedMs, source: 'table' });
 * guard.isFresh(); // true for FRESHNESS_MS after readStartedMs
 * ```
 */
export class FreshnessGuard {
  private view: Head = INITIAL_HEAD;
  private members: MembershipView | null = null;
  private newestSeen: Head = INITIAL_HEAD;
  private tableAsOfMs = Number.NEGATIVE_INFINITY;
  private freshAsOfMs = Number.NEGATIVE_INFINITY;
  private wallOffsetMs: number;
  /** Monotonic time of the last suspension that was noticed; older evidence is of unknown age. */
  private resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly options: FreshnessGuardOptions = { needsMembership: false },
  ) {
    this.wallOffsetMs = clock.wallMs() - clock.monotonicMs();
  }

  /** The head whose configuration this instance has loaded. */
  setView(view: Head): void {
    this.view = view;
  }

  /** The membership that this instance has loaded. */
  setMembers(members: MembershipView): void {
    this.members = members;
  }

  /** Takes in evidence; a head newer than any seen so far makes the view stale until it is loaded. */
  observe(evidence: HeadEvidence): void {
    this.noticeSuspension();
    this.wallOffsetMs = this.clock.wallMs() - this.clock.monotonicMs();
    if (!coversHead(evidence.head, this.newestSeen)) return;
    if (!coversHead(this.newestSeen, evidence.head)) {
      this.newestSeen = evidence.head;
      this.tableAsOfMs = Number.NEGATIVE_INFINITY;
      this.freshAsOfMs = Number.NEGATIVE_INFINITY;
    }
    if (evidence.asOfMs < this.resumedAtMs) return;
    this.freshAsOfMs = Math.max(this.freshAsOfMs, evidence.asOfMs);
    if (evidence.source === 'table') this.tableAsOfMs = Math.max(this.tableAsOfMs, evidence.asOfMs);
  }

  /** The newest head that any evidence has named. */
  newest(): Head {
    return this.newestSeen;
  }

  /** Age of the evidence that may be forwarded, in milliseconds, `Infinity` if there is none. */
  tableEvidenceAgeMs(): number {
    this.noticeSuspension();
    return this.clock.monotonicMs() - this.tableAsOfMs;
  }

  /** Age of the evidence in milliseconds, `Infinity` if there is none. */
  evidenceAgeMs(): number {
    this.noticeSuspension();
    return this.clock.monotonicMs() - this.freshAsOfMs;
  }

  /** Whether work may be admitted and dispatched now. */
  isFresh(): boolean {
    return this.hasLoadedNewest() && this.evidenceAgeMs() <= FRESHNESS_MS;
  }

  private hasLoadedNewest(): boolean {
    if (this.view.revision < this.newestSeen.revision) return false;
    if (!this.options.needsMembership) return coversHead(this.view, this.newestSeen);
    return this.members?.isRegistered === true && this.members.epoch >= this.newestSeen.membershipEpoch;
  }

  /** The monotonic clock may stand still while the host is suspended; the wall clock then gains on it. */
  private noticeSuspension(): void {
    const nowMs = this.clock.monotonicMs();
    const offsetMs = this.clock.wallMs() - nowMs;
    if (offsetMs - this.wallOffsetMs > SUSPEND_TOLERANCE_MS) {
      this.tableAsOfMs = Number.NEGATIVE_INFINITY;
      this.freshAsOfMs = Number.NEGATIVE_INFINITY;
      this.resumedAtMs = nowMs;
      this.wallOffsetMs = offsetMs;
    }
    // A wall clock that was set back must not hide a later gain.
    if (offsetMs < this.wallOffsetMs) this.wallOffsetMs = offsetMs;
  }
}
