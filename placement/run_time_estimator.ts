/** Estimates run times of tasks from observed ones, since callers' estimates may be far off. */
import type { JobDefinition } from '../scheduling/job_definition';

/**
 * Factor by which each observation reduces the weight of the earlier ones. The estimate
 * depends mainly on the last 50 or so runs.
 */
const DECAY = 0.98;

interface Totals {
  readonly estimateMs: number;
  readonly actualMs: number;
}

/**
 * Ratio of actual to estimated run time, by queue. It is a ratio of sums, because
 * a mean of ratios would favour runs whose estimates were far too low.
 */
export class RunTimeEstimator {
  private readonly totals = new Map<string, Totals>();

  observe(queueId: string, estimateMs: number, actualMs: number): void {
    if (estimateMs <= 0) return;
    const queueTotals = this.totals.get(queueId) ?? { estimateMs: 0, actualMs: 0 };
    this.totals.set(queueId, {
      estimateMs: queueTotals.estimateMs * DECAY + estimateMs,
      actualMs: queueTotals.actualMs * DECAY + actualMs,
    });
  }

  /** Expected run time of a task, in milliseconds. */
  expectedMs(queueId: string, estimateMs: number): number {
    const queueTotals = this.totals.get(queueId);
    return queueTotals === undefined
      ? estimateMs
      : estimateMs * (queueTotals.actualMs / queueTotals.estimateMs);
  }
}

/**
 * Length of the critical path through the steps that `isPending` selects, by their estimates, in milliseconds.
 *
 * @example
 * ```ts
 * criticalPathMs(definition, () => true);
 * ```
 */
export function criticalPathMs(definition: JobDefinition, isPending: (step: number) => boolean): number {
  const endTimesMs: number[] = [];
  definition.steps.forEach((step, number) => {
    const start = Math.max(0, ...step.after.map((earlier) => endTimesMs[earlier] ?? 0));
    endTimesMs.push(start + (isPending(number) ? step.estimateMs : 0));
  });
  return Math.max(0, ...endTimesMs);
}

/** Processor time that one occurrence of the steps that `isPending` selects takes, in core-milliseconds. */
export function totalWork(definition: JobDefinition, isPending: (step: number) => boolean): number {
  return definition.steps.reduce(
    (sum, step, number) =>
      isPending(number)
        ? sum + step.taskCount * step.estimateMs * Math.max(step.demand.processors, 0.001)
        : sum,
    0,
  );
}
