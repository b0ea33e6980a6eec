/** A job with its progress, as the placement leader changes it. */
import {
  isGivenUp,
  isSuspect,
  NO_CRASHES,
  withCrash,
  type CrashCounts,
  type Suspicion,
} from './crash_evidence';
import {
  isLongRunning,
  occurrenceCount,
  taskKey,
  type AcceptedJob,
  type StepDefinition,
  type TaskId,
} from './job_definition';
import {
  isEnded,
  INITIAL_JOB_PROGRESS,
  INITIAL_TASK_PROGRESS,
  type JobProgress,
  type JobState,
  type RunRecord,
  type TaskProgress,
} from './job_progress';
import type { RunOutcome } from './worker_gateway';

/** A step of one occurrence that may run now, with the indexes of the tasks that wait for a worker. */
export interface ReadyStep {
  readonly occurrence: number;
  readonly step: number;
  readonly definition: StepDefinition;
  readonly waiting: readonly number[];
}

/** A recorded run with the task that it belongs to. */
export interface TaskRun extends RunRecord {
  readonly task: TaskId;
}

/** Result of a run. `lost`: the run no longer exists, and its outcome is unknown. */
export interface RunResult {
  readonly task: TaskId;
  readonly run: number;
  readonly workerId: string;
  readonly outcome: RunOutcome | 'lost';
  readonly checkpoint: string;
}

export interface JobRecordOptions {
  readonly job: AcceptedJob;
  readonly progress?: JobProgress;
  /**
   * Number of failed runs of one task after which the job has failed; the operator may
   * change it while the job runs.
   */
  readonly maxAttempts: () => number;
}

/**
 * Tracks the tasks of a job and decides its state. It does no input or output;
 * the owner stores {@link JobRecord.progress} after a change.
 *
 * @example
 * ```ts
 * const record = new JobRecord({ job, maxAttempts: () => 2 });
 * const [step] = record.readySteps(nowMs);
 * ```
 */
export class JobRecord {
  readonly job: AcceptedJob;
  private readonly maxAttempts: () => number;
  private readonly tasks: Map<string, TaskProgress>;
  private readonly crashes: Map<string, CrashCounts>;
  /** Number of done tasks, by `occurrence.step`. */
  private readonly doneCounts = new Map<string, number>();
  /** Workers on which a task has failed, so that its next run is placed on another worker. */
  private readonly failedWorkersByTask = new Map<string, readonly string[]>();
  private currentState: JobState;
  private activeRunCount = 0;
  private firstUnfinishedOccurrence = 0;
  private cachedReadySteps: readonly ReadyStep[] | null = null;

  constructor({ job, progress = INITIAL_JOB_PROGRESS, maxAttempts }: JobRecordOptions) {
    this.job = job;
    this.maxAttempts = maxAttempts;
    this.tasks = new Map(progress.tasks);
    this.crashes = new Map(progress.crashes);
    this.currentState = progress.state;
    for (const [key, task] of this.tasks) {
      this.activeRunCount += task.runs.length;
      if (task.isDone) this.incrementDone(key);
    }
  }

  get state(): JobState {
    return this.currentState;
  }

  get progress(): JobProgress {
    // An ended job needs its tasks only while it still has runs.
    const needsTasks = !isEnded(this.currentState) || this.activeRunCount > 0;
    const state = this.currentState;
    return needsTasks
      ? { state, tasks: this.tasks, crashes: this.crashes }
      : { ...INITIAL_JOB_PROGRESS, state };
  }

  /** Whether the job has ended and has no runs left. */
  isSettled(): boolean {
    return isEnded(this.currentState) && this.activeRunCount === 0;
  }

  hasRuns(): boolean {
    return this.activeRunCount > 0;
  }

  step(number: number): StepDefinition {
    const step = this.job.definition.steps[number];
    if (step === undefined) throw new RangeError(`Job ${this.job.jobId} has no step ${number}.`);
    return step;
  }

  task(id: Omit<TaskId, 'jobId'>): TaskProgress {
    return this.tasks.get(taskKey(id)) ?? INITIAL_TASK_PROGRESS;
  }

  failedWorkers(id: Omit<TaskId, 'jobId'>): readonly string[] {
    return this.failedWorkersByTask.get(taskKey(id)) ?? [];
  }

  /** All recorded runs that have not ended. */
  runs(): readonly TaskRun[] {
    if (this.activeRunCount === 0) return [];
    return [...this.tasks].flatMap(([key, task]) =>
      task.runs.map((run) => ({ ...run, task: { jobId: this.job.jobId, ...parseKey(key) } })),
    );
  }

  /** Recorded runs of one step of one occurrence that have not ended. */
  runsOfStep(occurrence: number, step: number): readonly TaskRun[] {
    const { taskCount } = this.step(step);
    const found: TaskRun[] = [];
    for (let index = 0; index < taskCount; index += 1) {
      const task = { jobId: this.job.jobId, occurrence, step, index };
      for (const run of this.task(task).runs) found.push({ ...run, task });
    }
    return found;
  }

  /** Steps that may run now and have waiting tasks; `nowMs` is Unix time. */
  readySteps(nowMs: number): readonly ReadyStep[] {
    if (isEnded(this.currentState)) return [];
    if (this.job.definition.repeat !== null) return this.findReady(nowMs);
    // Cached because every planning pass reads the result, which changes only when a task changes.
    this.cachedReadySteps ??= this.findReady(nowMs);
    return this.cachedReadySteps;
  }

  private findReady(nowMs: number): readonly ReadyStep[] {
    const ready: ReadyStep[] = [];
    const last = occurrenceCount(this.job.definition) - 1;
    for (let occurrence = this.firstUnfinishedOccurrence; occurrence <= last; occurrence += 1) {
      if (this.dueAtMs(occurrence) > nowMs) break;
      this.collectReady(occurrence, ready);
    }
    return ready;
  }

  /** Unix time at which an occurrence is due, in milliseconds; 0 for jobs that are not repeated. */
  dueAtMs(occurrence: number): number {
    const { repeat } = this.job.definition;
    return repeat === null ? 0 : repeat.firstMs + occurrence * repeat.intervalMs;
  }

  /** Unix time at which the next occurrence becomes due, in milliseconds; `null` if none is left. */
  nextDueAtMs(nowMs: number): number | null {
    if (this.job.definition.repeat === null || isEnded(this.currentState)) return null;
    for (let occurrence = 0; occurrence < occurrenceCount(this.job.definition); occurrence += 1) {
      const dueAtMs = this.dueAtMs(occurrence);
      if (dueAtMs > nowMs) return dueAtMs;
    }
    return null;
  }

  /** The number for the next run of the tasks; the members of a gang share it. */
  nextRun(tasks: readonly Omit<TaskId, 'jobId'>[]): number {
    return 1 + Math.max(...tasks.map((task) => this.task(task).lastRun));
  }

  /** Records a run whose start is about to be sent. */
  addRun(id: Omit<TaskId, 'jobId'>, run: RunRecord): void {
    this.cachedReadySteps = null;
    const task = this.task(id);
    this.tasks.set(taskKey(id), {
      ...task,
      lastRun: Math.max(task.lastRun, run.run),
      runs: [...task.runs, run],
    });
    this.activeRunCount += 1;
    if (this.currentState === 'queued') this.currentState = 'running';
  }

  /** Applies the result of a run. Returns whether the run was recorded. */
  endRun(result: RunResult): boolean {
    const task = this.task(result.task);
    const runs = task.runs.filter(({ run, workerId }) => run !== result.run || workerId !== result.workerId);
    if (runs.length === task.runs.length) return false;
    this.activeRunCount -= 1;
    this.cachedReadySteps = null;
    this.tasks.set(taskKey(result.task), { ...task, runs });
    if (result.checkpoint !== '') this.saveCheckpoint(result.task, result.checkpoint);
    // A task that ends by itself does not crash its workers.
    if (result.outcome === 'done' || result.outcome === 'failed')
      this.crashes.delete(this.crashKey(result.task));
    if (result.outcome === 'done') this.markDone(result.task);
    if (result.outcome === 'failed') this.recordFailure(result);
    this.completeIfDone();
    return true;
  }

  /** Saves a checkpoint that a run has reported. */
  saveCheckpoint(id: Omit<TaskId, 'jobId'>, checkpoint: string): void {
    const owner = this.checkpointOwner(id);
    this.tasks.set(taskKey(owner), { ...this.task(owner), checkpoint });
  }

  /** Checkpoint from which a task resumes; the members of a gang share it. */
  checkpointOf(id: Omit<TaskId, 'jobId'>): string {
    return this.task(this.checkpointOwner(id)).checkpoint;
  }

  /** Identifies what is suspected together when a worker crashes: a task, or a whole gang. */
  crashUnit(id: Omit<TaskId, 'jobId'>): string {
    return `${this.job.jobId}.${this.crashKey(id)}`;
  }

  /** Whether workers have crashed under a task of the job. */
  hasCrashes(): boolean {
    return this.crashes.size > 0;
  }

  /** Whether a task, or its gang, is suspected of crashing its workers. */
  isSuspect(id: Omit<TaskId, 'jobId'>): boolean {
    return isSuspect(this.crashesOf(id));
  }

  /** Crashes of workers under a task, or its gang. */
  crashesOf(id: Omit<TaskId, 'jobId'>): CrashCounts {
    return this.crashes.size === 0 ? NO_CRASHES : (this.crashes.get(this.crashKey(id)) ?? NO_CRASHES);
  }

  /**
   * Counts a crash of a worker against a task, or its gang; `isConfirmed` says whether the
   * worker had confirmed the start. Returns whether the job has failed for it.
   */
  recordCrash(id: Omit<TaskId, 'jobId'>, suspicion: Suspicion, isConfirmed: boolean): boolean {
    const counts = withCrash(this.crashesOf(id), suspicion, isConfirmed);
    if (suspicion === 'cleared') this.crashes.delete(this.crashKey(id));
    else this.crashes.set(this.crashKey(id), counts);
    if (isEnded(this.currentState) || !isGivenUp(counts, suspicion, this.step(id.step).isLongRunning))
      return false;
    this.currentState = 'failed';
    return true;
  }

  /** Cancels the job. Returns whether this changed its state. */
  cancel(): boolean {
    if (isEnded(this.currentState)) return false;
    this.currentState = 'cancelled';
    return true;
  }

  isStepDone(occurrence: number, step: number): boolean {
    return (this.doneCounts.get(`${occurrence}.${step}`) ?? 0) >= this.step(step).taskCount;
  }

  private crashKey(id: Omit<TaskId, 'jobId'>): string {
    return taskKey(this.step(id.step).isGang ? { ...id, index: 0 } : id);
  }

  private checkpointOwner(id: Omit<TaskId, 'jobId'>): Omit<TaskId, 'jobId'> {
    return this.step(id.step).isGang ? { ...id, index: 0 } : id;
  }

  private collectReady(occurrence: number, ready: ReadyStep[]): void {
    const { steps } = this.job.definition;
    const unfinished = steps.flatMap((definition, step) =>
      this.isStepDone(occurrence, step) ? [] : [{ definition, step }],
    );
    if (unfinished.length === 0 && occurrence === this.firstUnfinishedOccurrence)
      this.firstUnfinishedOccurrence += 1;
    for (const { definition, step } of unfinished) {
      if (!definition.after.every((earlier) => this.isStepDone(occurrence, earlier))) continue;
      const waiting = this.waitingTasks(occurrence, step, definition);
      if (waiting.length > 0) ready.push({ occurrence, step, definition, waiting });
    }
  }

  private waitingTasks(occurrence: number, step: number, definition: StepDefinition): readonly number[] {
    const waiting: number[] = [];
    for (let index = 0; index < definition.taskCount; index += 1) {
      const task = this.task({ occurrence, step, index });
      if (!task.isDone && task.runs.length === 0) waiting.push(index);
    }
    // A gang starts again only after all of its members have ended.
    return definition.isGang && waiting.length < definition.taskCount ? [] : waiting;
  }

  private markDone(id: TaskId): void {
    const { isGang, taskCount, isLongRunning: isLongRunningStep } = this.step(id.step);
    if (isLongRunningStep) return;
    // One member with the outcome `done` completes the whole gang.
    const indices = isGang ? Array.from({ length: taskCount }, (_, index) => index) : [id.index];
    for (const index of indices) {
      const key = taskKey({ ...id, index });
      const task = this.tasks.get(key) ?? INITIAL_TASK_PROGRESS;
      if (task.isDone) continue;
      this.tasks.set(key, { ...task, isDone: true, checkpoint: '' });
      this.incrementDone(key);
    }
  }

  private incrementDone(key: string): void {
    const { occurrence, step } = parseKey(key);
    const name = `${occurrence}.${step}`;
    this.doneCounts.set(name, (this.doneCounts.get(name) ?? 0) + 1);
  }

  private recordFailure({ task: id, run, workerId }: RunResult): void {
    const step = this.step(id.step);
    const key = taskKey(id);
    this.failedWorkersByTask.set(key, [...(this.failedWorkersByTask.get(key) ?? []), workerId]);
    if (step.isLongRunning) return;
    const owner = this.checkpointOwner(id);
    const task = this.task(owner);
    if (task.isDone || (step.isGang && task.lastFailedRun >= run)) return;
    const failures = task.failures + 1;
    this.tasks.set(taskKey(owner), { ...task, failures, lastFailedRun: run });
    if (failures >= this.maxAttempts() && !isEnded(this.currentState)) this.currentState = 'failed';
  }

  private completeIfDone(): void {
    if (isEnded(this.currentState) || isLongRunning(this.job.definition)) return;
    const last = occurrenceCount(this.job.definition) - 1;
    const isDone = (occurrence: number): boolean =>
      this.job.definition.steps.every((_, step) => this.isStepDone(occurrence, step));
    for (let occurrence = last; occurrence >= 0; occurrence -= 1) if (!isDone(occurrence)) return;
    this.currentState = 'completed';
  }
}

function parseKey(key: string): Omit<TaskId, 'jobId'> {
  const [occurrence = 0, step = 0, index = 0] = key.split('.').map(Number);
  return { occurrence, step, index };
}
