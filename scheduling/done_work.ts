/** The done steps and occurrences of a job, of which no task is kept. */
import { occurrenceCount, type JobDefinition } from './job_definition';
import type { JobProgress } from './job_progress';
import { DONE_BYTES } from './progress_size';

type DoneProgress = Pick<JobProgress, 'doneOccurrences' | 'doneSteps'>;

/**
 * @example
 * ```ts
 * const done = new DoneWork(definition, INITIAL_JOB_PROGRESS);
 * done.addStep(0, 0);
 * done.hasStep(0, 0); // true
 * ```
 */
export class DoneWork {
  /** All occurrences before this one are done. */
  private firstOpen = 0;
  /** Done occurrences after {@link firstOpen}. */
  private readonly occurrences = new Set<number>();
  /** Keys (`occurrence.step`) of the done steps of open occurrences. */
  private readonly steps: Set<string>;

  constructor(
    private readonly definition: JobDefinition,
    { doneOccurrences, doneSteps }: DoneProgress,
  ) {
    this.steps = new Set(doneSteps);
    for (const [first, last] of doneOccurrences)
      for (let occurrence = first; occurrence <= last; occurrence += 1) this.occurrences.add(occurrence);
    this.advance();
  }

  get firstOpenOccurrence(): number {
    return this.firstOpen;
  }

  /** Upper bound of the stored size, in bytes. */
  get bytes(): number {
    return (1 + this.occurrences.size + this.steps.size) * DONE_BYTES;
  }

  get progress(): DoneProgress {
    const ranges: (readonly [number, number])[] = this.firstOpen > 0 ? [[0, this.firstOpen - 1]] : [];
    for (const occurrence of [...this.occurrences].sort((a, b) => a - b)) {
      const previous = ranges.at(-1);
      if (previous?.[1] === occurrence - 1) ranges[ranges.length - 1] = [previous[0], occurrence];
      else ranges.push([occurrence, occurrence]);
    }
    return { doneOccurrences: ranges, doneSteps: this.steps };
  }

  hasStep(occurrence: number, step: number): boolean {
    return (
      occurrence < this.firstOpen ||
      this.occurrences.has(occurrence) ||
      this.steps.has(`${occurrence}.${step}`)
    );
  }

  /** Adds a done step, and its occurrence once all of its steps are done. */
  addStep(occurrence: number, step: number): void {
    this.steps.add(`${occurrence}.${step}`);
    const { steps } = this.definition;
    if (!steps.every((_, number) => this.steps.has(`${occurrence}.${number}`))) return;
    for (const number of steps.keys()) this.steps.delete(`${occurrence}.${number}`);
    this.occurrences.add(occurrence);
    this.advance();
  }

  private advance(): void {
    while (this.firstOpen < occurrenceCount(this.definition) && this.occurrences.delete(this.firstOpen))
      this.firstOpen += 1;
  }
}
