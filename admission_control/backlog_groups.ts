/** Groups the waiting work of a pool, so that it can be published in little space. */
import type { Resources } from '../model/resources';
import { Kind, kindOf, type WaitingStep } from '../scheduling/queue_order';
import type { BacklogGroup, BacklogKind } from './pool_pressure';

/**
 * Ratio between the largest and the least useful slack in a group. The estimate of a wait is
 * too short by up to this ratio; with a smaller one the view is larger.
 */
export const GROUP_SLACK_RATIO = 1.25;

/** Ratio between the largest and the least value per start in a group. */
export const GROUP_VALUE_RATIO = 1.5;

/** Slacks below this, in milliseconds, are one group. */
const LEAST_SLACK_MS = 100;

/** Largest number of groups that are published of a pool; the ones with the most work are kept. */
const MAX_GROUPS = 48;

/** A waiting step that waits for room or for the leader's starts, and for nothing else. */
export interface WaitingWork extends WaitingStep {
  /** Client account; `null` for a job without one. */
  readonly teamId: string | null;
  /** What one task occupies. */
  readonly demand: Resources;
  readonly waitingTasks: number;
  /** Expected run time of one task. */
  readonly runTimeMs: number;
}

export interface BacklogOptions {
  readonly capacity: Resources;
  /** The upper limits of accounts; an amount of 0 is no limit. */
  readonly teamLimits: ReadonlyMap<string, Resources>;
}

const RESOURCE_KINDS = ['processors', 'memoryBytes', 'accelerators'] as const;
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/**
 * Groups waiting work by its place in the order. The work is counted in the resource of
 * which the most is waited for, as the time for which it occupies the whole pool.
 *
 * @example
 * ```ts
 * const backlog = groupBacklog(work, { capacity, teamLimits: new Map() });
 * ```
 */
export function groupBacklog(work: readonly WaitingWork[], options: BacklogOptions): readonly BacklogGroup[] {
  const resource = scarcestResource(work, options.capacity);
  const usableShares = usableShareByTeam(work, resource, options);
  const groups = new Map<string, BacklogGroup>();
  for (const step of work) {
    const kind = backlogKind(step);
    if (kind === null) continue;
    const usableShare = step.teamId === null ? 1 : (usableShares.get(step.teamId) ?? 1);
    const added: BacklogGroup = {
      priority: step.priority,
      kind,
      isOverShare: step.isOverShare,
      leastValuePerStart: step.valuePerStart,
      leastSlackMs: step.slackMs,
      leastUsefulSlackMs: step.usefulSlackMs,
      workMs: poolMs(step, resource, options.capacity) * usableShare,
      starts: step.waitingTasks * usableShare,
    };
    const key = groupKey(added);
    const known = groups.get(key);
    groups.set(key, known === undefined ? added : merge(known, added));
  }
  return [...groups.values()].sort((a, b) => b.workMs - a.workMs).slice(0, MAX_GROUPS);
}

/** Long-running steps take capacity for good and fillers leave it; neither is worked off. */
function backlogKind(step: WaitingStep): BacklogKind | null {
  const kind = kindOf(step);
  if (kind === Kind.OnTime) return 'on_time';
  if (kind === Kind.Late) return 'late';
  return kind === Kind.Useless ? 'useless' : null;
}

function poolMs(
  { demand, waitingTasks, runTimeMs }: WaitingWork,
  resource: ResourceKind,
  capacity: Resources,
): number {
  return capacity[resource] > 0 ? (demand[resource] * waitingTasks * runTimeMs) / capacity[resource] : 0;
}

/** The resource of which the waiting work needs the most, in proportion to the capacity. */
export function scarcestResource(work: readonly WaitingWork[], capacity: Resources): ResourceKind {
  const totalMs = (resource: ResourceKind): number =>
    work.reduce((sum, step) => sum + poolMs(step, resource, capacity), 0);
  return RESOURCE_KINDS.reduce((scarcest, resource) =>
    totalMs(resource) > totalMs(scarcest) ? resource : scarcest,
  );
}

/**
 * The part of each account's work that its upper limit lets it use while the work is of
 * use; the rest waits for the limit and delays no other job.
 */
function usableShareByTeam(
  work: readonly WaitingWork[],
  resource: ResourceKind,
  { capacity, teamLimits }: BacklogOptions,
): ReadonlyMap<string, number> {
  const totals = new Map<string, { readonly workMs: number; readonly longestMs: number }>();
  for (const step of work) {
    if (step.teamId === null) continue;
    const { workMs, longestMs } = totals.get(step.teamId) ?? { workMs: 0, longestMs: 0 };
    totals.set(step.teamId, {
      workMs: workMs + poolMs(step, resource, capacity),
      longestMs: Math.max(longestMs, step.usefulSlackMs),
    });
  }
  return new Map(
    [...totals].map(([teamId, { workMs, longestMs }]) => {
      const limit = teamLimits.get(teamId)?.[resource] ?? 0;
      const usableMs = limit === 0 ? Infinity : (limit / capacity[resource]) * longestMs;
      return [teamId, workMs > usableMs ? usableMs / workMs : 1];
    }),
  );
}

function groupKey({
  priority,
  kind,
  isOverShare,
  leastValuePerStart,
  leastUsefulSlackMs,
}: BacklogGroup): string {
  const slackStep = logStep(Math.max(LEAST_SLACK_MS, leastUsefulSlackMs), GROUP_SLACK_RATIO);
  const valueStep = kind === 'on_time' ? logStep(Math.max(1, leastValuePerStart), GROUP_VALUE_RATIO) : 0;
  return [priority, kind, isOverShare, valueStep, kind === 'useless' ? 0 : slackStep].join(' ');
}

function logStep(value: number, ratio: number): number {
  return Math.floor(Math.log(value) / Math.log(ratio));
}

function merge(a: BacklogGroup, b: BacklogGroup): BacklogGroup {
  return {
    ...a,
    leastValuePerStart: Math.min(a.leastValuePerStart, b.leastValuePerStart),
    leastSlackMs: Math.min(a.leastSlackMs, b.leastSlackMs),
    leastUsefulSlackMs: Math.min(a.leastUsefulSlackMs, b.leastUsefulSlackMs),
    workMs: a.workMs + b.workMs,
    starts: a.starts + b.starts,
  };
}
