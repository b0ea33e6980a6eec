/** Jobs as callers define them: steps of tasks, with what each step needs. */
import type { Resources } from '../model/resources';

/** Tasks of one kind that may run at the same time. */
export interface StepDefinition {
  readonly taskCount: number;
  /** What one task asks for. */
  readonly demand: Resources;
  /** The caller's rough estimate of one task's run time, in milliseconds. */
  readonly estimateMs: number;
  /** Earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Tasks save their progress from time to time. */
  readonly savesProgress: boolean;
  /** The tasks work only while all of them are present, and end together. */
  readonly isGang: boolean;
  /** The tasks take longer when they run on more than one rack. */
  readonly isRackSensitive: boolean;
  /** Label that the worker must have. */
  readonly requiredLabel: string | null;
  /** Rack on which the data lies. */
  readonly dataRack: string | null;
  /** Most tasks of the step, within one occurrence, on one worker; `null` means no limit. */
  readonly maxPerWorker: number | null;
  /** Several runs of one task may exist at once; the first to end counts. */
  readonly isSpeculative: boolean;
  /** The tasks run until the job is cancelled and are started again however they end. */
  readonly isLongRunning: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image: string;
  /** The tail of the tasks' own response times must stay below this, in milliseconds. */
  readonly targetMs: number | null;
  /** The tasks use the processor time that others leave over; their processors count against no capacity. */
  readonly isFiller: boolean;
  /** Tasks that may be unavailable at once because of the system's own actions; `null` if the step sets no budget. */
  readonly maxUnavailable: number | null;
}

/** Runs the steps again and again. */
export interface RepeatRule {
  readonly count: number;
  /** Unix time of the first occurrence, in milliseconds. */
  readonly firstMs: number;
  readonly intervalMs: number;
}

export interface JobDefinition {
  /** Handed to the workers unread. */
  readonly spec: string;
  readonly steps: readonly StepDefinition[];
  /** `null` for a job that runs once, at once. */
  readonly repeat: RepeatRule | null;
}

/** A job as accepted. */
export interface AcceptedJob {
  readonly jobId: string;
  readonly queueId: string;
  /** `null` for a job without a key. */
  readonly teamId: string | null;
  /** Wall time of the acceptance, in Unix milliseconds; may be off by the clock's error. */
  readonly acceptedAtMs: number;
  readonly definition: JobDefinition;
}

/** One task of a job. */
export interface TaskId {
  readonly jobId: string;
  /** Occurrence of a repeated job; 0 otherwise. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Map key of a task within its job. */
export function taskKey({ occurrence, step, index }: Omit<TaskId, 'jobId'>): string {
  return `${occurrence}.${step}.${index}`;
}

export function occurrenceCount(definition: JobDefinition): number {
  return definition.repeat?.count ?? 1;
}

/** Whether the job lasts until it is cancelled. */
export function isLongRunning(definition: JobDefinition): boolean {
  return definition.steps.some((step) => step.isLongRunning);
}

/** What a task occupies on a worker. */
export function occupiedBy(step: StepDefinition): Resources {
  return step.isFiller ? { ...step.demand, processors: 0 } : step.demand;
}
