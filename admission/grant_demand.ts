/** Computes how much of the limit of a team a member should hold, given its own demand and that of its peers. */

/** Time in milliseconds after which an unused amount is returned. */
export const GRANT_IDLE_MS = 2_000;

const BUCKET_COUNT = 4;
const BUCKET_MS = GRANT_IDLE_MS / BUCKET_COUNT;

/** Headroom of a grant as a fraction of the need, so that small changes of demand cause no table write. */
const HEADROOM_RATIO = 0.25;

/** Smallest headroom of a grant. With less, the row of a small team would be written for almost every request. */
const MIN_HEADROOM = 4;

/** Tracks the highest need within the last {@link GRANT_IDLE_MS} milliseconds, in time buckets. */
export class PeakNeedTracker {
  private buckets: readonly { readonly index: number; readonly peak: number }[] = [];

  observe(nowMs: number, need: number): void {
    const index = Math.floor(nowMs / BUCKET_MS);
    const recent = this.buckets.filter((bucket) => bucket.index >= index - BUCKET_COUNT);
    const current = recent.find((bucket) => bucket.index === index);
    const peak = Math.max(need, current?.peak ?? 0);
    this.buckets = [...recent.filter((bucket) => bucket.index !== index), { index, peak }];
  }

  value(nowMs: number): number {
    const oldest = Math.floor(nowMs / BUCKET_MS) - BUCKET_COUNT;
    return this.buckets.reduce(
      (peak, bucket) => (bucket.index >= oldest ? Math.max(peak, bucket.peak) : peak),
      0,
    );
  }
}

export interface WantedAmountInputs {
  readonly held: number;
  readonly running: number;
  /** Running work plus the waiting work for which there could be slots. */
  readonly need: number;
  readonly peakNeed: number;
  /** The share of this member while the members together need more than the limit; otherwise `Infinity`. */
  readonly limitShare: number;
  /** Whether the amount that is not needed is returned at once, because a peer lacks capacity. */
  readonly returnNow: boolean;
}

/** Returns the amount that a member should hold. */
export function wantedAmount(inputs: WantedAmountInputs): number {
  const { held, running, need, peakNeed, limitShare, returnNow } = inputs;
  const currentNeed = Math.max(need, running);
  const ceiling = Math.max(running, limitShare);
  if (returnNow) return Math.min(held, ceiling, currentNeed);
  if (currentNeed > held) return Math.min(Math.max(held, ceiling), withHeadroom(currentNeed));
  const desiredAmount = Math.max(currentNeed, withHeadroom(peakNeed));
  const excess = held - desiredAmount;
  return desiredAmount === 0 || excess > Math.max(MIN_HEADROOM, held * HEADROOM_RATIO)
    ? Math.min(held, desiredAmount)
    : held;
}

function withHeadroom(need: number): number {
  return need === 0 ? 0 : need + Math.max(MIN_HEADROOM, Math.ceil(need * HEADROOM_RATIO));
}
