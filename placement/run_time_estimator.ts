/** Learns how long tasks really run, since callers' estimates may be far off. */
import type { JobDefinition } from '../scheduling/job_definition';

/** What each new observation leaves of the earlier ones; about 50 runs count. */
const DECAY = 0.98;

interface Totals {
  readonly estimateMs: number;
  readonly actualMs: number;
}

/**
 * Ratio of real to estimated run time, by queue. The ratio of the sums does
 * not favour runs whose estimates were far too low, as a mean of ratios would.
 */
export class RunTimeEstimator {
  private readonly totals = new Map<string, Totals>();

  observe(queueId: string, estimateMs: number, actualMs: number): void {
    if (estimateMs <= 0) return;
    const known = this.totals.get(queueId) ?? { estimateMs: 0, actualMs: 0 };
    this.totals.set(queueId, {
      estimateMs: known.estimateMs * DECAY + estimateMs,
      actualMs: known.actualMs * DECAY + actualMs,
    });
  }

  /** Expected run time of a task, in milliseconds. */
  expectedMs(queueId: string, estimateMs: number): number {
    const known = this.totals.get(queueId);
    return known === undefined ? estimateMs : estimateMs * (known.actualMs / known.estimateMs);
  }
}

/**
 * Longest chain of estimates through the steps that `isOpen` selects, in milliseconds.
 *
 * @example
 * ```ts
 * criticalPathMs(definition, () => true);
 * ```
 */
export function criticalPathMs(definition: JobDefinition, isOpen: (step: number) => boolean): number {
  const ends: number[] = [];
  definition.steps.forEach((step, number) => {
    const start = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
    ends.push(start + (isOpen(number) ? step.estimateMs : 0));
  });
  return Math.max(0, ...ends);
}

/** Processor time of the steps that `isOpen` selects, in core-milliseconds of one occurrence. */
export function totalWork(definition: JobDefinition, isOpen: (step: number) => boolean): number {
  return definition.steps.reduce(
    (sum, step, number) =>
      isOpen(number) ? sum + step.taskCount * step.estimateMs * Math.max(step.demand.processors, 0.001) : sum,
    0,
  );
}
