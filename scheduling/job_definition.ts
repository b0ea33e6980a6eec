/** Jobs as callers define them: steps that consist of tasks, with the requirements of each step. */
import type { Resources } from '../model/resources';
import type { QueueRule } from './fleet_rules';

/** A step: tasks of one kind that may run at the same time. */
export interface StepDefinition {
  readonly taskCount: number;
  /** Resources that one task requests. */
  readonly demand: Resources;
  /** The caller's rough estimate of one task's run time, in milliseconds. */
  readonly estimateMs: number;
  /** Indexes of earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Whether the tasks write checkpoints from time to time. */
  readonly savesProgress: boolean;
  /** Whether the tasks form a gang: they make progress only while all of them run, and they end together. */
  readonly isGang: boolean;
  /** Whether the tasks take longer when they run on more than one rack. */
  readonly isRackSensitive: boolean;
  /** Label that the worker must have; `null` for any worker. */
  readonly requiredLabel: string | null;
  /** Rack on which the step's data is stored; `null` if it does not matter. */
  readonly dataRack: string | null;
  /** Maximum number of tasks of one occurrence of the step on one worker; `null` means no limit. */
  readonly maxPerWorker: number | null;
  /** Whether several runs of one task may exist at once; the first one that is done completes the task. */
  readonly isSpeculative: boolean;
  /** Whether the tasks run until the job is cancelled; they are started again whatever their outcome. */
  readonly isLongRunning: boolean;
  /** Image that the tasks run; tasks with the same image behave alike. */
  readonly image: string;
  /**
   * Target for the tail latency of the requests that the tasks serve, in milliseconds;
   * `null` if they serve none.
   */
  readonly targetMs: number | null;
  /**
   * Whether the tasks use only processor time that other tasks leave unused; their
   * processors do not count against the capacity of the worker.
   */
  readonly isFiller: boolean;
  /**
   * Maximum number of tasks that may be unavailable at once while the scheduler moves
   * some of them; `null` means no limit.
   */
  readonly maxUnavailable: number | null;
}

/** Repeats the steps on a schedule; each repetition is an occurrence. */
export interface RepeatRule {
  readonly count: number;
  /** Unix time of the first occurrence, in milliseconds. */
  readonly firstMs: number;
  readonly intervalMs: number;
}

export interface JobDefinition {
  /** Passed to the workers unchanged. */
  readonly spec: string;
  readonly steps: readonly StepDefinition[];
  /** `null` for a job that runs once and immediately. */
  readonly repeat: RepeatRule | null;
}

/** An accepted job. */
export interface AcceptedJob {
  readonly jobId: string;
  readonly queueId: string;
  /** `null` for a job that was submitted without an API key. */
  readonly teamId: string | null;
  /**
   * Unix time at which the job was accepted, in milliseconds. It is read from the
   * accepting machine's wall clock, which may be wrong.
   */
  readonly acceptedAtMs: number;
  /**
   * The rule of the queue when the job was accepted, which still says where it may run after
   * the operator has removed the queue; absent from jobs that earlier versions stored.
   */
  readonly acceptedUnder?: QueueRule | undefined;
  readonly definition: JobDefinition;
}

/** One task of a job. */
export interface TaskId {
  readonly jobId: string;
  /** Occurrence of a repeated job, from 0; 0 for other jobs. */
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

/** Whether the job runs until it is cancelled. */
export function isLongRunning(definition: JobDefinition): boolean {
  return definition.steps.some((step) => step.isLongRunning);
}

/** Resources that a task of the step occupies on a worker. */
export function occupiedBy(step: StepDefinition): Resources {
  return step.isFiller ? { ...step.demand, processors: 0 } : step.demand;
}
