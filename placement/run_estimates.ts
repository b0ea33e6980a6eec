/** Learns how long tasks really run, since callers' estimates may be far off. */
import type { JobDefinition } from '../scheduling/job_definition';

/** Weight of the latest observation. */
const LEARNING_RATE = 0.1;

/** Observed ratios outside this range are clipped, so that one hung task does not spoil the estimate. */
const MAX_RATIO = 5;

/** Ratio of real to estimated run time, by queue. */
export class RunEstimates {
  private readonly ratios = new Map<string, number>();

  observe(queueId: string, estimateMs: number, actualMs: number): void {
    if (estimateMs <= 0) return;
    const ratio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, actualMs / estimateMs));
    const known = this.ratios.get(queueId);
    this.ratios.set(queueId, known === undefined ? ratio : known + LEARNING_RATE * (ratio - known));
  }

  /** Expected run time of a task, in milliseconds. */
  expectedMs(queueId: string, estimateMs: number): number {
    return estimateMs * (this.ratios.get(queueId) ?? 1);
  }
}

/**
 * Longest chain of estimates through the steps that `isOpen` selects, in milliseconds.
 *
 * @example
 * ```ts
 * longestChainMs(definition, () => true);
 * ```
 */
export function longestChainMs(definition: JobDefinition, isOpen: (step: number) => boolean): number {
  const ends: number[] = [];
  definition.steps.forEach((step, number) => {
    const start = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
    ends.push(start + (isOpen(number) ? step.estimateMs : 0));
  });
  return Math.max(0, ...ends);
}

/** Processor time of the steps that `isOpen` selects, in core-milliseconds of one occurrence. */
export function workOf(definition: JobDefinition, isOpen: (step: number) => boolean): number {
  return definition.steps.reduce(
    (sum, step, number) =>
      isOpen(number) ? sum + step.taskCount * step.estimateMs * Math.max(step.demand.processors, 0.001) : sum,
    0,
  );
}
