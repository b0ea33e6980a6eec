/** Progress of a job, as it is stored. */
import type { CrashCounts } from './crash_evidence';

export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** A recorded start of a task; it counts as occupying its worker until it is known to have ended. */
export interface RunRecord {
  /** Number of the run; higher for each further run of the same task. */
  readonly run: number;
  readonly workerId: string;
  /** Unix time at which the worker's incarnation started, in milliseconds, which identifies the incarnation. */
  readonly workerStartedAtMs: number;
}

export interface TaskProgress {
  readonly isDone: boolean;
  /** Number of failed runs. */
  readonly failures: number;
  /** Number of the latest failed run; the members of a gang fail together and count once. */
  readonly lastFailedRun: number;
  /** Highest run number that was recorded. */
  readonly lastRun: number;
  /** Latest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Recorded runs that have not ended. */
  readonly runs: readonly RunRecord[];
}

export const INITIAL_TASK_PROGRESS: TaskProgress = {
  isDone: false,
  failures: 0,
  lastFailedRun: 0,
  lastRun: 0,
  checkpoint: '',
  runs: [],
};

/** Progress of a task whose step is done. */
export const DONE_TASK_PROGRESS: TaskProgress = { ...INITIAL_TASK_PROGRESS, isDone: true };

export interface JobProgress {
  readonly state: JobState;
  /** Numbers of the first and the last occurrence of each range of done ones, in order. */
  readonly doneOccurrences: readonly (readonly [number, number])[];
  /** Keys (`occurrence.step`) of the done steps of other occurrences. */
  readonly doneSteps: ReadonlySet<string>;
  /** Tasks of other steps that have been started at least once, by task key (`occurrence.step.index`). */
  readonly tasks: ReadonlyMap<string, TaskProgress>;
  /** Crashes of workers under tasks, by task key; under a gang by that of its first member. */
  readonly crashes: ReadonlyMap<string, CrashCounts>;
}

export const INITIAL_JOB_PROGRESS: JobProgress = {
  state: 'queued',
  doneOccurrences: [],
  doneSteps: new Set(),
  tasks: new Map(),
  crashes: new Map(),
};

export function isEnded(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}
