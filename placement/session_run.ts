/** What a session knows about one run on its worker. */
import type { TaskId } from '../scheduling/job_definition';

/** `inherited`: recorded by an earlier holder and not seen running yet. `unsure`: the start was not answered. */
export type RunPhase = 'inherited' | 'starting' | 'unsure' | 'running' | 'stopping';

/** A run on this worker. */
export interface SessionRun {
  readonly task: TaskId;
  readonly run: number;
  readonly phase: RunPhase;
  /** When the phase began, on the steady clock. */
  readonly sinceMs: number;
  /** When the run was first seen or answered as running; `null` before. */
  readonly startedAtMs: number | null;
  readonly progressPercent: number;
  /** When {@link progressPercent} last grew. */
  readonly progressAtMs: number;
  readonly load: number | null;
  /** Part of its speed that the run has been told to work at. */
  readonly speedPercent: number;
  /** Whether a stop has been answered, after which the run cannot start any more. */
  readonly isStopConfirmed: boolean;
}

export interface StartRequest {
  readonly task: TaskId;
  readonly run: number;
  readonly spec: string;
  readonly checkpoint: string;
  readonly ticket: string | null;
}

export function runKey({ task, run }: { readonly task: TaskId; readonly run: number }): string {
  return `${task.jobId}.${task.occurrence}.${task.step}.${task.index}#${run}`;
}

export function newSessionRun(
  { task, run, phase }: Pick<SessionRun, 'task' | 'run' | 'phase'>,
  nowMs: number,
): SessionRun {
  return {
    task,
    run,
    phase,
    sinceMs: nowMs,
    startedAtMs: null,
    progressPercent: 0,
    progressAtMs: nowMs,
    load: null,
    speedPercent: 100,
    isStopConfirmed: false,
  };
}

/** Whether the next answer shows if the run exists. */
export function isUnresolved({ phase, isStopConfirmed: isStopAnswered }: SessionRun): boolean {
  return phase === 'unsure' || phase === 'inherited' || isStopAnswered;
}
