/** Remembers which work has arrived at each pool lately. */
import type { ArrivedWork } from '../admission_control/arrival_groups';
import { addResources, combineResources, NO_RESOURCES, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import { isLongRunning, type JobDefinition } from '../scheduling/job_definition';
import { queueOf } from '../scheduling/job_queue';
import type { OpenJob } from './job_registry';
import { BASE_VALUE } from './plan_request';
import { totalWork, type RunTimeEstimator } from './run_time_estimator';

/** Arrivals of this time are counted, in milliseconds; queues burst for longer. */
export const ARRIVAL_WINDOW_MS = 2_000;

interface Arrival {
  readonly atMs: number;
  readonly job: OpenJob;
}

/** What arrivals are valued and sorted by. */
export interface ArrivalContext {
  readonly rules: FleetRules;
  readonly estimator: RunTimeEstimator;
  readonly meanWorkByQueue: ReadonlyMap<string, number>;
  readonly overShareTeamIds: ReadonlySet<string>;
}

/**
 * Keeps the arrivals of the last {@link ARRIVAL_WINDOW_MS}.
 *
 * @example
 * ```ts
 * log.record(job, 'quotes', nowMs);
 * const arrived = log.arrivedWork('quotes', context);
 * ```
 */
export class ArrivalLog {
  private readonly arrivals = new Map<string, readonly Arrival[]>();
  private readonly added = new Map<string, Arrival[]>();

  record(job: OpenJob, poolId: string, nowMs: number): void {
    const { definition } = job.record.job;
    if (definition.repeat !== null || isLongRunning(definition)) return;
    const added = this.added.get(poolId) ?? [];
    this.added.set(poolId, added);
    added.push({ atMs: nowMs, job });
  }

  /** Drops old arrivals; called several times a second. */
  refresh(nowMs: number): void {
    for (const [poolId, added] of this.added)
      this.arrivals.set(poolId, [...(this.arrivals.get(poolId) ?? []), ...added]);
    this.added.clear();
    for (const [poolId, arrivals] of this.arrivals) {
      const recent = arrivals.filter(({ atMs }) => nowMs - atMs < ARRIVAL_WINDOW_MS);
      if (recent.length === 0) this.arrivals.delete(poolId);
      else this.arrivals.set(poolId, recent);
    }
  }

  arrivedWork(poolId: string, context: ArrivalContext): readonly ArrivedWork[] {
    return (this.arrivals.get(poolId) ?? []).flatMap(({ atMs, job }) => {
      const { definition, queueId, teamId } = job.record.job;
      const queue = queueOf(context.rules, job.record.job);
      if (queue === undefined) return [];
      const work = totalWork(definition, () => true);
      const starts = definition.steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
      return [
        {
          atMs,
          teamId,
          priority: queue.priority,
          isOverShare: teamId !== null && context.overShareTeamIds.has(teamId),
          valuePerStart:
            (BASE_VALUE * (context.meanWorkByQueue.get(queueId) ?? work) + work) / Math.max(1, starts),
          work: resourceWork(definition, context.estimator.expectedMs(queueId, 1)),
        },
      ];
    });
  }
}

/** Work of the steps that wait for the pool alone; others do not delay a job that can run elsewhere. */
function resourceWork({ steps }: JobDefinition, runTimeFactor: number): Resources {
  return steps
    .filter(
      ({ isFiller, isGang, requiredLabel, maxPerWorker }) =>
        !isFiller && !isGang && requiredLabel === null && maxPerWorker === null,
    )
    .map(({ demand, taskCount, estimateMs }) =>
      combineResources(demand, NO_RESOURCES, (amount) => amount * taskCount * estimateMs * runTimeFactor),
    )
    .reduce(addResources, NO_RESOURCES);
}
