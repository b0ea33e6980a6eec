/** Groups the work that arrived at a pool lately, so that it can be published in little space. */
import type { Resources } from '../model/resources';
import { GROUP_VALUE_RATIO, type ResourceKind } from './backlog_groups';
import type { ArrivalGroup } from './pool_pressure';

/** Largest number of groups that are published of a pool; the ones with the most work are kept. */
const MAX_GROUPS = 24;

/** A job that has arrived. */
export interface ArrivedWork {
  readonly atMs: number;
  readonly priority: number;
  readonly isOverShare: boolean;
  readonly teamId: string | null;
  readonly valuePerStart: number;
  /** Amount of each resource, multiplied by the expected time for which it is used in milliseconds. */
  readonly work: Resources;
}

export interface ArrivalOptions {
  readonly resource: ResourceKind;
  readonly capacity: Resources;
  /** Time in which the work arrived, in milliseconds. */
  readonly windowMs: number;
  /** The upper limits of accounts; an amount of 0 is no limit. */
  readonly teamLimits: ReadonlyMap<string, Resources>;
}

/**
 * Groups arrivals by their place among jobs that can meet their targets. Of an account,
 * no more counts than its upper limit lets run.
 *
 * @example
 * ```ts
 * const arrivals = groupArrivals(work, { resource: 'processors', capacity, windowMs: 3_000, teamLimits });
 * ```
 */
export function groupArrivals(
  arrived: readonly ArrivedWork[],
  { resource, capacity, windowMs, teamLimits }: ArrivalOptions,
): readonly ArrivalGroup[] {
  const shareOf = ({ work }: ArrivedWork): number =>
    capacity[resource] > 0 ? work[resource] / windowMs / capacity[resource] : 0;
  const shareByTeam = new Map<string | null, number>();
  for (const job of arrived) shareByTeam.set(job.teamId, (shareByTeam.get(job.teamId) ?? 0) + shareOf(job));
  const usableShare = (teamId: string | null): number => {
    const limit = teamId === null ? 0 : (teamLimits.get(teamId)?.[resource] ?? 0);
    const arriving = shareByTeam.get(teamId) ?? 0;
    return limit === 0 || arriving === 0 ? 1 : Math.min(1, limit / capacity[resource] / arriving);
  };
  const groups = new Map<string, ArrivalGroup>();
  for (const job of arrived) {
    const { priority, isOverShare, valuePerStart } = job;
    const valueStep = Math.floor(Math.log(Math.max(1, valuePerStart)) / Math.log(GROUP_VALUE_RATIO));
    const key = [priority, isOverShare, valueStep].join(' ');
    const known = groups.get(key);
    groups.set(key, {
      priority,
      isOverShare,
      leastValuePerStart: Math.min(known?.leastValuePerStart ?? Infinity, valuePerStart),
      poolShare: (known?.poolShare ?? 0) + shareOf(job) * usableShare(job.teamId),
    });
  }
  return [...groups.values()].sort((a, b) => b.poolShare - a.poolShare).slice(0, MAX_GROUPS);
}
