/** How much of a team's limit a member should hold, given its work and that of its peers. */

/** Time after which an unused grant is returned, in milliseconds. */
export const GRANT_IDLE_MS = 2_000;

const BUCKETS = 4;
const BUCKET_MS = GRANT_IDLE_MS / BUCKETS;

/** Spare part of a grant, so that small changes of demand cost no table write. */
const HEADROOM = 0.25;

/** Highest need within the last {@link GRANT_IDLE_MS}. */
export class NeedPeak {
  private buckets: readonly { readonly index: number; readonly peak: number }[] = [];

  observe(nowMs: number, need: number): void {
    const index = Math.floor(nowMs / BUCKET_MS);
    const kept = this.buckets.filter((bucket) => bucket.index >= index - BUCKETS);
    const current = kept.find((bucket) => bucket.index === index);
    const peak = Math.max(need, current?.peak ?? 0);
    this.buckets = [...kept.filter((bucket) => bucket.index !== index), { index, peak }];
  }

  value(nowMs: number): number {
    const oldest = Math.floor(nowMs / BUCKET_MS) - BUCKETS;
    return this.buckets.reduce(
      (peak, bucket) => (bucket.index >= oldest ? Math.max(peak, bucket.peak) : peak),
      0,
    );
  }
}

export interface WantInputs {
  readonly held: number;
  readonly running: number;
  /** Running work and the waiting work that slots could be found for. */
  readonly need: number;
  readonly peakNeed: number;
  /** This member's part when the members together need more than the limit; otherwise `Infinity`. */
  readonly part: number;
  /** A peer is short: return at once what is not needed. */
  readonly returnNow: boolean;
}

/** The amount that a member should hold. */
export function wantedAmount(inputs: WantInputs): number {
  const { held, running, need, peakNeed, part, returnNow } = inputs;
  const base = Math.max(need, running);
  const most = Math.max(running, part);
  if (returnNow) return Math.min(held, most, base);
  if (base > held) return Math.min(most, withHeadroom(base));
  const enough = Math.max(base, withHeadroom(peakNeed));
  return Math.min(held, most, enough);
}

function withHeadroom(need: number): number {
  return need + Math.ceil(need * HEADROOM);
}
