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

/** A head that was current at some moment not before `asOfMs` on the local monotonic clock. */
export interface HeadEvidence {
  readonly head: Head;
  readonly asOfMs: number;
}

/**
 * Keeps the latest evidence of the current head and compares it with the view in use.
 *
 * @example
 * ```ts
 * const guard = new FreshnessGuard(clock);
 * guard.setView({ revision: 4, membershipEpoch: 2 });
 * guard.observe({ head: { revision: 4, membershipEpoch: 2 }, asOfMs: readStartedMs });
 * guard.isFresh(); // true for FRESHNESS_MS after readStartedMs
 * ```
 */
export class FreshnessGuard {
  private view: Head = INITIAL_HEAD;
  private newestSeen: Head = INITIAL_HEAD;
  private freshAsOfMs = Number.NEGATIVE_INFINITY;
  private wallOffsetMs = 0;

  constructor(private readonly clock: Clock) {}

  /** The head whose contents this instance has loaded. */
  setView(view: Head): void {
    this.view = view;
  }

  /** Takes in evidence; a head newer than any seen so far makes the view stale until it is loaded. */
  observe(evidence: HeadEvidence): void {
    if (!coversHead(evidence.head, this.newestSeen)) return;
    const isNewer = !coversHead(this.newestSeen, evidence.head);
    this.newestSeen = evidence.head;
    if (isNewer || evidence.asOfMs > this.freshAsOfMs) {
      this.freshAsOfMs = evidence.asOfMs;
      this.wallOffsetMs = this.clock.wallMs() - this.clock.monotonicMs();
    }
  }

  /** The newest head that any evidence has named. */
  newest(): Head {
    return this.newestSeen;
  }

  /** Age of the evidence in milliseconds, `Infinity` if there is none. */
  evidenceAgeMs(): number {
    return this.clock.monotonicMs() - this.freshAsOfMs;
  }

  /** Whether work may be admitted and dispatched now. */
  isFresh(): boolean {
    if (!coversHead(this.view, this.newestSeen)) return false;
    if (this.evidenceAgeMs() > FRESHNESS_MS) return false;
    const gainedMs = this.clock.wallMs() - this.clock.monotonicMs() - this.wallOffsetMs;
    return gainedMs <= SUSPEND_TOLERANCE_MS;
  }
}
