/** Amounts of the resources that tasks use and instances have. */

/** An amount of each resource; processors may be fractional. */
export interface Resources {
  readonly processors: number;
  readonly memoryBytes: number;
  readonly accelerators: number;
}

export const NO_RESOURCES: Resources = { processors: 0, memoryBytes: 0, accelerators: 0 };

/** Applies `combine` to each resource of two amounts. */
export function combineResources(
  a: Resources,
  b: Resources,
  combine: (a: number, b: number) => number,
): Resources {
  return {
    processors: combine(a.processors, b.processors),
    memoryBytes: combine(a.memoryBytes, b.memoryBytes),
    accelerators: combine(a.accelerators, b.accelerators),
  };
}

export function addResources(a: Resources, b: Resources): Resources {
  return combineResources(a, b, (x, y) => x + y);
}

export function subtractResources(a: Resources, b: Resources): Resources {
  return combineResources(a, b, (x, y) => x - y);
}

/** Tolerance for sums of fractional processors, whose rounding errors are far smaller than this. */
const PROCESSORS_TOLERANCE = 1e-6;

/** Whether `demand` fits into `free` in every resource. */
export function fitsInto(demand: Resources, free: Resources): boolean {
  return (
    demand.processors <= free.processors + PROCESSORS_TOLERANCE &&
    demand.memoryBytes <= free.memoryBytes &&
    demand.accelerators <= free.accelerators
  );
}

/**
 * Returns the largest fraction that `demand` takes of any resource of `capacity`.
 *
 * @example
 * ```ts
 * dominantShare({ processors: 8, memoryBytes: 0, accelerators: 0 }, capacity); // 0.25 if capacity has 32 processors
 * ```
 */
export function dominantShare(demand: Resources, capacity: Resources): number {
  const ratio = (used: number, total: number): number => (total > 0 ? used / total : used > 0 ? Infinity : 0);
  return Math.max(
    ratio(demand.processors, capacity.processors),
    ratio(demand.memoryBytes, capacity.memoryBytes),
    ratio(demand.accelerators, capacity.accelerators),
  );
}
