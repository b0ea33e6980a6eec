/** Forecasts the size that a pool needs, from its arrivals and from earlier bursts, before a backlog shows it. */

/** Demand of a pool as measured now, in instances with headroom. */
export interface MeasuredDemand {
  /** For the work that runs, waits and arrives. */
  readonly instances: number;
  /** For the work that arrives, without the backlog, which grows while a pool is too small. */
  readonly arrivingInstances: number;
}

/** What is known about the bursts of a pool; small enough to be stored in one row. */
export interface BurstMemory {
  /** Number of instances that the operator had given the pool. */
  readonly provisionedInstances: number;
  /** Sizes that the latest bursts needed, in instances, oldest first. */
  readonly heights: readonly number[];
}

/** Decides how many instances a pool should have soon. */
export abstract class DemandForecast {
  /** Records a job that has just been accepted for the pool. */
  abstract recordArrival(poolId: string, nowMs: number): void;
  /** Number of instances that the pool should have; at least {@link MeasuredDemand.instances}. */
  abstract expectedInstances(poolId: string, measured: MeasuredDemand, nowMs: number): number;
}

/** Follows the measured demand. */
export class FollowingForecast extends DemandForecast {
  override recordArrival(): void {
    // The measured demand contains the arrivals.
  }

  override expectedInstances(_poolId: string, { instances }: MeasuredDemand): number {
    return instances;
  }
}

/**
 * Windows in which arrivals are counted, in milliseconds. The short one detects bursts of
 * many small jobs, the long one bursts of a few large ones.
 */
const ONSET_WINDOWS_MS: readonly number[] = [600, 1_500];

/** With fewer arrivals in a window no burst is detected. */
const MIN_ONSET_ARRIVALS = 5;

/**
 * Probability that a check of one window reports a burst at a constant rate. With four
 * checks a second of two windows that is one false alarm in about 20 minutes.
 */
const FALSE_ALARM_PROBABILITY = 1e-4;

/** Time constant of the mean rate outside of bursts, in milliseconds. */
const BASELINE_TIME_MS = 8_000;

/**
 * How long the expected height counts after the onset, in milliseconds: the time for
 * which instances are on the way, after which the measured demand is complete.
 */
const LEAD_TIME_MS = 3_000;

/**
 * Fraction of the expected height that the arrivals of a burst need at its onset. A few
 * jobs after a quiet time are no burst, however improbable.
 */
const MIN_ONSET_FRACTION = 0.1;

/** A burst has ended once the arrivals need less than this fraction of its height. */
const END_FRACTION = 0.3;

/** Higher demand that lasts longer than this, in milliseconds, is the new normal rather than a burst. */
const MAX_BURST_MS = 20_000;

/** Number of bursts whose heights are kept. */
const KEPT_HEIGHTS = 3;

interface Burst {
  readonly startedAtMs: number;
  readonly height: number;
}

interface PoolState {
  readonly arrivalsAtMs: number[];
  readonly baselinePerMs: number;
  readonly baselineAtMs: number;
  readonly burst: Burst | null;
}

/**
 * Expects each burst to become as high as the pool's earlier ones; before its first one,
 * as high as those of other pools in proportion to the provisioned sizes, and before any,
 * as high as the provisioned size. Demand without bursts is followed.
 *
 * @example
 * ```ts
 * const forecast = new BurstForecast();
 * forecast.remember('quotes', { provisionedInstances: 40, heights: [] });
 * forecast.recordArrival('quotes', nowMs);
 * forecast.expectedInstances('quotes', { instances: 4, arrivingInstances: 4 }, nowMs);
 * ```
 */
export class BurstForecast extends DemandForecast {
  private readonly pools = new Map<string, PoolState>();
  private readonly memories = new Map<string, BurstMemory>();

  /** Sets what is known about a pool. */
  remember(poolId: string, memory: BurstMemory): void {
    this.memories.set(poolId, memory);
  }

  /** What is known about a pool; `null` before {@link remember}. */
  memoryOf(poolId: string): BurstMemory | null {
    return this.memories.get(poolId) ?? null;
  }

  override recordArrival(poolId: string, nowMs: number): void {
    this.stateOf(poolId, nowMs).arrivalsAtMs.push(nowMs);
  }

  override expectedInstances(poolId: string, measured: MeasuredDemand, nowMs: number): number {
    const state = this.advance(poolId, this.stateOf(poolId, nowMs), measured, nowMs);
    this.pools.set(poolId, state);
    if (state.burst === null || nowMs - state.burst.startedAtMs >= LEAD_TIME_MS) return measured.instances;
    return Math.max(measured.instances, this.expectedHeight(poolId, nowMs));
  }

  private stateOf(poolId: string, nowMs: number): PoolState {
    const known = this.pools.get(poolId);
    if (known !== undefined) return known;
    const state = { arrivalsAtMs: [], baselinePerMs: 0, baselineAtMs: nowMs, burst: null };
    this.pools.set(poolId, state);
    return state;
  }

  private advance(
    poolId: string,
    state: PoolState,
    { arrivingInstances }: MeasuredDemand,
    nowMs: number,
  ): PoolState {
    const { arrivalsAtMs, burst } = state;
    const longestMs = Math.max(...ONSET_WINDOWS_MS);
    const firstRecent = arrivalsAtMs.findIndex((atMs) => nowMs - atMs < longestMs);
    arrivalsAtMs.splice(0, firstRecent < 0 ? arrivalsAtMs.length : firstRecent);
    const ratePerMs = arrivalsAtMs.length / longestMs;
    if (burst !== null) {
      const height = Math.max(burst.height, arrivingInstances);
      const isLasting = nowMs - burst.startedAtMs >= MAX_BURST_MS;
      const isOver =
        nowMs - burst.startedAtMs >= LEAD_TIME_MS && arrivingInstances < END_FRACTION * burst.height;
      if (!isOver && !isLasting) return { ...state, burst: { ...burst, height }, baselineAtMs: nowMs };
      if (isOver) this.recordHeight(poolId, height);
      // The burst's last jobs are not the onset of another one.
      return { ...state, burst: null, baselinePerMs: ratePerMs, baselineAtMs: nowMs };
    }
    const isLargeEnough = arrivingInstances >= MIN_ONSET_FRACTION * this.expectedHeight(poolId, nowMs);
    if (isLargeEnough && hasOnset(state, nowMs))
      return { ...state, burst: { startedAtMs: nowMs, height: arrivingInstances } };
    const weight = 1 - Math.exp(-(nowMs - state.baselineAtMs) / BASELINE_TIME_MS);
    const baselinePerMs = state.baselinePerMs + weight * (ratePerMs - state.baselinePerMs);
    return { ...state, baselinePerMs, baselineAtMs: nowMs };
  }

  private recordHeight(poolId: string, height: number): void {
    const memory = this.memories.get(poolId) ?? { provisionedInstances: 0, heights: [] };
    const heights = [...memory.heights, height].slice(-KEPT_HEIGHTS);
    this.memories.set(poolId, { ...memory, heights });
  }

  private expectedHeight(poolId: string, nowMs: number): number {
    const memory = this.memories.get(poolId);
    if (memory === undefined) return 0;
    if (memory.heights.length > 0) return median(memory.heights);
    const ratios = [...this.memories]
      .filter(([otherId]) => otherId !== poolId)
      .map(
        ([otherId, other]) => this.heightOf(otherId, other, nowMs) / Math.max(1, other.provisionedInstances),
      )
      .filter((ratio) => ratio > 0);
    return Math.ceil(memory.provisionedInstances * (ratios.length === 0 ? 1 : median(ratios)));
  }

  /** Height of a pool's earlier bursts, or of its current one once it is complete; 0 if there is none. */
  private heightOf(poolId: string, { heights }: BurstMemory, nowMs: number): number {
    if (heights.length > 0) return median(heights);
    const burst = this.pools.get(poolId)?.burst ?? null;
    return burst !== null && nowMs - burst.startedAtMs >= LEAD_TIME_MS ? burst.height : 0;
  }
}

/** Whether more jobs have arrived than the rate outside of bursts explains. */
function hasOnset({ arrivalsAtMs, baselinePerMs }: PoolState, nowMs: number): boolean {
  return ONSET_WINDOWS_MS.some((windowMs) => {
    const count = arrivalsAtMs.filter((atMs) => nowMs - atMs < windowMs).length;
    return (
      count >= MIN_ONSET_ARRIVALS && poissonTail(count, baselinePerMs * windowMs) < FALSE_ALARM_PROBABILITY
    );
  });
}

/** Probability of at least `count` events where `mean` are expected. */
function poissonTail(count: number, mean: number): number {
  let term = Math.exp(-mean);
  let below = 0;
  for (let events = 0; events < count; events += 1) {
    below += term;
    term *= mean / (events + 1);
  }
  return Math.max(0, 1 - below);
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
