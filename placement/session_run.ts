/** A run on a worker as its session tracks it. */
import type { TaskId } from '../scheduling/job_definition';
import type { ActiveRun } from '../scheduling/worker_gateway';

/**
 * `inherited`: started by an earlier session, of this leader or another one, and not
 * reported by the worker yet. `unconfirmed`: the start timed out, so its outcome is unknown.
 */
export type RunPhase = 'inherited' | 'starting' | 'unconfirmed' | 'running' | 'stopping';

export interface SessionRun {
  readonly task: TaskId;
  readonly run: number;
  readonly phase: RunPhase;
  /** When the phase began, on the monotonic clock. */
  readonly phaseSinceMs: number;
  /** When its start was sent, or when the session began if an earlier leader had sent it, on the monotonic clock. */
  readonly sentAtMs: number;
  /** When the run was first reported or confirmed as running; `null` before that. */
  readonly startedAtMs: number | null;
  readonly progressPercent: number;
  /** When {@link progressPercent} last increased. */
  readonly progressAtMs: number;
  /** Load that the worker last reported for the run. */
  readonly load: number | null;
  /** Speed that the run was last set to; -1 if the outcome of the last throttle command is unknown. */
  readonly speedPercent: number;
  /** Whether the incarnation has listed the run, so that the run ends with it. */
  readonly isListed: boolean;
  /** Whether the worker has confirmed a stop, after which the run cannot start any more. */
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
    phaseSinceMs: nowMs,
    sentAtMs: nowMs,
    startedAtMs: null,
    progressPercent: 0,
    progressAtMs: nowMs,
    load: null,
    speedPercent: 100,
    isListed: false,
    isStopConfirmed: false,
  };
}

/** Whether it is unknown if the run exists; the worker's next report shows it. */
export function isUnresolved({ phase, isStopConfirmed }: SessionRun): boolean {
  return phase === 'unconfirmed' || phase === 'inherited' || isStopConfirmed;
}

/**
 * A run after its worker has reported it as active. The fields are listed rather than
 * spread, since this is called for each run in each response.
 *
 * @example
 * ```ts
 * withReport(run, { task, run: 1, checkpoint: '', progressPercent: 40, load: null }, nowMs).progressPercent; // 40
 * ```
 */
export function withReport(run: SessionRun, report: ActiveRun, nowMs: number): SessionRun {
  const phase = run.phase === 'stopping' ? 'stopping' : 'running';
  const hasProgressed = run.startedAtMs === null || report.progressPercent > run.progressPercent;
  return {
    task: run.task,
    run: run.run,
    phase,
    phaseSinceMs: run.phase === phase ? run.phaseSinceMs : nowMs,
    sentAtMs: run.sentAtMs,
    startedAtMs: run.startedAtMs ?? nowMs,
    progressPercent: report.progressPercent,
    progressAtMs: hasProgressed ? nowMs : run.progressAtMs,
    load: report.load,
    speedPercent: run.speedPercent,
    isListed: true,
    isStopConfirmed: run.isStopConfirmed,
  };
}
