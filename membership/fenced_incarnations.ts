/** Tracks how long ago incarnations were fenced, as observed by this entry instance. */
import { FENCE_WAIT_MS } from '../config/freshness';
import { isRegistered, type MemberRow } from './member_row';
import { MAX_WORK_MS, type IncarnationState } from './membership';

/**
 * Time in milliseconds after which a fenced incarnation has no work running: it
 * admits none after `FENCE_WAIT_MS`, and admitted work runs for at most `MAX_WORK_MS`.
 */
export const FENCED_WORK_LIMIT_MS = FENCE_WAIT_MS + MAX_WORK_MS;

/**
 * Records when each fence was first observed. The wait starts again when this
 * instance becomes active, because until then members that have not seen the
 * fence may keep the fenced incarnation fresh with their confirmations.
 */
export class FencedIncarnations {
  private observedAtMs: ReadonlyMap<string, number> = new Map();

  /** Records the incarnations in `rows` that are fenced or were replaced by a successor. */
  observe(rows: Iterable<MemberRow>, nowMs: number): void {
    const observed = new Map(this.observedAtMs);
    for (const incarnation of [...rows].flatMap(fencedIncarnations)) {
      if (!observed.has(incarnation)) observed.set(incarnation, nowMs);
    }
    this.observedAtMs = observed;
  }

  /** Starts the waits for all fenced incarnations again. */
  restartWaits(nowMs: number): void {
    this.observedAtMs = new Map([...this.observedAtMs.keys()].map((incarnation) => [incarnation, nowMs]));
  }

  /** Returns the state of an incarnation; `row` is the row of its member. */
  stateOf(row: MemberRow, incarnation: string, isActive: boolean, nowMs: number): IncarnationState {
    if (row.incarnation === incarnation && isRegistered(row)) return 'live';
    if (row.incarnation === incarnation && row.status === 'left') return 'ended';
    const observedAtMs = this.observedAtMs.get(incarnation);
    if (observedAtMs === undefined)
      return fencedIncarnations(row).includes(incarnation) ? 'fencing' : 'ended';
    return isActive && nowMs - observedAtMs >= FENCED_WORK_LIMIT_MS ? 'ended' : 'fencing';
  }

  /** Local monotonic time, in milliseconds, after which no fenced incarnation can still be fresh. */
  evidenceUntilMs(): number {
    return Math.max(Number.NEGATIVE_INFINITY, ...this.observedAtMs.values()) + FENCE_WAIT_MS;
  }

  /** Number of fenced incarnations whose work has ended by `nowMs`. */
  endedCount(nowMs: number): number {
    return [...this.observedAtMs.values()].filter(
      (observedAtMs) => nowMs - observedAtMs >= FENCED_WORK_LIMIT_MS,
    ).length;
  }
}

function fencedIncarnations(row: MemberRow): readonly string[] {
  return row.status === 'fenced' ? [...row.predecessors, row.incarnation] : row.predecessors;
}
