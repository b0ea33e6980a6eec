/** State that the components of the placement leader share. */
import type { Clock } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import { queueOf } from '../scheduling/job_queue';
import type { JobRecord, RunResult, TaskRun } from '../scheduling/job_record';
import { encodeProgress, progressAddress } from '../scheduling/job_rows';
import { isEnded } from '../scheduling/job_progress';
import type { Counters } from '../telemetry/counters';
import { JobRegistry, type OpenJob } from './job_registry';
import { Occupancy } from './occupancy';
import type { FencedWriter } from './fenced_writer';
import { RunTimeEstimator } from './run_time_estimator';
import { runKey } from './session_run';

export interface PlacementStateOptions {
  readonly clock: Clock;
  readonly writer: FencedWriter;
  readonly counters: Counters;
  readonly rules: () => FleetRules | null;
}

/** A recorded run with the job that it belongs to. */
export interface RecordedRun extends TaskRun {
  readonly record: JobRecord;
  /** Key of the run in the session with its worker. */
  readonly key: string;
}

/**
 * Changes jobs and keeps everything that is derived from them consistent: the
 * occupied resources, the runs by worker, and the rows to store.
 */
export class PlacementState {
  readonly jobs: JobRegistry;
  readonly occupancy = new Occupancy();
  readonly estimator = new RunTimeEstimator();
  private readonly runsByWorker = new Map<string, Map<string, RecordedRun>>();
  /** Number of runs of long-running tasks, by worker. */
  private readonly longRunningCounts = new Map<string, number>();
  /** Number of runs of fillers, by worker. */
  private readonly fillerCounts = new Map<string, number>();
  /** Runs of tasks that are suspected of crashing their workers, by run key. */
  private readonly runsOfSuspects = new Map<string, RecordedRun>();

  constructor(private readonly options: PlacementStateOptions) {
    const { clock, rules } = options;
    this.jobs = new JobRegistry({ clock, rules });
  }

  /** Adds the runs that are recorded in a job's progress. */
  addInheritedRuns(job: OpenJob): void {
    for (const run of job.record.runs()) this.updateOccupancy(job.record, run, 1);
  }

  /** Records a run; it is stored with the next commit. */
  addRun(record: JobRecord, run: TaskRun): void {
    record.addRun(run.task, {
      run: run.run,
      workerId: run.workerId,
      workerStartedAtMs: run.workerStartedAtMs,
    });
    this.updateOccupancy(record, run, 1);
    this.stageProgress(record);
  }

  /** Records the result of a run. Returns the job, or `null` if the run was not recorded. */
  endRun(result: RunResult): OpenJob | null {
    const job = this.jobs.get(result.task.jobId);
    if (job?.record.endRun(result) !== true) return null;
    this.updateOccupancy(job.record, { ...result, workerStartedAtMs: 0 }, -1);
    this.options.counters.increment('placement.run_ended', result.outcome);
    this.stageProgress(job.record);
    return job;
  }

  cancel(jobId: string): OpenJob | null {
    const job = this.jobs.get(jobId);
    if (job?.record.cancel() !== true) return null;
    this.stageProgress(job.record);
    return job;
  }

  /** Ends a job whose progress cannot be stored as failed. Returns the job if this changed its state. */
  failUnstorable(jobId: string): OpenJob | null {
    const job = this.jobs.get(jobId);
    if (job?.record.failUnstorable() !== true) return null;
    this.stageProgress(job.record);
    return job;
  }

  /**
   * Stages a job's progress for the next commit, and closes the job once it has ended
   * and none of its runs is left.
   */
  stageProgress(record: JobRecord): void {
    const { jobId } = record.job;
    this.options.writer.stageDeferred({
      ...progressAddress(jobId),
      encode: () => encodeProgress(record.progress),
    });
    if (!record.isSettled()) return;
    this.jobs.close(jobId);
    this.options.writer.afterCommit(() => {
      this.jobs.allowRowRemoval(jobId);
    });
  }

  /** Workers for which at least one run is recorded. */
  workerIdsWithRuns(): Iterable<string> {
    return this.runsByWorker.keys();
  }

  runsOn(workerId: string): readonly RecordedRun[] {
    return [...(this.runsByWorker.get(workerId)?.values() ?? [])];
  }

  /** Whether a run is recorded on its worker. */
  hasRun(run: TaskRun): boolean {
    return this.runsByWorker.get(run.workerId)?.has(runKey(run)) === true;
  }

  /** Runs of tasks that were suspected of crashing their workers when they started. */
  suspectRuns(): Iterable<RecordedRun> {
    return this.runsOfSuspects.values();
  }

  /** The pool in which the tasks of a job run; `undefined` if it is not open or {@link queueOf} finds none. */
  poolOf(jobId: string): string | undefined {
    const job = this.jobs.get(jobId)?.record.job;
    return job === undefined ? undefined : queueOf(this.options.rules(), job)?.poolId;
  }

  /** Number of long-running tasks among the runs on a worker. */
  longRunningCountOn(workerId: string): number {
    return this.longRunningCounts.get(workerId) ?? 0;
  }

  /** Number of fillers among the runs on a worker. */
  fillerCountOn(workerId: string): number {
    return this.fillerCounts.get(workerId) ?? 0;
  }

  runCountOn(workerId: string): number {
    return this.runsByWorker.get(workerId)?.size ?? 0;
  }

  /**
   * Whether a run's start should still be sent: its job has not ended, its task is not
   * done, and the run is recorded.
   */
  shouldStart(record: JobRecord, run: TaskRun): boolean {
    if (isEnded(record.state)) return false;
    const task = record.task(run.task);
    return !task.isDone && task.runs.some(({ run: number }) => number === run.run);
  }

  private updateOccupancy(record: JobRecord, run: TaskRun, sign: 1 | -1): void {
    const occupying = {
      jobId: record.job.jobId,
      workerId: run.workerId,
      teamId: record.job.teamId,
      step: record.step(run.task.step),
    };
    const runs = this.runsByWorker.get(run.workerId) ?? new Map<string, RecordedRun>();
    this.runsByWorker.set(run.workerId, runs);
    const key = runKey(run);
    if (occupying.step.isLongRunning)
      this.longRunningCounts.set(run.workerId, this.longRunningCountOn(run.workerId) + sign);
    if (occupying.step.isFiller) this.fillerCounts.set(run.workerId, this.fillerCountOn(run.workerId) + sign);
    if (sign === 1) {
      const recorded = { ...run, record, key };
      this.occupancy.add(occupying);
      runs.set(key, recorded);
      if (record.isSuspect(run.task)) this.runsOfSuspects.set(key, recorded);
    } else {
      this.occupancy.remove(occupying);
      runs.delete(key);
      if (runs.size === 0) this.runsByWorker.delete(run.workerId);
      this.runsOfSuspects.delete(key);
    }
  }
}
