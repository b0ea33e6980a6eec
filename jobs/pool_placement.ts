/** Places the jobs of one pool while this entry instance is the pool's placement leader. */
import type { AdmissionGate } from '../admission/admission_gate';
import { FENCE_WAIT_MS } from '../config/freshness';
import type { Clock, Timer } from '../kernel/clock';
import type { FleetConfiguration, Instance } from '../model/fleet';
import { TaskRefusedError, type TaskReport, type WorkerControl } from '../platform/worker_control';
import type { HeldRole, RoleLeases } from '../roles/role_lease';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { cannotRunReason, instancesOfPool } from './feasibility';
import { declaredDemand, isOnWorker, isTerminal, taskIdOf, type Job } from './job';
import { OpenJobCache } from './open_job_cache';
import type { JobStore } from './job_store';
import { planPlacements } from './placement_plan';
import type { PlacementPolicy } from './placement_policy';
import { planWorkers, jobsByTaskId, teamUsages, waitingJobs, type PoolView } from './plan_input';
import { THROTTLE_FRACTION, type Preemption } from './preemption';
import { RetryBudget, retryDelayMs } from './retry_policy';
import { TaskAdmissions } from './task_admissions';
import {
  jobAfterFailure,
  jobAfterTask,
  determineTaskStatus,
  requeuedJob,
  type TaskOutcome,
} from './task_outcome';
import type { UsageModel } from './usage_model';
import { SAFE_TASK_END_WAIT_MS, WorkerLink } from './worker_link';
import type { WorkerHealth } from './worker_health';

/** Interval of the regular steps, in milliseconds. */
const STEP_INTERVAL_MS = 250;
/** Delay of a step that is requested between the regular ones, in milliseconds. */
const MIN_STEP_INTERVAL_MS = 20;

/**
 * Interval of reads of the index of open jobs, in milliseconds. It counts towards
 * the 3 s within which urgent work must start.
 */
const JOBS_REFRESH_MS = 1_000;

/**
 * Times until the next poll of a worker that has tasks, of one that has none, and
 * of one whose last poll failed, in milliseconds.
 */
const BUSY_POLL_MS = 1_000;
const IDLE_POLL_MS = 30_000;
const FAILED_POLL_MS = 1_000;

/** Time after a failed operation on a job until another one is tried, in milliseconds. */
const JOB_RETRY_PAUSE_MS = 500;
/** Maximum time for which a start waits for its admission, in milliseconds. */
const ADMISSION_TIMEOUT_MS = 2_000;

/**
 * Time within which a task that an earlier placement leader started needs an
 * admission of this entry instance, in milliseconds. Until then, the earlier
 * leader's grant (its part of the team's limit) covers the task: grants of a
 * fenced member are reclaimed much later.
 */
const ADOPTION_TIMEOUT_MS = 5_000;

export interface PoolPlacementOptions {
  readonly poolId: string;
  readonly role: HeldRole;
  readonly clock: Clock;
  readonly store: JobStore;
  readonly roles: RoleLeases;
  readonly control: WorkerControl;
  readonly gate: AdmissionGate;
  readonly fleet: () => FleetConfiguration;
  /**
   * Whether this entry instance is live under the incarnation that acquired the
   * role, and its configuration has recently been confirmed.
   */
  readonly mayAct: () => boolean;
  readonly policy: PlacementPolicy;
  /** Retained across terms as placement leader, like `health`. */
  readonly usage: UsageModel;
  readonly health: WorkerHealth;
  /** Numbers from 0 up to 1, for jitter. */
  readonly random: () => number;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Called once when the role was lost. */
  readonly onRoleLost: () => void;
}

interface LinkState {
  readonly link: WorkerLink;
  readonly instance: Instance;
  nextPollAtMs: number;
  polling: boolean;
}

/**
 * Runs in steps. A step only reads memory and starts operations; an operation
 * writes one job or commands one worker, and holds the lock of the job.
 *
 * @example
 * ```ts
 * const placement = new PoolPlacement(options);
 * placement.start();
 * await placement.stop();
 * ```
 */
export class PoolPlacement {
  private readonly openJobs: OpenJobCache;
  private readonly admissions: TaskAdmissions;
  private readonly retryBudget: RetryBudget;
  private readonly links = new Map<string, LinkState>();
  /**
   * Time by which the tasks of earlier placement leaders have ended unless their
   * leases are renewed, in monotonic milliseconds.
   */
  private readonly earlierTasksEndAtMs: number;
  /** Instances on which jobs are about to be started, by job id. */
  private readonly planned = new Map<string, string>();
  private readonly pausedUntilMs = new Map<string, number>();
  /** Time at which each open job was first read in this term, in monotonic milliseconds. */
  private readonly firstSeenAtMs = new Map<string, number>();
  private readonly adoptionStartedAtMs = new Map<string, number>();
  private readonly uncheckpointableTaskIds = new Set<string>();
  private timer: Timer | null = null;
  private stepRequested = false;
  private nextRefreshAtMs = 0;
  private refreshing = false;
  private phase: 'running' | 'stopping' | 'ended' = 'running';

  constructor(private readonly options: PoolPlacementOptions) {
    const { clock, store, poolId, role, counters, gate } = options;
    const onRoleLost = (): void => {
      this.handleRoleLost();
    };
    this.openJobs = new OpenJobCache({ store, poolId, role, counters, onRoleLost });
    this.admissions = new TaskAdmissions({ clock, gate, counters });
    this.retryBudget = new RetryBudget(clock.monotonicMs());
    this.earlierTasksEndAtMs = clock.monotonicMs() + FENCE_WAIT_MS + SAFE_TASK_END_WAIT_MS;
  }

  start(): void {
    const { poolId, role, logger } = this.options;
    logger.info(LOG_EVENTS.leadershipAcquired, { poolId, epoch: role.epoch });
    this.schedule(0);
  }

  /** Number of tasks on an instance according to the cached jobs. */
  tasksOn(instanceId: string): number {
    return this.openJobs.jobs().filter((job) => isOnWorker(job.state) && job.instanceId === instanceId)
      .length;
  }

  /** Reads the jobs soon, because one was submitted or cancelled through this entry instance. */
  handleJobsChanged(): void {
    this.nextRefreshAtMs = 0;
    this.requestStep();
  }

  /** Whether no job of the pool is on a worker. */
  isIdle(): boolean {
    return this.openJobs.isLoaded() && this.planned.size === 0 && !this.openJobs.jobs().some(hasTask);
  }

  /** Checkpoints the tasks, waits until they have certainly ended, and releases the role. */
  async stop(): Promise<void> {
    if (this.phase === 'ended') return;
    this.phase = 'stopping';
    const { clock, roles, role } = this.options;
    const endAtMs = clock.monotonicMs() + SAFE_TASK_END_WAIT_MS;
    while (!this.isDrained() && clock.monotonicMs() < endAtMs) await clock.delay(MIN_STEP_INTERVAL_MS * 5);
    this.end();
    for (const { jobId } of this.openJobs.jobs()) this.admissions.release(jobId);
    try {
      await roles.release(role);
    } catch (error) {
      this.reportFailure('release', error);
    }
  }

  /**
   * Ends at once and sends no further commands to the workers: another placement
   * leader now commands the tasks and counts them towards the limits.
   */
  handleRoleLost(): void {
    if (this.phase === 'ended') return;
    this.end();
    this.admissions.releaseAllAfter(SAFE_TASK_END_WAIT_MS + ADOPTION_TIMEOUT_MS);
    const { poolId, role, logger, counters, onRoleLost } = this.options;
    counters.increment('jobs.role_lost');
    logger.warn(LOG_EVENTS.leadershipLost, { poolId, epoch: role.epoch });
    onRoleLost();
  }

  private end(): void {
    this.phase = 'ended';
    this.timer?.cancel();
  }

  private isDrained(): boolean {
    return this.openJobs.isLoaded() && this.planned.size === 0 && !this.openJobs.jobs().some(hasTask);
  }

  private mayAct(): boolean {
    return this.phase !== 'ended' && this.options.mayAct();
  }

  private schedule(delayMs: number): void {
    this.timer = this.options.clock.schedule(delayMs, () => {
      this.stepRequested = false;
      if (this.phase === 'ended') return;
      this.schedule(STEP_INTERVAL_MS);
      if (this.mayAct()) this.step();
    });
  }

  private requestStep(): void {
    if (this.stepRequested || this.phase === 'ended') return;
    this.stepRequested = true;
    this.timer?.cancel();
    this.schedule(MIN_STEP_INTERVAL_MS);
  }

  private step(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.refreshIfDue(nowMs);
    if (!this.openJobs.isLoaded()) return;
    this.updateLinks();
    this.pollLinks(nowMs);
    this.reviewTasks(nowMs);
    if (this.phase !== 'running') return;
    this.rejectUnrunnableJobs();
    if (this.hasListedEarlierTasks()) this.plan(nowMs);
  }

  private refreshIfDue(nowMs: number): void {
    if (this.refreshing || nowMs < this.nextRefreshAtMs) return;
    this.refreshing = true;
    this.nextRefreshAtMs = nowMs + JOBS_REFRESH_MS;
    void this.openJobs
      .refresh()
      .then(
        (endedJobIds) => {
          // A job that has ended needs no admission any more.
          for (const jobId of endedJobIds) this.admissions.abort(jobId);
          this.trackOpenJobs();
          this.requestStep();
        },
        (error: unknown) => {
          this.reportFailure('refresh', error);
        },
      )
      .finally(() => {
        this.refreshing = false;
      });
  }

  private trackOpenJobs(): void {
    const nowMs = this.options.clock.monotonicMs();
    const open = new Set(this.openJobs.jobs().map(({ jobId }) => jobId));
    for (const jobId of open) if (!this.firstSeenAtMs.has(jobId)) this.firstSeenAtMs.set(jobId, nowMs);
    for (const map of [this.firstSeenAtMs, this.pausedUntilMs, this.adoptionStartedAtMs]) {
      for (const jobId of map.keys()) if (!open.has(jobId)) map.delete(jobId);
    }
  }

  private updateLinks(): void {
    const { fleet, poolId, health } = this.options;
    const instances = instancesOfPool(fleet(), poolId);
    const withTasks = new Set(this.openJobs.jobs().flatMap((job) => (hasTask(job) ? [job.instanceId] : [])));
    for (const instanceId of withTasks) {
      const instance = fleet().instances.get(instanceId ?? '');
      if (instance) this.linkTo(instance);
    }
    for (const instance of instances) this.linkTo(instance);
    const inPool = new Set(instances.map(({ instanceId }) => instanceId));
    health.retainOnly(inPool);
    for (const [instanceId, state] of this.links) {
      if (!inPool.has(instanceId) && !withTasks.has(instanceId) && !state.polling) {
        this.links.delete(instanceId);
      }
    }
  }

  private linkTo(instance: Instance): void {
    if (this.links.has(instance.instanceId)) return;
    const { clock, control, poolId, role } = this.options;
    const link = new WorkerLink({
      clock,
      control,
      worker: instance,
      poolId,
      epoch: role.epoch,
      mayAct: () => this.mayAct(),
      earlierTasksEndAtMs: this.earlierTasksEndAtMs,
      onStaleEpoch: () => {
        this.handleRoleLost();
      },
    });
    this.links.set(instance.instanceId, { link, instance, nextPollAtMs: 0, polling: false });
  }

  private pollLinks(nowMs: number): void {
    const current = jobsByTaskId(this.openJobs.jobs());
    for (const state of this.links.values()) {
      if (!state.polling && (nowMs >= state.nextPollAtMs || hasPendingStops(state, current))) {
        this.poll(state);
      }
    }
  }

  private poll(state: LinkState): void {
    const { clock, counters } = this.options;
    state.polling = true;
    const pollAfter = (delayMs: number): void => {
      state.polling = false;
      state.nextPollAtMs = clock.monotonicMs() + delayMs;
      this.requestStep();
    };
    const renewal = state.link.poll(() => this.renewRequest(state.link));
    void renewal.then(
      () => {
        this.recordUsage(state.link);
        pollAfter(state.link.allReports().length > 0 ? BUSY_POLL_MS : IDLE_POLL_MS);
      },
      (error: unknown) => {
        counters.increment('jobs.worker_command_failed', errorNameOf(error));
        pollAfter(FAILED_POLL_MS);
      },
    );
  }

  /**
   * Builds a request that renews the tasks of current jobs, stops tasks that belong
   * to no current job, and lets the worker drop results that have been recorded.
   */
  private renewRequest(link: WorkerLink) {
    const current = jobsByTaskId(this.openJobs.jobs());
    const taskIdsWhere = (
      matches: (report: TaskReport, job: Job | undefined) => boolean,
    ): readonly string[] =>
      link
        .allReports()
        .filter((report) => matches(report, current.get(report.taskId)))
        .map(({ taskId }) => taskId);
    // While stopping, no lease is renewed, so that tasks that cannot be checkpointed end as well.
    const mayRenew = this.phase === 'running';
    return {
      keep: taskIdsWhere((report, job) => mayRenew && isActive(report) && job?.cancelRequested === false),
      stop: taskIdsWhere((report, job) => isActive(report) && (job === undefined || job.cancelRequested)),
      forget: taskIdsWhere((report, job) => !isActive(report) && job === undefined),
    };
  }

  private recordUsage(link: WorkerLink): void {
    const current = jobsByTaskId(this.openJobs.jobs());
    for (const report of link.allReports()) {
      const job = current.get(report.taskId);
      if (!job || !report.usage || report.phase === 'throttled') continue;
      this.options.usage.recordUsage(job.queueId, report.taskId, declaredDemand(job), report.usage);
    }
  }

  private reviewTasks(nowMs: number): void {
    for (const job of this.openJobs.jobs()) {
      if (!hasTask(job) || this.openJobs.isLocked(job.jobId) || this.isPaused(job.jobId, nowMs)) continue;
      const status = determineTaskStatus(job, this.reportSourceOf(job), nowMs);
      if (status.kind === 'ended') this.recordTaskOutcome(job, status.outcome, status.report);
      else if (status.kind === 'running') this.reviewRunning(job, status.report, nowMs);
    }
  }

  private reviewRunning(job: Job, report: TaskReport, nowMs: number): void {
    if (job.cancelRequested) return;
    if (this.phase === 'stopping' || !this.isServing(job.instanceId)) this.checkpoint(job, false);
    else if (!this.admissions.has(job.jobId)) this.adopt(job, nowMs);
    else if (job.state === 'placed') {
      this.runOperation(job, 'record', async () => {
        await this.writeOrPause({ ...job, state: 'running' });
      });
    } else if (report.phase === 'throttled') this.liftThrottle(job);
  }

  /** Acquires an admission for a task that another placement leader started, or ends the task. */
  private adopt(job: Job, nowMs: number): void {
    const startedAtMs = this.adoptionStartedAtMs.get(job.jobId) ?? nowMs;
    this.adoptionStartedAtMs.set(job.jobId, startedAtMs);
    if (nowMs - startedAtMs >= ADOPTION_TIMEOUT_MS) {
      this.checkpoint(job, true);
      return;
    }
    const queue = this.options.fleet().queues.get(job.queueId);
    if (this.admissions.isPending(job.jobId) || queue === undefined) return;
    this.runOperation(job, 'adopt', async () => {
      const remainingMs = ADOPTION_TIMEOUT_MS - (nowMs - startedAtMs);
      if (!(await this.admissions.acquire(job, queue, remainingMs)))
        this.pause(job.jobId, JOB_RETRY_PAUSE_MS);
    });
  }

  /**
   * Ends a task with a checkpoint. If the worker rejects that, `stopIfRejected` ends
   * the task without one.
   */
  private checkpoint(job: Job, stopIfRejected: boolean): void {
    const link = this.links.get(job.instanceId ?? '')?.link;
    if (link === undefined) return;
    this.runOperation(job, 'checkpoint', async () => {
      try {
        await link.checkpoint(taskIdOf(job));
      } catch (error) {
        if (!(error instanceof TaskRefusedError)) throw error;
        this.uncheckpointableTaskIds.add(taskIdOf(job));
        if (stopIfRejected) await link.stop(taskIdOf(job));
        else this.pause(job.jobId, JOB_RETRY_PAUSE_MS);
      }
    });
  }

  /** Lifts the throttle of a task once its processors are free again. */
  private liftThrottle(job: Job): void {
    const view = this.poolView(this.options.clock.monotonicMs());
    const worker = planWorkers(view).find(({ instanceId }) => instanceId === job.instanceId);
    const link = this.links.get(job.instanceId ?? '')?.link;
    const neededProcessors = job.processors * (1 - THROTTLE_FRACTION);
    const hasUrgentWaiting = waitingJobs(view).some(({ priority }) => priority === 'urgent');
    if (
      worker === undefined ||
      link === undefined ||
      hasUrgentWaiting ||
      worker.free.processors < neededProcessors
    )
      return;
    this.runOperation(job, 'restore', () => link.throttle(taskIdOf(job), 1));
  }

  private recordTaskOutcome(job: Job, outcome: TaskOutcome, report: TaskReport | null): void {
    const { usage, counters } = this.options;
    this.admissions.release(job.jobId);
    this.runOperation(job, 'finish', async () => {
      const next = jobAfterTask(job, outcome, report);
      if (!(await this.writeOrPause(next))) return;
      counters.increment('jobs.task_ended', outcome);
      this.uncheckpointableTaskIds.delete(taskIdOf(job));
      this.adoptionStartedAtMs.delete(job.jobId);
      if (outcome === 'done' && report && job.checkpoint === null) {
        usage.recordRunTime(job.queueId, job.runTimeMs, report.ranMs);
      }
      if (outcome === 'done' || outcome === 'failed') this.recordHealth(job.instanceId, outcome === 'done');
      if (outcome === 'failed' || outcome === 'lost') this.scheduleRetry(next, outcome);
      this.reportIfEnded(next);
    });
  }

  private scheduleRetry(job: Job, reason: string): void {
    if (isTerminal(job.state)) return;
    this.pause(job.jobId, retryDelayMs(job.failures + job.losses, this.options.random()));
    this.options.counters.increment('jobs.retried', reason);
    this.options.logger.info(LOG_EVENTS.jobRetried, { jobId: job.jobId, reason });
  }

  private reportIfEnded(job: Job): void {
    if (!isTerminal(job.state)) return;
    this.options.counters.increment('jobs.ended', job.state);
    const { jobId, state, reason } = job;
    this.options.logger.info(LOG_EVENTS.jobEnded, { jobId, state, reason });
  }

  private recordHealth(instanceId: string | null, succeeded: boolean): void {
    if (instanceId === null) return;
    const { health, clock, fleet, poolId, counters, logger } = this.options;
    const size = instancesOfPool(fleet(), poolId).length;
    if (!health.record(instanceId, succeeded, clock.monotonicMs(), size)) return;
    counters.increment('jobs.worker_suspended');
    logger.warn(LOG_EVENTS.workerSuspended, { instanceId, poolId });
  }

  /** Ends waiting jobs that no instance can run any more, or whose queue or team was removed. */
  private rejectUnrunnableJobs(): void {
    const { fleet, poolId } = this.options;
    for (const job of this.openJobs.jobs()) {
      if (hasTask(job) || this.openJobs.isLocked(job.jobId)) continue;
      const reason = orphanReason(fleet(), job) ?? cannotRunReason(fleet(), poolId, declaredDemand(job));
      if (reason === null) continue;
      const next: Job = { ...job, state: 'cannot_run', reason };
      this.runOperation(job, 'reject', async () => {
        if (await this.writeOrPause(next)) this.reportIfEnded(next);
      });
    }
  }

  /**
   * Whether every worker has been asked for the tasks of earlier epochs. Workers
   * that did not respond get no tasks.
   */
  private hasListedEarlierTasks(): boolean {
    return [...this.links.values()].every(({ link }) => link.hasCompletedFirstAttempt());
  }

  private plan(nowMs: number): void {
    const view = this.poolView(nowMs);
    const { placements, preemptions } = planPlacements({
      waiting: waitingJobs(view),
      workers: planWorkers(view),
      teams: teamUsages(view),
      policy: this.options.policy,
      waitedMs: (jobId) => nowMs - (this.firstSeenAtMs.get(jobId) ?? nowMs),
    });
    for (const { jobId, instanceId } of placements) this.place(jobId, instanceId, null);
    for (const preemption of preemptions) {
      this.place(preemption.forJobId, preemption.instanceId, preemption);
    }
  }

  private poolView(nowMs: number): PoolView {
    const jobs = this.openJobs.jobs();
    const { fleet, usage } = this.options;
    return {
      fleet: fleet(),
      jobs,
      workers: [...this.links.values()]
        .filter(({ link, instance }) => link.isOpen() && this.isServing(instance.instanceId))
        .map(({ instance }) => ({
          instance,
          maxNewTasks: this.maxNewTasks(instance.instanceId, jobs, nowMs),
        })),
      usage,
      reportOf: (job) => this.links.get(job.instanceId ?? '')?.link.report(taskIdOf(job)),
      plannedInstance: (jobId) => this.planned.get(jobId),
      mayStart: (jobId) => !this.openJobs.isLocked(jobId) && !this.isPaused(jobId, nowMs),
      isPreemptible: (job) => job.priority === 'batch' && hasTask(job) && !this.openJobs.isLocked(job.jobId),
      isCheckpointable: (job) => !this.uncheckpointableTaskIds.has(taskIdOf(job)),
    };
  }

  private maxNewTasks(instanceId: string, jobs: readonly Job[], nowMs: number): number {
    const healthStatus = this.options.health.status(instanceId, nowMs);
    if (healthStatus === 'usable') return Number.POSITIVE_INFINITY;
    if (healthStatus === 'suspended') return 0;
    const busy = jobs.some(
      (job) => this.planned.get(job.jobId) === instanceId || (hasTask(job) && job.instanceId === instanceId),
    );
    return busy ? 0 : 1;
  }

  /**
   * Starts a job on a worker, after preemptions if they are needed. The admission is
   * acquired first, so that nothing is preempted or written for a job that may not
   * run yet.
   */
  private place(jobId: string, instanceId: string, preemption: Preemption | null): void {
    const job = this.openJobs.get(jobId);
    const state = this.links.get(instanceId);
    const queue = this.options.fleet().queues.get(job?.queueId ?? '');
    if (job === undefined || state === undefined || queue === undefined) return;
    if (!this.isWithinRetryBudget(job)) {
      this.pause(jobId, JOB_RETRY_PAUSE_MS);
      return;
    }
    this.planned.set(jobId, instanceId);
    this.runOperation(job, 'place', async () => {
      try {
        if (!(await this.admissions.acquire(job, queue, ADMISSION_TIMEOUT_MS))) {
          this.pause(jobId, JOB_RETRY_PAUSE_MS);
          return;
        }
        if (preemption) await this.preempt(preemption);
        await this.startTask(job, state);
      } finally {
        this.planned.delete(jobId);
        // A job that is not on a worker according to the cache is not running.
        const current = this.openJobs.get(jobId);
        if (current === undefined || !hasTask(current)) this.admissions.release(jobId);
      }
    });
  }

  private isWithinRetryBudget(job: Job): boolean {
    if (job.failures + job.losses === 0) {
      if (job.attempt === 0) this.retryBudget.deposit();
      return true;
    }
    if (this.retryBudget.tryWithdraw(this.options.clock.monotonicMs())) return true;
    this.options.counters.increment('jobs.retry_delayed', 'budget');
    return false;
  }

  private async preempt(preemption: Preemption): Promise<void> {
    const { counters, logger } = this.options;
    const { instanceId, actions, lossMs } = preemption;
    logger.info(LOG_EVENTS.batchWorkPreempted, { instanceId, tasks: actions.length, lossMs });
    for (const { jobId, action } of actions) {
      const victim = this.openJobs.get(jobId);
      const link = this.links.get(instanceId)?.link;
      if (victim === undefined || link === undefined) continue;
      const taskId = taskIdOf(victim);
      counters.increment('jobs.preempted', action);
      try {
        if (action === 'throttle') await link.throttle(taskId, THROTTLE_FRACTION);
        else if (action === 'checkpoint') await link.checkpoint(taskId);
        else await link.stop(taskId);
      } catch (error) {
        if (error instanceof TaskRefusedError) this.uncheckpointableTaskIds.add(taskId);
        throw error;
      }
    }
  }

  /**
   * Writes the placement and then starts the task, in this order so that a later
   * placement leader can find the task.
   */
  private async startTask(job: Job, state: LinkState): Promise<void> {
    const placed: Job = {
      ...job,
      state: 'placed',
      attempt: job.attempt + 1,
      epoch: this.options.role.epoch,
      instanceId: state.instance.instanceId,
    };
    if (!(await this.writeOrPause(placed)) || this.phase !== 'running') return;
    this.options.counters.increment('jobs.placed');
    try {
      await state.link.start({
        taskId: taskIdOf(placed),
        jobId: placed.jobId,
        demand: declaredDemand(placed),
        payload: placed.payload,
        checkpoint: placed.checkpoint,
      });
      state.nextPollAtMs = Math.min(state.nextPollAtMs, this.options.clock.monotonicMs() + BUSY_POLL_MS);
    } catch (error) {
      this.options.counters.increment('jobs.start_failed', errorNameOf(error));
      if (error instanceof TaskRefusedError) await this.handleStartRejected(placed, error);
      // After any other error, a new session lists whether the task runs.
      else state.nextPollAtMs = 0;
    }
  }

  private async handleStartRejected(placed: Job, error: TaskRefusedError): Promise<void> {
    this.recordHealth(placed.instanceId, false);
    const next = placed.cancelRequested ? requeuedJob(placed) : jobAfterFailure(placed, error.message);
    if (!(await this.writeOrPause(next))) return;
    this.scheduleRetry(next, 'start_refused');
    this.reportIfEnded(next);
  }

  private async writeOrPause(next: Job): Promise<boolean> {
    const written = await this.openJobs.write(next);
    if (!written) this.pause(next.jobId, JOB_RETRY_PAUSE_MS);
    return written;
  }

  /** Runs an operation on a job and locks the job until the operation has ended. */
  private runOperation(job: Job, name: string, operation: () => Promise<void>): void {
    this.openJobs.lock(job.jobId);
    void operation()
      .catch((error: unknown) => {
        this.pause(job.jobId, JOB_RETRY_PAUSE_MS);
        this.reportFailure(name, error);
      })
      .finally(() => {
        this.openJobs.unlock(job.jobId);
        this.requestStep();
      });
  }

  private reportFailure(name: string, error: unknown): void {
    this.options.counters.increment('jobs.step_failed', `${name}.${errorNameOf(error)}`);
    const { poolId, logger } = this.options;
    logger.warn(LOG_EVENTS.placementFailed, { poolId, step: name, reason: String(error) });
  }

  private pause(jobId: string, delayMs: number): void {
    this.pausedUntilMs.set(jobId, this.options.clock.monotonicMs() + delayMs);
  }

  private isPaused(jobId: string, nowMs: number): boolean {
    return nowMs < (this.pausedUntilMs.get(jobId) ?? 0);
  }

  private reportSourceOf(job: Job) {
    const link = this.links.get(job.instanceId ?? '')?.link;
    if (link) return link;
    // A worker that is no longer configured cannot be polled; its tasks end because their leases are not renewed.
    return {
      isOpen: () => false,
      report: () => undefined,
      tasksEndAtMs: () => this.earlierTasksEndAtMs,
    };
  }

  private isServing(instanceId: string | null): boolean {
    const state = this.options.fleet().instanceStates.get(instanceId ?? '');
    return state?.poolId === this.options.poolId && state.state === 'serving';
  }
}

function hasTask(job: Job): boolean {
  return isOnWorker(job.state);
}

function isActive(report: TaskReport): boolean {
  return report.phase === 'running' || report.phase === 'throttled';
}

/** Whether the worker runs a task that should be stopped now rather than with the next regular poll. */
function hasPendingStops(state: LinkState, current: ReadonlyMap<string, Job>): boolean {
  return state.link
    .allReports()
    .some((report) => isActive(report) && current.get(report.taskId)?.cancelRequested !== false);
}

function orphanReason(fleet: FleetConfiguration, job: Job): string | null {
  if (!fleet.queues.has(job.queueId)) return `The queue ${job.queueId} no longer exists.`;
  if (!fleet.teams.has(job.teamId)) return `The team ${job.teamId} no longer exists.`;
  return null;
}

function errorNameOf(error: unknown): string {
  return error instanceof Error ? error.name : 'unknown';
}
