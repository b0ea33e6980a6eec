/**
 * Decides whether this entry instance may act on the configuration that it has
 * loaded: it needs recent evidence that the head it has loaded (the revision of
 * the configuration and the epoch of the membership) is the newest one.
 */
import type { Clock } from '../kernel/clock';
import { coversHead, INITIAL_HEAD, type Head } from './head';

/**
 * Greatest age of the evidence on which work is admitted, in milliseconds. Must be
 * less than 3 s, because every change has to take effect within 3 s.
 */
export const FRESHNESS_MS = 2_000;

/** Largest tolerated difference between the clock rates of two machines, as a fraction. */
export const CLOCK_RATE_MARGIN = 0.1;

/** Time in milliseconds after which every member that has not seen a commit is no longer fresh. */
export const FENCE_WAIT_MS = FRESHNESS_MS * (1 + CLOCK_RATE_MARGIN);

/** If the wall clock gains more milliseconds than this on the monotonic clock, the host was suspended. */
const SUSPEND_TOLERANCE_MS = 250;

/**
 * Evidence that a head was current at `asOfMs` or later on the local monotonic
 * clock. It comes from a read of the table or from the confirmations of all
 * registered members. Only evidence from the table may be forwarded to peers,
 * so that during a table outage a member that cannot reach every other one
 * stops being fresh.
 */
export interface HeadEvidence {
  readonly head: Head;
  readonly asOfMs: number;
  readonly source: 'table' | 'confirmations';
}

/** The part of the loaded membership that the guard uses. */
export interface MembershipView {
  readonly epoch: number;
  readonly isRegistered: boolean;
}

export interface FreshnessGuardOptions {
  /** Nothing is fresh until this instance is registered and has loaded the members of the newest epoch. */
  readonly needsMembership: boolean;
}

/**
 * Holds the latest evidence of which head is current and compares it with the head
 * that is loaded.
 *
 * @example
 * ```ts
 * const guard = new FreshnessGuard(clock);
 * guard.setLoadedHead({ revision: 4, membershipEpoch: 2 });
 * guard.observe({ head: { revision: 4, membershipEpoch: 2 }, asOfMs: readStartedAtMs, source: 'table' });
 * guard.isFresh(); // true for FRESHNESS_MS after readStartedAtMs
 * ```
 */
export class FreshnessGuard {
  private loadedHead: Head = INITIAL_HEAD;
  private members: MembershipView | null = null;
  private newestSeen: Head = INITIAL_HEAD;
  private tableAsOfMs = Number.NEGATIVE_INFINITY;
  private freshAsOfMs = Number.NEGATIVE_INFINITY;
  private wallOffsetMs: number;
  /** Monotonic time at which the last suspension was detected; the age of earlier evidence is unknown. */
  private suspensionDetectedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly options: FreshnessGuardOptions = { needsMembership: false },
  ) {
    this.wallOffsetMs = clock.wallMs() - clock.monotonicMs();
  }

  /** Sets the head whose configuration this instance has loaded. */
  setLoadedHead(head: Head): void {
    this.loadedHead = head;
  }

  /** Sets the membership that this instance has loaded. */
  setMembers(members: MembershipView): void {
    this.members = members;
  }

  /**
   * Records evidence; a head newer than any seen so far makes the configuration
   * stale until that head is loaded.
   */
  observe(evidence: HeadEvidence): void {
    this.detectSuspension();
    this.wallOffsetMs = this.clock.wallMs() - this.clock.monotonicMs();
    if (!coversHead(evidence.head, this.newestSeen)) return;
    if (!coversHead(this.newestSeen, evidence.head)) {
      this.newestSeen = evidence.head;
      this.tableAsOfMs = Number.NEGATIVE_INFINITY;
      this.freshAsOfMs = Number.NEGATIVE_INFINITY;
    }
    if (evidence.asOfMs < this.suspensionDetectedAtMs) return;
    this.freshAsOfMs = Math.max(this.freshAsOfMs, evidence.asOfMs);
    if (evidence.source === 'table') this.tableAsOfMs = Math.max(this.tableAsOfMs, evidence.asOfMs);
  }

  /** The newest head for which there has been evidence. */
  newestHead(): Head {
    return this.newestSeen;
  }

  /**
   * Age in milliseconds of the latest evidence from the table, the only evidence
   * that may be forwarded; `Infinity` if there is none.
   */
  tableEvidenceAgeMs(): number {
    this.detectSuspension();
    return this.clock.monotonicMs() - this.tableAsOfMs;
  }

  /** Age of the latest evidence from any source, in milliseconds; `Infinity` if there is none. */
  evidenceAgeMs(): number {
    this.detectSuspension();
    return this.clock.monotonicMs() - this.freshAsOfMs;
  }

  /** Whether work may be admitted and dispatched now. */
  isFresh(): boolean {
    return this.hasLoadedNewest() && this.evidenceAgeMs() <= FRESHNESS_MS;
  }

  private hasLoadedNewest(): boolean {
    if (this.loadedHead.revision < this.newestSeen.revision) return false;
    if (!this.options.needsMembership) return coversHead(this.loadedHead, this.newestSeen);
    return this.members?.isRegistered === true && this.members.epoch >= this.newestSeen.membershipEpoch;
  }

  /**
   * Discards all evidence after a suspension of the host, during which the monotonic
   * clock may stop while the wall clock continues.
   */
  private detectSuspension(): void {
    const nowMs = this.clock.monotonicMs();
    const offsetMs = this.clock.wallMs() - nowMs;
    if (offsetMs - this.wallOffsetMs > SUSPEND_TOLERANCE_MS) {
      this.tableAsOfMs = Number.NEGATIVE_INFINITY;
      this.freshAsOfMs = Number.NEGATIVE_INFINITY;
      this.suspensionDetectedAtMs = nowMs;
      this.wallOffsetMs = offsetMs;
    }
    // A wall clock that was set back must not hide a later suspension.
    if (offsetMs < this.wallOffsetMs) this.wallOffsetMs = offsetMs;
  }
}
