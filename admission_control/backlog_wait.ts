/** Estimates how long a job would wait for the work that comes before it. */
import { Kind } from '../scheduling/queue_order';
import { GROUP_SLACK_RATIO } from './backlog_groups';
import type { ArrivalGroup, BacklogGroup, PoolPressure } from './pool_pressure';

/** Values within this fraction are equal; views contain them with 8 digits. */
const VALUE_TOLERANCE = 1e-6;

/** The place of a job in the order of its pool. */
export interface JobPosition {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isOverShare: boolean;
  readonly valuePerStart: number;
  /** Time for which the job could wait and still meet its target, in milliseconds. */
  readonly slackMs: number;
  /** Time for which the job could wait and its result be of use, in milliseconds. */
  readonly usefulSlackMs: number;
}

/** Work that comes before a job, until it is used up or stops coming first. */
interface PrecedingWork {
  readonly group: BacklogGroup;
  readonly untilMs: number;
}

/** A job among the work of its pool. */
export interface Standing extends Pick<PoolPressure, 'backlog' | 'arrivals' | 'startsPerMs' | 'shortForMs'> {
  readonly job: JobPosition;
}

export interface BacklogWait {
  /** Wait for workers, in milliseconds. */
  readonly workersMs: number;
  /** Wait for the starts that the leader carries out, in milliseconds. */
  readonly startsMs: number;
}

/**
 * Wait of a job, while it can meet its target or once it has missed it.
 *
 * @example
 * ```ts
 * const { workersMs } = backlogWait(Kind.Late, { job, ...pool });
 * ```
 */
export function backlogWait(
  kind: Kind.OnTime | Kind.Late,
  { job, backlog, arrivals, startsPerMs, shortForMs }: Standing,
): BacklogWait {
  const isOnTime = kind === Kind.OnTime;
  const preceding = backlog
    .map((group) => ({ group, untilMs: isOnTime ? untilOnTime(group, job) : untilLate(group, job) }))
    .filter(({ untilMs }) => untilMs > 0)
    .sort((a, b) => a.untilMs - b.untilMs);
  // A group spans a range of slack from its least one: the last two before the job count in full.
  const horizonMs = (isOnTime ? job.slackMs : job.usefulSlackMs) / GROUP_SLACK_RATIO ** 2;
  const workOffAt = (poolShare: number): number =>
    workOff(preceding, horizonMs, ({ workMs }) => workMs / poolShare);
  const arrivingShare = precedingShare(kind, job, arrivals);
  return {
    // The shortage may last as long again as it has lasted.
    workersMs: withArrivals(workOffAt, { arrivingShare, arrivalsForMs: shortForMs, slackMs: job.slackMs }),
    startsMs: startsPerMs === null ? 0 : workOff(preceding, horizonMs, ({ starts }) => starts / startsPerMs),
  };
}

/** Works the groups off in the order in which they stop coming first; what is left of one then delays nothing. */
function workOff(
  preceding: readonly PrecedingWork[],
  horizonMs: number,
  costMs: (group: BacklogGroup) => number,
): number {
  return preceding.reduce((elapsedMs, { group, untilMs }) => {
    const endMs = elapsedMs + costMs(group);
    return untilMs < horizonMs ? Math.min(endMs, Math.max(elapsedMs, untilMs)) : endMs;
  }, 0);
}

function isMoreValuable(
  { leastValuePerStart }: { readonly leastValuePerStart: number },
  job: JobPosition,
): boolean {
  return leastValuePerStart > job.valuePerStart * (1 + VALUE_TOLERANCE);
}

interface ExpectedArrivals {
  /** Fraction of the pool's capacity that is used by arrivals that come before the job. */
  readonly arrivingShare: number;
  readonly arrivalsForMs: number;
  /** Time for which an arrival comes first at most: until it misses its target. */
  readonly slackMs: number;
}

/** Wait with what arrives before the job's turn and comes first. `workOffAt` is the wait at a share of the pool. */
function withArrivals(
  workOffAt: (poolShare: number) => number,
  { arrivingShare, arrivalsForMs, slackMs }: ExpectedArrivals,
): number {
  const waitMs = workOffAt(1);
  const whileArrivingMs = arrivingShare < 1 ? workOffAt(1 - arrivingShare) : Infinity;
  if (whileArrivingMs <= arrivalsForMs) return whileArrivingMs;
  const arrivedMs = Math.min(waitMs + arrivingShare * arrivalsForMs, arrivalsForMs + slackMs);
  return Math.max(waitMs, Math.min(whileArrivingMs, arrivedMs));
}

/**
 * Later arrivals come before an on-time job by their value. They come before a late one
 * while they can meet their targets, but only those of another standing are counted there:
 * that a burst of the job's own kind goes on for so long is not known.
 */
function precedingShare(kind: Kind, job: JobPosition, arrivals: readonly ArrivalGroup[]): number {
  const isBefore = (group: ArrivalGroup): boolean => {
    const { priority, isOverShare } = group;
    if (priority !== job.priority) return priority < job.priority;
    if (isOverShare !== job.isOverShare) return job.isOverShare;
    return kind === Kind.OnTime && isMoreValuable(group, job);
  };
  return arrivals.filter(isBefore).reduce((sum, { poolShare }) => sum + poolShare, 0);
}

/** Until when a group comes before a job that can meet its target; 0 if it does not. */
function untilOnTime(group: BacklogGroup, job: JobPosition): number {
  if (group.priority !== job.priority) return group.priority < job.priority ? Infinity : 0;
  if (group.kind !== 'on_time' || (group.isOverShare && !job.isOverShare)) return 0;
  if (group.isOverShare !== job.isOverShare) return group.leastSlackMs;
  const isAsValuable = group.leastValuePerStart >= job.valuePerStart * (1 - VALUE_TOLERANCE);
  const isBefore = isMoreValuable(group, job) || (isAsValuable && group.leastSlackMs <= job.slackMs);
  return isBefore ? group.leastSlackMs : 0;
}

/** Until when a group comes before a job that has missed its target; 0 if it does not. */
function untilLate(group: BacklogGroup, job: JobPosition): number {
  if (group.priority !== job.priority) return group.priority < job.priority ? Infinity : 0;
  if (group.kind === 'useless') return 0;
  // An on-time group comes first until it is late, and later than the job if it stays useful for longer.
  if (group.leastUsefulSlackMs > job.usefulSlackMs || (group.isOverShare && !job.isOverShare))
    return untilOnTime(group, job);
  return group.leastUsefulSlackMs;
}
