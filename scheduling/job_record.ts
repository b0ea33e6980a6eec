/** A job with its progress, as the placement leader changes it. */
import {
  isGivenUp,
  isSuspect,
  NO_CRASHES,
  withCrash,
  type CrashCounts,
  type TaskCrash,
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
  DONE_TASK_PROGRESS,
  isEnded,
  INITIAL_JOB_PROGRESS,
  INITIAL_TASK_PROGRESS,
  type JobProgress,
  type JobState,
  type RunRecord,
  type TaskProgress,
} from './job_progress';
import { DoneWork } from './done_work';
import {
  crashBytes,
  MAX_DONE_TASKS_BYTES,
  MAX_OPEN_BYTES,
  MAX_PROGRESS_BYTES,
  MAX_STEP_BYTES,
  NEW_TASK_BYTES,
  stepBytes,
  taskBytes,
} from './progress_size';
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
  /** Done tasks of steps that are not done, or of which runs are left, by `occurrence.step`. */
  private readonly doneCounts = new Map<string, number>();
  private readonly done: DoneWork;
  /** Size of the entries of tasks, in bytes. */
  private openBytes = 0;
  /** Workers on which a task has failed, so that its next run is placed on another worker. */
  private readonly failedWorkersByTask = new Map<string, readonly string[]>();
  private currentState: JobState;
  private cancelRequested: boolean;
  private activeRunCount = 0;
  private cachedReadySteps: readonly ReadyStep[] | null = null;

  constructor({ job, progress = INITIAL_JOB_PROGRESS, maxAttempts }: JobRecordOptions) {
    this.job = job;
    this.maxAttempts = maxAttempts;
    this.tasks = new Map(progress.tasks);
    this.crashes = new Map(progress.crashes);
    this.currentState = progress.state;
    this.cancelRequested = progress.state === 'cancelled';
    this.done = new DoneWork(job.definition, progress);
    for (const [key, task] of this.tasks) {
      this.activeRunCount += task.runs.length;
      this.openBytes += taskBytes(task);
      if (task.isDone) this.incrementDone(key);
    }
    // Earlier versions have stored the tasks of done steps.
    for (const key of [...this.doneCounts.keys()]) {
      const { occurrence, step } = parseKey(key);
      this.settleStep(occurrence, step);
    }
  }

  get state(): JobState {
    return this.currentState;
  }

  get progress(): JobProgress {
    const state = this.currentState;
    if (!isEnded(state)) return { state, tasks: this.tasks, crashes: this.crashes, ...this.done.progress };
    // Of an ended job only the runs matter that have to be stopped.
    const tasks = new Map([...this.tasks].filter(([, { runs }]) => runs.length > 0));
    return { ...INITIAL_JOB_PROGRESS, state, tasks };
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
    const known = this.tasks.get(taskKey(id));
    if (known !== undefined) return known;
    return this.done.hasStep(id.occurrence, id.step) ? DONE_TASK_PROGRESS : INITIAL_TASK_PROGRESS;
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

  /** Recorded runs of an ended job, of tasks that are done, and of gangs of which a member has ended. */
  obsoleteRuns(): readonly TaskRun[] {
    if (isEnded(this.currentState)) return this.runs();
    return this.runs().filter(({ task }) => this.task(task).isDone || this.isOfBrokenGang(task));
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
    const first = this.done.firstOpenOccurrence;
    for (let occurrence = first; occurrence <= last; occurrence += 1) {
      if (this.dueAtMs(occurrence) > nowMs) break;
      if (occurrence > first && this.keptStepBytes() >= MAX_STEP_BYTES && !this.hasBegun(occurrence))
        continue;
      this.collectReady(occurrence, ready);
    }
    return this.withinRow(ready);
  }

  /** Size of what is kept for done steps and for the done tasks of others, in bytes. */
  private keptStepBytes(): number {
    let bytes = this.done.bytes;
    for (const key of this.doneCounts.keys()) bytes += stepBytes(this.step(parseKey(key).step));
    return bytes;
  }

  private hasBegun(occurrence: number): boolean {
    return this.job.definition.steps.some(
      (_, step) =>
        this.done.hasStep(occurrence, step) ||
        this.doneCounts.has(`${occurrence}.${step}`) ||
        this.tasks.has(taskKey({ occurrence, step, index: 0 })),
    );
  }

  /**
   * Leaves out tasks that have not been started before and for which the row has no room
   * now. Some may always start while no other task is open, so that the job goes on.
   */
  private withinRow(ready: readonly ReadyStep[]): readonly ReadyStep[] {
    if (this.certainlyFits(ready)) return ready;
    let freeBytes = MAX_OPEN_BYTES - this.openBytes - this.keptStepBytes() - crashBytes(this.crashes.size);
    if (this.openBytes === 0) freeBytes = Math.max(freeBytes, NEW_TASK_BYTES);
    return ready.flatMap((readyStep) => {
      const { occurrence, step, definition, waiting } = readyStep;
      const isNew = (index: number): boolean => !this.tasks.has(taskKey({ occurrence, step, index }));
      const newCount = waiting.filter(isNew).length;
      const isOnlyOne = this.openBytes === 0 && readyStep === ready[0];
      if (newCount * NEW_TASK_BYTES <= freeBytes || (definition.isGang && isOnlyOne)) {
        freeBytes -= newCount * NEW_TASK_BYTES;
        return [readyStep];
      }
      if (definition.isGang) return [];
      const admitted = waiting.filter((index) => {
        if (!isNew(index)) return true;
        freeBytes -= NEW_TASK_BYTES;
        return freeBytes >= 0;
      });
      return admitted.length === 0 ? [] : [{ ...readyStep, waiting: admitted }];
    });
  }

  /** A quick upper bound, which all but large jobs are within. */
  private certainlyFits(ready: readonly ReadyStep[]): boolean {
    let bytes = this.openBytes + this.done.bytes + this.doneCounts.size * MAX_DONE_TASKS_BYTES;
    for (const { waiting } of ready) bytes += waiting.length * NEW_TASK_BYTES;
    return bytes + crashBytes(this.crashes.size) <= MAX_OPEN_BYTES;
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
    this.setTask(taskKey(id), {
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
    this.setTask(taskKey(result.task), { ...task, runs });
    if (result.checkpoint !== '') this.saveCheckpoint(result.task, result.checkpoint);
    // A task that ends by itself does not crash its workers.
    if (result.outcome === 'done' || result.outcome === 'failed')
      this.crashes.delete(this.crashKey(result.task));
    if (result.outcome === 'done') this.markDone(result.task);
    if (result.outcome === 'failed') this.recordFailure(result);
    this.settleStep(result.task.occurrence, result.task.step);
    this.completeIfDone();
    return true;
  }

  /** Saves a checkpoint that a run has reported. */
  saveCheckpoint(id: Omit<TaskId, 'jobId'>, checkpoint: string): void {
    const owner = this.checkpointOwner(id);
    const task = this.task(owner);
    const saved = { ...task, checkpoint };
    // Without room the task resumes from an earlier checkpoint.
    const bytes = this.openBytes + this.keptStepBytes() + taskBytes(saved) - taskBytes(task);
    if (task.isDone || bytes > MAX_PROGRESS_BYTES) return;
    this.setTask(taskKey(owner), saved);
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
   * Counts a crash of a worker against a task, or its gang. Returns whether the job has
   * failed for it; one that runs until it is cancelled never does.
   */
  recordCrash(id: Omit<TaskId, 'jobId'>, crash: TaskCrash): boolean {
    const counts = withCrash(this.crashesOf(id), crash);
    if (crash.suspicion === 'cleared') this.crashes.delete(this.crashKey(id));
    else this.crashes.set(this.crashKey(id), counts);
    const attempts = {
      failures: this.task(this.checkpointOwner(id)).failures,
      maxAttempts: this.maxAttempts(),
    };
    if (isEnded(this.currentState) || isLongRunning(this.job.definition)) return false;
    if (!isGivenUp(counts, crash.suspicion, attempts)) return false;
    this.currentState = 'failed';
    return true;
  }

  /** Whether the caller has cancelled the job, also after it has failed. */
  get isCancelRequested(): boolean {
    return this.cancelRequested;
  }

  /**
   * Cancels the job. Returns whether its runs have to be stopped for that; those of a job that
   * has failed may go on until then.
   */
  cancel(): boolean {
    if (this.cancelRequested || this.isSettled()) return false;
    this.cancelRequested = true;
    if (!isEnded(this.currentState)) this.currentState = 'cancelled';
    return true;
  }

  isStepDone(occurrence: number, step: number): boolean {
    const key = `${occurrence}.${step}`;
    return (
      this.done.hasStep(occurrence, step) || (this.doneCounts.get(key) ?? 0) >= this.step(step).taskCount
    );
  }

  /** Ends the job as failed because its progress cannot be stored. Returns whether this changed its state. */
  failUnstorable(): boolean {
    if (isEnded(this.currentState)) return false;
    this.currentState = 'failed';
    return true;
  }

  private setTask(key: string, task: TaskProgress): void {
    const known = this.tasks.get(key);
    this.openBytes += taskBytes(task) - (known === undefined ? 0 : taskBytes(known));
    this.tasks.set(key, task);
  }

  /** Drops the tasks of a step that is done once none of them has a run. */
  private settleStep(occurrence: number, step: number): void {
    const { taskCount } = this.step(step);
    const stepKey = `${occurrence}.${step}`;
    if ((this.doneCounts.get(stepKey) ?? 0) < taskCount) return;
    if (this.runsOfStep(occurrence, step).length > 0) return;
    for (let index = 0; index < taskCount; index += 1) {
      const key = taskKey({ occurrence, step, index });
      this.tasks.delete(key);
      this.crashes.delete(key);
      this.failedWorkersByTask.delete(key);
    }
    this.doneCounts.delete(stepKey);
    this.done.addStep(occurrence, step);
  }

  /** The runs of a gang are recorded together, so that it is broken once some are missing. */
  private isOfBrokenGang({ occurrence, step }: TaskId): boolean {
    const { isGang, taskCount } = this.step(step);
    return isGang && this.runsOfStep(occurrence, step).length < taskCount;
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
    for (const { definition, step } of unfinished) {
      if (!definition.after.every((earlier) => this.isStepDone(occurrence, earlier))) continue;
      const waiting = this.waitingTasks(occurrence, step, definition);
      if (waiting.length > 0) ready.push({ occurrence, step, definition, waiting });
    }
  }

  private waitingTasks(occurrence: number, step: number, definition: StepDefinition): readonly number[] {
    const waiting: number[] = [];
    for (let index = 0; index < definition.taskCount; index += 1) {
      // The step is not done, so that a task without an entry has not been started.
      const task = this.tasks.get(taskKey({ occurrence, step, index }));
      if (task === undefined || (!task.isDone && task.runs.length === 0)) waiting.push(index);
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
      // It is not started again, so that only its other runs matter.
      this.setTask(key, { ...DONE_TASK_PROGRESS, runs: task.runs });
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
    this.setTask(taskKey(owner), { ...task, failures, lastFailedRun: run });
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
