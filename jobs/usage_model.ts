/** Learns per queue how far declared sizes and run times are off. */
import { combineResources, type Resources } from '../model/resources';

/** Tasks per queue from which is learnt, and how many are needed before declarations are corrected. */
const WINDOW_TASKS = 64;
const NEEDED_TASKS = 5;

/** High, because a task that outgrows its room disturbs its neighbours, and spare room only costs buffer. */
const QUANTILE = 0.95;

interface Ratios {
  readonly processors: number;
  readonly memoryBytes: number;
}

/**
 * Estimates what tasks use from what earlier tasks of their queue used.
 * Reports lag behind; a task without one is taken at the estimate.
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

  /** Takes in a report of a task; its highest usage counts. */
  recordUsage(queueId: string, taskId: string, declared: Resources, usage: Resources): void {
    const tasks = this.ratios.get(queueId) ?? new Map<string, Ratios>();
    this.ratios.set(queueId, tasks);
    const known = tasks.get(taskId) ?? { processors: 0, memoryBytes: 0 };
    tasks.set(taskId, {
      processors: Math.max(known.processors, usage.processors / declared.processors),
      memoryBytes: Math.max(known.memoryBytes, usage.memoryBytes / declared.memoryBytes),
    });
    const [oldest] = tasks.keys();
    if (tasks.size > WINDOW_TASKS && oldest !== undefined) tasks.delete(oldest);
  }

  /** Takes in the run time of a finished task, both in milliseconds. */
  recordRunTime(queueId: string, declaredMs: number, ranMs: number): void {
    const known = this.runTimeRatios.get(queueId) ?? [];
    this.runTimeRatios.set(queueId, [...known, ranMs / declaredMs].slice(-WINDOW_TASKS));
  }

  /** What a task will use: never less than what it is reported to use now. Accelerators are exclusive, so as declared. */
  estimate(queueId: string, declared: Resources, reported: Resources | null): Resources {
    const ratios = [...(this.ratios.get(queueId)?.values() ?? [])];
    const enough = ratios.length >= NEEDED_TASKS;
    const learnt: Resources = {
      processors: declared.processors * (enough ? quantile(ratios.map((r) => r.processors)) : 1),
      memoryBytes: declared.memoryBytes * (enough ? quantile(ratios.map((r) => r.memoryBytes)) : 1),
      accelerators: declared.accelerators,
    };
    return reported === null ? learnt : combineResources(learnt, reported, Math.max);
  }

  /** Expected run time in milliseconds. */
  expectedRunTimeMs(queueId: string, declaredMs: number): number {
    const ratios = this.runTimeRatios.get(queueId) ?? [];
    return ratios.length >= NEEDED_TASKS ? declaredMs * quantile(ratios) : declaredMs;
  }
}

function quantile(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * QUANTILE))] ?? 1;
}
