/**
 * Applies the results of runs to job progress, worker health and run time estimates,
 * and stops runs that became obsolete.
 */
import type { Clock } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import { isEnded } from '../scheduling/job_progress';
import { queueOf } from '../scheduling/job_queue';
import type { RunResult } from '../scheduling/job_record';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { OpenJob } from './job_registry';
import type { LoadReport } from './load_report';
import type { ObsoleteRuns } from './obsolete_runs';
import type { PlacementState } from './placement_state';
import { targetMs } from './plan_request';
import type { WorkerHealth } from './worker_health';

/** A run that takes this many times its expected time is logged, so that slow workers can be identified. */
const LOGGED_OVERRUN = 2;

export interface RunResultHandlerOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
  readonly obsoleteRuns: ObsoleteRuns;
  readonly health: WorkerHealth;
  readonly loadReport: LoadReport;
  readonly rules: () => FleetRules | null;
  readonly counters: Counters;
  readonly logger: Logger;
}

export class RunResultHandler {
  constructor(private readonly options: RunResultHandlerOptions) {}

  /**
   * Handles a result that a worker has reported; `startedAtMs` is on the monotonic
   * clock, `null` if the run was never observed.
   */
  handleResult(result: RunResult, startedAtMs: number | null): void {
    const job = this.options.state.endRun(result);
    if (job === null) return;
    this.options.loadReport.recordRunEnd();
    this.logUnusualResult(job, result, startedAtMs);
    if (result.outcome === 'done' || result.outcome === 'failed') {
      this.options.health.recordResult(
        result.workerId,
        result.task.jobId,
        result.outcome === 'failed',
        this.options.clock.monotonicMs(),
      );
    }
    if (result.outcome === 'done' && startedAtMs !== null) {
      const { estimateMs } = job.record.step(result.task.step);
      const tookMs = this.options.clock.monotonicMs() - startedAtMs;
      this.options.state.estimator.observe(job.record.job.queueId, estimateMs, tookMs);
    }
    this.stopObsoleteRuns(job, result);
  }

  /**
   * Logs only results that explain a late job; a line for each task would cost more
   * processor time than placing it.
   */
  private logUnusualResult({ record }: OpenJob, result: RunResult, startedAtMs: number | null): void {
    const { queueId } = record.job;
    const { estimateMs, isLongRunning } = record.step(result.task.step);
    const tookMs = startedAtMs === null ? null : Math.round(this.options.clock.monotonicMs() - startedAtMs);
    const limitMs = LOGGED_OVERRUN * this.options.state.estimator.expectedMs(queueId, estimateMs);
    const isSlow = !isLongRunning && tookMs !== null && tookMs > limitMs;
    if (!isSlow && (result.outcome === 'done' || result.outcome === 'stopped')) return;
    const { task, run, workerId, outcome: kind } = result;
    this.options.logger.info(LOG_EVENTS.taskEnded, { ...task, run, workerId, kind, tookMs });
  }

  /** Handles a run whose outcome will never be known. Returns whether the run was recorded. */
  handleLostRun(result: RunResult): boolean {
    const job = this.options.state.endRun(result);
    if (job === null) return false;
    this.stopObsoleteRuns(job, result);
    return true;
  }

  /** Stops runs that became obsolete: other runs of a done task, the rest of a gang, all runs of an ended job. */
  private stopObsoleteRuns(job: OpenJob, result: RunResult): void {
    const { record } = job;
    if (isEnded(record.state)) {
      this.logJobEnd(job);
      this.stopRuns(job);
      return;
    }
    const { task, outcome } = result;
    if (outcome === 'done')
      this.options.obsoleteRuns.add(record.task(task).runs.map((run) => ({ ...run, task })));
    else if (record.step(task.step).isGang)
      this.options.obsoleteRuns.add(record.runsOfStep(task.occurrence, task.step));
  }

  private logJobEnd({ record, acceptedAtMs }: OpenJob): void {
    const { clock, counters, loadReport, logger, rules, state } = this.options;
    const { jobId, queueId, definition } = record.job;
    const tookMs = Math.round(clock.monotonicMs() - acceptedAtMs);
    counters.increment('placement.job_ended', record.state);
    logger.info(LOG_EVENTS.jobEnded, { jobId, queueId, state: record.state, tookMs });
    const queue = queueOf(rules(), record.job);
    if (queue === undefined || definition.repeat !== null || record.state !== 'completed') return;
    loadReport.recordJobEnd(queueId, tookMs <= targetMs(definition, queue, state.estimator));
  }

  /** Stops all runs of a job. */
  stopRuns({ record }: OpenJob): void {
    this.options.obsoleteRuns.add(record.runs());
  }
}
