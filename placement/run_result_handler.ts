/** Takes the ends of runs into account: progress, health of workers, run times, and what an end makes pointless. */
import type { Clock } from '../kernel/clock';
import { isEnded } from '../scheduling/job_progress';
import type { RunResult, TaskRun } from '../scheduling/job_record';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { OpenJob } from './job_registry';
import type { PlacementState } from './placement_state';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerHealth } from './worker_health';

/** A run that takes this many times its expected time is logged, so that slow workers can be named. */
const LOGGED_OVERRUN = 2;

export interface RunResultHandlerOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly health: WorkerHealth;
  readonly counters: Counters;
  readonly logger: Logger;
}

export class RunResultHandler {
  constructor(private readonly options: RunResultHandlerOptions) {}

  /** Takes an end that a worker has told; `startedAtMs` is on the steady clock, `null` if the run was never seen. */
  handleResult(end: RunResult, startedAtMs: number | null): void {
    const job = this.options.state.endRun(end);
    if (job === null) return;
    this.logUnusualResult(job, end, startedAtMs);
    if (end.outcome === 'done' || end.outcome === 'failed') {
      this.options.health.recordResult(
        end.workerId,
        end.task.jobId,
        end.outcome === 'failed',
        this.options.clock.monotonicMs(),
      );
    }
    if (end.outcome === 'done' && startedAtMs !== null) {
      const { estimateMs } = job.record.step(end.task.step);
      const tookMs = this.options.clock.monotonicMs() - startedAtMs;
      this.options.state.estimator.observe(job.record.job.queueId, estimateMs, tookMs);
    }
    this.stopObsoleteRuns(job, end);
  }

  /** Logs ends that explain a late job; a line for each task would cost more processor time than placing it. */
  private logUnusualResult({ record }: OpenJob, end: RunResult, startedAtMs: number | null): void {
    const { queueId } = record.job;
    const { estimateMs, isLongRunning } = record.step(end.task.step);
    const tookMs = startedAtMs === null ? null : Math.round(this.options.clock.monotonicMs() - startedAtMs);
    const limitMs = LOGGED_OVERRUN * this.options.state.estimator.expectedMs(queueId, estimateMs);
    const isSlow = !isLongRunning && tookMs !== null && tookMs > limitMs;
    if (!isSlow && (end.outcome === 'done' || end.outcome === 'stopped')) return;
    const { task, run, workerId, outcome } = end;
    this.options.logger.info(LOG_EVENTS.taskEnded, { ...task, run, workerId, kind: outcome, tookMs });
  }

  /** Takes the end of a run of which nothing more will be heard. Returns whether it was a recorded one. */
  handleLostRun(end: RunResult): boolean {
    const job = this.options.state.endRun(end);
    if (job === null) return false;
    this.stopObsoleteRuns(job, end);
    return true;
  }

  /** Stops what an end makes pointless: copies of a done task, the rest of a gang, all of an ended job. */
  private stopObsoleteRuns(job: OpenJob, end: RunResult): void {
    const { record } = job;
    if (isEnded(record.state)) {
      this.logJobEnd(job);
      this.stopRuns(job);
      return;
    }
    const { isGang } = record.step(end.task.step);
    const siblings = record.runsOfStep(end.task.occurrence, end.task.step);
    for (const run of siblings) {
      const isCopy = run.task.index === end.task.index && end.outcome === 'done';
      if (isCopy || (isGang && end.outcome !== 'done')) this.stopRun(run);
    }
  }

  private logJobEnd({ record, acceptedAtMs }: OpenJob): void {
    const { jobId, queueId } = record.job;
    const tookMs = Math.round(this.options.clock.monotonicMs() - acceptedAtMs);
    this.options.counters.increment('placement.job_ended', record.state);
    this.options.logger.info(LOG_EVENTS.jobEnded, { jobId, queueId, state: record.state, tookMs });
  }

  /** Stops everything that runs of a job. */
  stopRuns({ record }: OpenJob): void {
    for (const run of record.runs()) this.stopRun(run);
  }

  private stopRun({ task, run, workerId }: TaskRun): void {
    this.options.fleet.get(workerId)?.stop(task, run);
  }
}
