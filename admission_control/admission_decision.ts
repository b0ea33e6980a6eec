/** Decides whether a submitted job is accepted while its pool is short of capacity. */
import { fitsInto } from '../model/resources';
import { isLongRunning } from '../scheduling/job_definition';
import { Kind } from '../scheduling/queue_order';
import { backlogWait, type BacklogWait, type Standing } from './backlog_wait';
import { positionOf, type SubmittedJob } from './job_position';
import type { AgedView, PoolPressure } from './pool_pressure';
import { isReturnSecond } from './return_second';

/** Maximum age of a view that is used, in milliseconds; numbers of pending jobs may be as old. */
export const MAX_VIEW_AGE_MS = 2_000;

/**
 * Time for which a pool must have been short before a job is rejected, in milliseconds. A
 * pool grows within this time, so that the backlog at the onset of a burst says nothing.
 */
export const POOL_GROWTH_MS = 2_500;

/**
 * A job that returns at its promised time is rejected only if its wait is this many times
 * as long as would be enough for the first rejection.
 */
const RETURN_FACTOR = 1.5;

export type AcceptReason =
  'off' | 'no_view' | 'stale_view' | 'exempt' | 'not_short' | 'growing' | 'room' | 'on_time' | 'useful';

export type Verdict =
  | { readonly kind: 'accept'; readonly reason: AcceptReason }
  | {
      readonly kind: 'reject';
      /** What the pool lacks. */
      readonly reason: 'short_of_workers' | 'short_of_starts';
      readonly waitMs: number;
      /** Time for which the job could wait and its result be of use. */
      readonly usefulSlackMs: number;
      /** Whether the job came at the time that its earlier rejection may have promised. */
      readonly isReturn: boolean;
      readonly pool: PoolPressure;
      readonly aged: AgedView;
    };

export type Rejection = Extract<Verdict, { readonly kind: 'reject' }>;

export interface DecisionInputs {
  readonly job: SubmittedJob;
  /** `null` while no view of the latest leader is known. */
  readonly aged: AgedView | null;
  /** A job is rejected if its wait is at least this percentage of its useful slack. */
  readonly waitPercent: number;
}

/**
 * Rejects a job only if it would wait, for work that comes before it in the order of
 * `scheduling/queue_order.ts`, until its result is of no use. What is not known counts in
 * favour of the job.
 *
 * @example
 * ```ts
 * const verdict = decideAdmission({ job, aged: { view, ageMs: 300 }, waitPercent: 110 });
 * ```
 */
export function decideAdmission({ job, aged, waitPercent }: DecisionInputs): Verdict {
  if (aged === null) return accept('no_view');
  if (aged.ageMs >= MAX_VIEW_AGE_MS) return accept('stale_view');
  if (isExempt(job)) return accept('exempt');
  const { view, ageMs } = aged;
  const pool = view.pools.find(({ poolId }) => poolId === job.queue.poolId);
  if (pool === undefined) return accept('not_short');
  if (pool.shortForMs < POOL_GROWTH_MS) return accept('growing');
  const canFindRoom = mayFindRoom(job, pool);
  if (canFindRoom && pool.startsPerMs === null) return accept('room');
  const position = positionOf(job, view);
  const standings = possibleStandings({ job: position, ...pool });
  // Where there is room, a job waits for its start only.
  const waitMsOf = ({ workersMs, startsMs }: BacklogWait): number =>
    (canFindRoom ? startsMs : Math.max(workersMs, startsMs)) - ageMs;
  const onTimeWaits = standings.map((standing) => backlogWait(Kind.OnTime, standing));
  if (onTimeWaits.some((wait) => waitMsOf(wait) < position.slackMs)) return accept('on_time');
  const wait = standings
    .map((standing) => backlogWait(Kind.Late, standing))
    .reduce((shortest, other) => (waitMsOf(other) < waitMsOf(shortest) ? other : shortest));
  const waitMs = waitMsOf(wait);
  const isReturn = isReturnSecond(job.jobId, Math.floor(view.seconds + ageMs / 1_000));
  const neededMs = (position.usefulSlackMs * waitPercent * (isReturn ? RETURN_FACTOR : 1)) / 100;
  if (waitMs < neededMs) return accept('useful');
  const reason = canFindRoom || wait.startsMs > wait.workersMs ? 'short_of_starts' : 'short_of_workers';
  const { usefulSlackMs } = position;
  return { kind: 'reject', reason, waitMs, usefulSlackMs, isReturn, pool, aged };
}

/**
 * The standings that the job may have until its turn. An account over its share may be within
 * it a moment later, so that its jobs are also compared as if all accounts were alike.
 */
function possibleStandings(now: Standing): readonly Standing[] {
  if (!now.job.isOverShare) return [now];
  const alike = <T extends { readonly isOverShare: boolean }>(items: readonly T[]): readonly T[] =>
    items.map((item) => ({ ...item, isOverShare: true }));
  return [now, { ...now, backlog: alike(now.backlog), arrivals: alike(now.arrivals) }];
}

function accept(reason: AcceptReason): Verdict {
  return { kind: 'accept', reason };
}

/** Long-running and timed jobs are never rejected; fillers use what others leave, which the view does not show. */
function isExempt({ definition }: SubmittedJob): boolean {
  return (
    isLongRunning(definition) ||
    definition.repeat !== null ||
    definition.steps.some(({ isFiller }) => isFiller)
  );
}

/** Whether a first task of the job may find room: no waiting task that requests as little was left out. */
function mayFindRoom({ definition }: SubmittedJob, { unplacedDemands }: PoolPressure): boolean {
  return definition.steps.some(
    ({ after, demand }) =>
      after.length === 0 && !unplacedDemands.some((unplaced) => fitsInto(unplaced, demand)),
  );
}
