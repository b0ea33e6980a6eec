/** Measures how long ago incarnations were fenced, as this entry instance observed it. */
import { FENCE_WAIT_MS } from '../config/freshness';
import { isRegistered, type MemberRow } from './member_row';
import { MAX_WORK_MS, type IncarnationState } from './membership';

/** After this time a fenced incarnation has no work running, in milliseconds. */
export const FENCED_WORK_LIMIT_MS = FENCE_WAIT_MS + MAX_WORK_MS;

/**
 * Remembers when each fence was first observed. Time counts only from the
 * moment this instance is active: until then the fenced incarnation might
 * live on promises of members that have not seen the fence.
 */
export class FencedIncarnations {
  private observedAtMs: ReadonlyMap<string, number> = new Map();

  /** Notes the incarnations that `rows` name as fenced or taken over. */
  observe(rows: Iterable<MemberRow>, nowMs: number): void {
    const observed = new Map(this.observedAtMs);
    for (const incarnation of [...rows].flatMap(fencedIncarnations)) {
      if (!observed.has(incarnation)) observed.set(incarnation, nowMs);
    }
    this.observedAtMs = observed;
  }

  /** Starts every wait again. */
  restart(nowMs: number): void {
    this.observedAtMs = new Map([...this.observedAtMs.keys()].map((incarnation) => [incarnation, nowMs]));
  }

  /** Whether work of the incarnation may still be running. */
  standing(row: MemberRow, incarnation: string, isActive: boolean, nowMs: number): IncarnationState {
    if (row.incarnation === incarnation && isRegistered(row)) return 'live';
    if (row.incarnation === incarnation && row.status === 'left') return 'ended';
    const observedAtMs = this.observedAtMs.get(incarnation);
    if (observedAtMs === undefined)
      return fencedIncarnations(row).includes(incarnation) ? 'fencing' : 'ended';
    return isActive && nowMs - observedAtMs >= FENCED_WORK_LIMIT_MS ? 'ended' : 'fencing';
  }

  /** When the last fenced incarnation has lost its evidence, on the local clock. */
  fencedUntilMs(): number {
    return Math.max(Number.NEGATIVE_INFINITY, ...this.observedAtMs.values()) + FENCE_WAIT_MS;
  }

  /** How many waits are over. */
  endedCount(nowMs: number): number {
    return [...this.observedAtMs.values()].filter(
      (observedAtMs) => nowMs - observedAtMs >= FENCED_WORK_LIMIT_MS,
    ).length;
  }
}

function fencedIncarnations(row: MemberRow): readonly string[] {
  return row.status === 'fenced' ? [...row.predecessors, row.incarnation] : row.predecessors;
}
