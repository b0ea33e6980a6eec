/** How far a job has come, as the store keeps it. */

export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** A start that has been recorded; it occupies its worker until its end is known. */
export interface RunRecord {
  readonly run: number;
  readonly workerId: string;
  /** Incarnation of the worker, by its start in Unix milliseconds. */
  readonly workerStartedAtMs: number;
}

export interface TaskProgress {
  readonly isDone: boolean;
  /** Runs that ended as failed. */
  readonly failures: number;
  /** Latest run that ended as failed; members of a gang fail together and count once. */
  readonly lastFailedRun: number;
  /** Highest run that was recorded. */
  readonly lastRun: number;
  /** Saved progress; empty if there is none. */
  readonly checkpoint: string;
  readonly runs: readonly RunRecord[];
}

export const NEW_TASK: TaskProgress = {
  isDone: false,
  failures: 0,
  lastFailedRun: 0,
  lastRun: 0,
  checkpoint: '',
  runs: [],
};

export interface JobProgress {
  readonly state: JobState;
  /** Tasks that have ever been started, by `occurrence.step.index`. */
  readonly tasks: ReadonlyMap<string, TaskProgress>;
}

export const NEW_JOB: JobProgress = { state: 'queued', tasks: new Map() };

export function isEnded(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}
