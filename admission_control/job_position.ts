/** Where a submitted job would stand in the order of its pool. */
import { BASE_VALUE } from '../placement/plan_request';
import { criticalPathMs, totalWork } from '../placement/run_time_estimator';
import type { QueueRule } from '../scheduling/fleet_rules';
import type { JobDefinition } from '../scheduling/job_definition';
import { USEFUL_TIME_FACTOR } from '../scheduling/queue_order';
import type { JobPosition } from './backlog_wait';
import type { PressureView } from './pool_pressure';

/** A job that a caller submits. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly teamId: string | null;
  readonly queue: QueueRule;
  readonly definition: JobDefinition;
}

/** Ratio of actual to estimated run times of a queue; 1 if the leader has not observed any. */
export function runTimeFactor(view: PressureView, queueId: string): number {
  return view.queues.find((queue) => queue.queueId === queueId)?.runTimeFactor ?? 1;
}

/**
 * The position that the leader would give the job, as `placement/plan_request.ts` does.
 *
 * @example
 * ```ts
 * const { usefulSlackMs } = positionOf(job, view);
 * ```
 */
export function positionOf({ queue, teamId, definition }: SubmittedJob, view: PressureView): JobPosition {
  const runMs = runTimeFactor(view, queue.queueId) * criticalPathMs(definition, () => true);
  const targetMs = queue.stretch * runMs + queue.targetLatencyMs;
  const work = totalWork(definition, () => true);
  const meanWork = view.queues.find(({ queueId }) => queueId === queue.queueId)?.meanWork ?? work;
  const starts = definition.steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  return {
    priority: queue.priority,
    isOverShare: teamId !== null && view.overShareTeamIds.includes(teamId),
    valuePerStart: (BASE_VALUE * meanWork + work) / Math.max(1, starts),
    slackMs: targetMs - runMs,
    usefulSlackMs: USEFUL_TIME_FACTOR * targetMs - runMs,
  };
}
