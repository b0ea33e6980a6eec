/** Measured growth of a cost with a size. */

/** Cost at one size. */
export interface SlopePoint {
  readonly size: number;
  readonly cost: number;
}

export interface SlopeResult {
  readonly name: string;
  /** What one step of the size is, for example `instance`. */
  readonly per: string;
  readonly unit: string;
  readonly points: readonly SlopePoint[];
  /** Least-squares growth of the cost for one step of the size. */
  readonly slope: number;
  /** Cost at size 0 by the same fit. */
  readonly intercept: number;
}

/** A cost that can be measured at any size. */
export abstract class Slope {
  abstract readonly name: string;
  abstract readonly per: string;
  abstract readonly unit: string;
  abstract readonly sizes: readonly number[];

  /** Cost at `size`, in {@link unit}. */
  abstract measure(size: number): number;

  /** Measures every size and fits a line. */
  run(): SlopeResult {
    const points = this.sizes.map((size) => ({ size, cost: this.measure(size) }));
    return { name: this.name, per: this.per, unit: this.unit, points, ...fitLine(points) };
  }
}

/** Least-squares line through the points. */
export function fitLine(points: readonly SlopePoint[]): {
  readonly slope: number;
  readonly intercept: number;
} {
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / points.length;
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / points.length;
  const covariance = points.reduce((sum, { size, cost }) => sum + (size - meanSize) * (cost - meanCost), 0);
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanCost - slope * meanSize };
}

/** Median time of `runs` calls of `action`, in microseconds. */
export function medianUs(runs: number, action: () => void): number {
  const times = Array.from({ length: runs }, () => {
    const startMs = performance.now();
    action();
    return (performance.now() - startMs) * 1_000;
  }).sort((a, b) => a - b);
  return times[Math.floor(runs / 2)] ?? 0;
}
