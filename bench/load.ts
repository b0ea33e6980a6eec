/** Requests that arrive at the entry instances, the same for the same seed. */
import type { Priority } from '../model/fleet';
import { BURST_FACTOR, QUIET_FACTOR, type BenchDeployment } from './deployments';
import { exponential } from './seeded_random';

export interface Arrival {
  readonly poolId: string;
  readonly teamId: string;
  readonly priority: Priority;
  readonly runMs: number;
  readonly deadlineMs: number;
  /** Index of the entry instance that the load balancer chose. */
  readonly member: number;
}

/** Requests per millisecond that a pool can run. */
export function poolCapacity(deployment: BenchDeployment, poolId: string): number {
  const meanRunMs = deployment.classes.reduce((sum, { part, meanRunMs: ms }) => sum + part * ms, 0);
  return ((deployment.workers.get(poolId) ?? 0) * deployment.slotsPerWorker) / meanRunMs;
}

/** Load of a queue relative to its mean; the queues burst one after the other. */
export function loadFactor(deployment: BenchDeployment, poolIndex: number, nowMs: number): number {
  const turn = Math.floor(nowMs / deployment.burstMs) % deployment.workers.size;
  return turn === poolIndex ? BURST_FACTOR : QUIET_FACTOR;
}

/** The arrivals of one step of `stepMs` milliseconds, at random within it. */
export function arrivalsOf(
  deployment: BenchDeployment,
  nowMs: number,
  stepMs: number,
  random: () => number,
): readonly Arrival[] {
  return [...deployment.workers.keys()].flatMap((poolId, index) => {
    const rate =
      poolCapacity(deployment, poolId) * deployment.meanLoad * loadFactor(deployment, index, nowMs);
    const arrivals: Arrival[] = [];
    for (let atMs = exponential(random, 1 / rate); atMs < stepMs; atMs += exponential(random, 1 / rate)) {
      arrivals.push(newArrival(deployment, poolId, random));
    }
    return arrivals;
  });
}

function newArrival(deployment: BenchDeployment, poolId: string, random: () => number): Arrival {
  const { teamId } = pick(deployment.accounts, ({ loadPart }) => loadPart, random);
  const { priority, meanRunMs, deadlineMs } = pick(deployment.classes, ({ part }) => part, random);
  const member = Math.floor(random() * deployment.entryInstances);
  return { poolId, teamId, priority, runMs: exponential(random, meanRunMs), deadlineMs, member };
}

function pick<T>(items: readonly T[], partOf: (item: T) => number, random: () => number): T {
  let left = random() * items.reduce((sum, item) => sum + partOf(item), 0);
  for (const item of items) {
    left -= partOf(item);
    if (left < 0) return item;
  }
  return items[items.length - 1] as T;
}
