/** Generates the requests that arrive at the entry instances; the same seed gives the same requests. */
import type { Priority } from '../model/fleet';
import { BURST_FACTOR, QUIET_FACTOR, type BenchDeployment } from './bench_deployments';
import { exponential } from './seeded_random';

/** A request on its arrival. */
export interface Arrival {
  readonly poolId: string;
  readonly teamId: string;
  readonly priority: Priority;
  /** Time for which the request occupies its slot. */
  readonly runMs: number;
  readonly deadlineMs: number;
  /** Index of the entry instance that the load balancer chose. */
  readonly memberIndex: number;
}

/** Largest throughput of a pool, in requests per millisecond. */
export function poolCapacity(deployment: BenchDeployment, poolId: string): number {
  const meanRunMs = deployment.requestClasses.reduce(
    (sum, { loadFraction, meanRunMs: classMeanMs }) => sum + loadFraction * classMeanMs,
    0,
  );
  return ((deployment.workersByPool.get(poolId) ?? 0) * deployment.slotsPerWorker) / meanRunMs;
}

/** Arrival rate of a pool's queue relative to its mean; the queues burst one after the other. */
export function rateFactor(deployment: BenchDeployment, poolIndex: number, nowMs: number): number {
  const burstingPool = Math.floor(nowMs / deployment.burstMs) % deployment.workersByPool.size;
  return burstingPool === poolIndex ? BURST_FACTOR : QUIET_FACTOR;
}

/** The arrivals within one step of `stepMs` milliseconds: a Poisson process for each pool. */
export function generateArrivals(
  deployment: BenchDeployment,
  nowMs: number,
  stepMs: number,
  random: () => number,
): readonly Arrival[] {
  return [...deployment.workersByPool.keys()].flatMap((poolId, index) => {
    const rate =
      poolCapacity(deployment, poolId) * deployment.meanLoadFraction * rateFactor(deployment, index, nowMs);
    const arrivals: Arrival[] = [];
    for (let atMs = exponential(random, 1 / rate); atMs < stepMs; atMs += exponential(random, 1 / rate)) {
      arrivals.push(newArrival(deployment, poolId, random));
    }
    return arrivals;
  });
}

function newArrival(deployment: BenchDeployment, poolId: string, random: () => number): Arrival {
  const { teamId } = pickWeighted(deployment.teams, ({ loadFraction }) => loadFraction, random);
  const { priority, meanRunMs, deadlineMs } = pickWeighted(
    deployment.requestClasses,
    ({ loadFraction }) => loadFraction,
    random,
  );
  const memberIndex = Math.floor(random() * deployment.entryInstanceCount);
  return { poolId, teamId, priority, runMs: exponential(random, meanRunMs), deadlineMs, memberIndex };
}

/** A random item, each with a probability proportional to its weight. */
function pickWeighted<T>(items: readonly T[], weightOf: (item: T) => number, random: () => number): T {
  let remaining = random() * items.reduce((sum, item) => sum + weightOf(item), 0);
  for (const item of items) {
    remaining -= weightOf(item);
    if (remaining < 0) return item;
  }
  return items[items.length - 1] as T;
}
