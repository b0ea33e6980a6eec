/** Benchmarks that measure how a cost grows with a size, such as the number of instances. */

/** The cost measured at one size. */
export interface CostSample {
  readonly size: number;
  readonly cost: number;
}

export interface ScalingResult {
  readonly name: string;
  /** What the size counts, for example `instance`. */
  readonly per: string;
  /** Unit of the cost. */
  readonly unit: string;
  readonly points: readonly CostSample[];
  /** Growth of the cost when the size grows by one, by a least-squares fit. */
  readonly slope: number;
  /** Cost at size 0, by the same fit. */
  readonly intercept: number;
}

/** A cost that can be measured at any size. */
export abstract class ScalingBenchmark {
  abstract readonly name: string;
  /** What the size counts, for example `instance`. */
  abstract readonly per: string;
  /** Unit of the cost. */
  abstract readonly unit: string;
  abstract readonly sizes: readonly number[];

  /** Cost at `size`, in {@link unit}. */
  abstract measure(size: number): number;

  /** Measures every size and fits a line. */
  run(): ScalingResult {
    const points = this.sizes.map((size) => ({ size, cost: this.measure(size) }));
    return { name: this.name, per: this.per, unit: this.unit, points, ...fitLine(points) };
  }
}

/** Fits a line through the points by least squares. */
export function fitLine(points: readonly CostSample[]): {
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
