/** Estimates, for each queue, how far usage and run times deviate from what callers declare. */
import { combineResources, type Resources } from '../model/resources';

/** Number of the latest tasks of a queue that are considered. */
const WINDOW_TASKS = 64;
/** Minimum number of tasks of a queue for its declared values to be corrected. */
const MIN_TASKS = 5;

/**
 * Quantile of the ratios of actual to declared values by which estimates are
 * scaled. It is high because a task that exceeds its estimate slows its
 * neighbours, while an overestimate only leaves spare capacity.
 */
const QUANTILE = 0.95;

/** Highest reported usage of a task relative to its declared size. */
interface Ratios {
  readonly processors: number;
  readonly memoryBytes: number;
}

/**
 * Estimates the usage of a task from the usage of earlier tasks of its queue.
 * Usage is reported with a delay; until the first report of a task, its estimate
 * is used instead.
 *
 * @example
 * ```ts
 * model.recordUsage('stir', taskId, declared, report.usage);
 * const demand = model.estimate('stir', declared, null);
 * ```
 */
export class UsageModel {
  private readonly ratios = new Map<string, Map<string, Ratios>>();
  private readonly runTimeRatios = new Map<string, readonly number[]>();

  /** Records the reported usage of a task. The highest values that are reported for a task count. */
  recordUsage(queueId: string, taskId: string, declared: Resources, usage: Resources): void {
    const tasks = this.ratios.get(queueId) ?? new Map<string, Ratios>();
    this.ratios.set(queueId, tasks);
    const recorded = tasks.get(taskId) ?? { processors: 0, memoryBytes: 0 };
    tasks.set(taskId, {
      processors: Math.max(recorded.processors, usage.processors / declared.processors),
      memoryBytes: Math.max(recorded.memoryBytes, usage.memoryBytes / declared.memoryBytes),
    });
    const [oldest] = tasks.keys();
    if (tasks.size > WINDOW_TASKS && oldest !== undefined) tasks.delete(oldest);
  }

  /** Records the declared and the actual run time of a finished task, in milliseconds. */
  recordRunTime(queueId: string, declaredMs: number, ranMs: number): void {
    const recorded = this.runTimeRatios.get(queueId) ?? [];
    this.runTimeRatios.set(queueId, [...recorded, ranMs / declaredMs].slice(-WINDOW_TASKS));
  }

  /**
   * Returns the expected usage of a task, which is never less than its reported
   * usage. Accelerators are exclusive, so they count as declared.
   */
  estimate(queueId: string, declared: Resources, reported: Resources | null): Resources {
    const ratios = [...(this.ratios.get(queueId)?.values() ?? [])];
    const hasEnough = ratios.length >= MIN_TASKS;
    const estimated: Resources = {
      processors: declared.processors * (hasEnough ? quantile(ratios.map((r) => r.processors)) : 1),
      memoryBytes: declared.memoryBytes * (hasEnough ? quantile(ratios.map((r) => r.memoryBytes)) : 1),
      accelerators: declared.accelerators,
    };
    return reported === null ? estimated : combineResources(estimated, reported, Math.max);
  }

  /** Returns the expected run time of a task, in milliseconds. */
  expectedRunTimeMs(queueId: string, declaredMs: number): number {
    const ratios = this.runTimeRatios.get(queueId) ?? [];
    return ratios.length >= MIN_TASKS ? declaredMs * quantile(ratios) : declaredMs;
  }
}

function quantile(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * QUANTILE))] ?? 1;
}
