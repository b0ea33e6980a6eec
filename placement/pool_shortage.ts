/** Tracks since when the planning passes of each pool leave tasks waiting. */

/**
 * A pool counts as short no longer than this after its latest pass, in milliseconds. All
 * pools with waiting tasks are planned every 250 ms.
 */
const PASS_EXPIRY_MS = 600;

/** What a planning pass left out. */
export interface PassOutcome {
  /** Keys of the steps for which there was no room, or whose accounts are at their limits. */
  readonly unplaced: readonly string[];
  /** Whether tasks were left out that the leader cannot start yet. */
  readonly isStartLimited: boolean;
}

/** A pool whose passes have left tasks waiting without interruption. */
export interface ShortPool extends PassOutcome {
  readonly poolId: string;
  readonly sinceMs: number;
}

interface TrackedPool extends ShortPool {
  readonly lastPassAtMs: number;
}

/**
 * Records every planning pass; one that places everything ends the shortage.
 *
 * @example
 * ```ts
 * shortage.recordPass('quotes', plan, nowMs);
 * const pools = shortage.shortPools(nowMs);
 * ```
 */
export class PoolShortage {
  private readonly pools = new Map<string, TrackedPool>();

  recordPass(poolId: string, { unplaced, isStartLimited }: PassOutcome, nowMs: number): void {
    if (unplaced.length === 0 && !isStartLimited) {
      this.pools.delete(poolId);
      return;
    }
    const known = this.pools.get(poolId);
    const isContinued = known !== undefined && nowMs - known.lastPassAtMs < PASS_EXPIRY_MS;
    const sinceMs = isContinued ? known.sinceMs : nowMs;
    this.pools.set(poolId, { poolId, unplaced, isStartLimited, sinceMs, lastPassAtMs: nowMs });
  }

  shortPools(nowMs: number): readonly ShortPool[] {
    return [...this.pools.values()].filter(({ lastPassAtMs }) => nowMs - lastPassAtMs < PASS_EXPIRY_MS);
  }
}
