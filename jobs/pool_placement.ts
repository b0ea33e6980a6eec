/** Places the jobs of one pool while this entry instance holds the pool's placement role. */
import type { AdmissionGate } from '../admission/admission_gate';
import { FENCE_WAIT_MS } from '../config/freshness';
import type { Clock, Timer } from '../kernel/clock';
import type { FleetConfiguration, Instance } from '../model/fleet';
import { TaskRefusedError, type TaskReport, type WorkerControl } from '../platform/worker_control';
import type { HeldRole, RoleLeases } from '../roles/role_lease';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { cannotRunReason, instancesOfPool } from './fleet_fit';
import { declaredDemand, isOnWorker, isTerminal, taskIdOf, type Job } from './job';
import { JobLedger } from './job_ledger';
import type { JobStore } from './job_store';
import { planPlacements } from './placement_plan';
import type { PlacementPolicy } from './placement_policy';
import { planWorkers, tasksByName, teamUses, waitingJobs, type PoolView } from './plan_input';
import { THROTTLE_FRACTION, type Preemption } from './preemption';
import { RetryBudget, retryDelayMs } from './retry_policy';
import { TaskAdmissions } from './task_admissions';
import { afterFailure, afterTask, judgeTask, waitingAgain, type TaskEnd } from './task_verdict';
import type { UsageModel } from './usage_model';
import { SAFE_END_WAIT_MS, WorkerLink } from './worker_link';
import type { WorkerHealth } from './worker_health';

/** Interval of steps, and shortest time between two of them, in milliseconds. */
const STEP_MS = 250;
const SHORTEST_STEP_MS = 20;

/** Interval of reading the index of open jobs, in milliseconds: part of the 3 s in which urgent work starts. */
const JOBS_POLL_MS = 1_000;

/** Intervals between messages to a worker with tasks, without, and after a failure, in milliseconds. */
const BUSY_POLL_MS = 1_000;
const IDLE_POLL_MS = 30_000;
const FAILED_POLL_MS = 1_000;

/** How long a job waits after a step for it failed, and how long a start waits for its admission, in milliseconds. */
const PAUSE_MS = 500;
const ADMISSION_PATIENCE_MS = 2_000;

/**
 * Time in which a task taken over from another holder has to get an admission
 * of its own, in milliseconds. The grant of the earlier holder covers it for
 * much longer, because grants are reclaimed only after the fence wait.
 */
const ADOPTION_PATIENCE_MS = 5_000;

export interface PoolPlacementOptions {
  readonly poolId: string;
  readonly role: HeldRole;
  readonly clock: Clock;
  readonly store: JobStore;
  readonly roles: RoleLeases;
  readonly control: WorkerControl;
  readonly gate: AdmissionGate;
  readonly fleet: () => FleetConfiguration;
  /** Whether this entry instance is live under the incarnation that acquired the role, with fresh evidence. */
  readonly mayAct: () => boolean;
  readonly policy: PlacementPolicy;
  /** Kept across terms of holding the role. */
  readonly usage: UsageModel;
  readonly health: WorkerHealth;
  /** Numbers from 0 up to 1, for jitter. */
  readonly random: () => number;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Called once when the role was lost. */
  readonly onLost: () => void;
}

interface LinkState {
  readonly link: WorkerLink;
  readonly instance: Instance;
  nextPollMs: number;
  polling: boolean;
}

/**
 * Runs in steps. A step only looks at memory and begins flows; a flow writes
 * one job or commands one worker, and claims the job meanwhile.
 *
 * @example
 * ```ts
 * const placement = new PoolPlacement(options);
 * placement.start();
 * await placement.stop();
 * ```
 */
export class PoolPlacement {
  private readonly ledger: JobLedger;
  private readonly admissions: TaskAdmissions;
  private readonly budget: RetryBudget;
  private readonly links = new Map<string, LinkState>();
  private readonly earlierTasksEndAtMs: number;
  private readonly planned = new Map<string, string>();
  private readonly pausedUntilMs = new Map<string, number>();
  private readonly knownSinceMs = new Map<string, number>();
  private readonly adoptedAtMs = new Map<string, number>();
  private readonly uncheckpointable = new Set<string>();
  private timer: Timer | null = null;
  private kicked = false;
  private nextRefreshMs = 0;
  private refreshing = false;
  private phase: 'running' | 'stopping' | 'ended' = 'running';

  constructor(private readonly options: PoolPlacementOptions) {
    const { clock, store, poolId, role, counters, gate } = options;
    const onRoleLost = (): void => {
      this.abandon();
    };
    this.ledger = new JobLedger({ store, poolId, role, counters, onRoleLost });
    this.admissions = new TaskAdmissions({ clock, gate, counters });
    this.budget = new RetryBudget(clock.monotonicMs());
    this.earlierTasksEndAtMs = clock.monotonicMs() + FENCE_WAIT_MS + SAFE_END_WAIT_MS;
  }

  start(): void {
    const { poolId, role, logger } = this.options;
    logger.info(LOG_EVENTS.leadershipAcquired, { poolId, epoch: role.epoch });
    this.schedule(0);
  }

  /** Tasks that run on an instance as far as this holder knows. */
  tasksOn(instanceId: string): number {
    return this.ledger.jobs().filter((job) => isOnWorker(job.state) && job.instanceId === instanceId).length;
  }

  /** Looks at the jobs soon, because one was submitted or cancelled here. */
  jobsChanged(): void {
    this.nextRefreshMs = 0;
    this.kick();
  }

  /** Whether no job of the pool is on a worker. */
  isIdle(): boolean {
    return this.ledger.isLoaded() && this.planned.size === 0 && !this.ledger.jobs().some(onWorker);
  }

  /** Checkpoints the tasks, waits until they have certainly ended, and releases the role. */
  async stop(): Promise<void> {
    if (this.phase === 'ended') return;
    this.phase = 'stopping';
    const { clock, roles, role } = this.options;
    const endAtMs = clock.monotonicMs() + SAFE_END_WAIT_MS;
    while (!this.isDrained() && clock.monotonicMs() < endAtMs) await clock.delay(SHORTEST_STEP_MS * 5);
    this.end();
    for (const { jobId } of this.ledger.jobs()) this.admissions.release(jobId);
    try {
      await roles.release(role);
    } catch (error) {
      this.report('release', error);
    }
  }

  /** Ends at once, without a word to the workers: another holder accounts for the tasks. */
  abandon(): void {
    if (this.phase === 'ended') return;
    this.end();
    this.admissions.releaseAllAfter(SAFE_END_WAIT_MS + ADOPTION_PATIENCE_MS);
    const { poolId, role, logger, counters, onLost } = this.options;
    counters.increment('jobs.role_lost');
    logger.warn(LOG_EVENTS.leadershipLost, { poolId, epoch: role.epoch });
    onLost();
  }

  private end(): void {
    this.phase = 'ended';
    this.timer?.cancel();
  }

  private isDrained(): boolean {
    return this.ledger.isLoaded() && this.planned.size === 0 && !this.ledger.jobs().some(onWorker);
  }

  private mayAct(): boolean {
    return this.phase !== 'ended' && this.options.mayAct();
  }

  private schedule(delayMs: number): void {
    this.timer = this.options.clock.schedule(delayMs, () => {
      this.kicked = false;
      if (this.phase === 'ended') return;
      this.schedule(STEP_MS);
      if (this.mayAct()) this.step();
    });
  }

  private kick(): void {
    if (this.kicked || this.phase === 'ended') return;
    this.kicked = true;
    this.timer?.cancel();
    this.schedule(SHORTEST_STEP_MS);
  }

  private step(): void {
    const nowMs = this.options.clock.monotonicMs();
    this.refreshIfDue(nowMs);
    if (!this.ledger.isLoaded()) return;
    this.updateLinks();
    this.pollLinks(nowMs);
    this.reviewTasks(nowMs);
    if (this.phase !== 'running') return;
    this.rejectUnfit();
    if (this.hasListedEarlierTasks()) this.plan(nowMs);
  }

  private refreshIfDue(nowMs: number): void {
    if (this.refreshing || nowMs < this.nextRefreshMs) return;
    this.refreshing = true;
    this.nextRefreshMs = nowMs + JOBS_POLL_MS;
    void this.ledger
      .refresh()
      .then(
        (vanished) => {
          // A cancelled job no longer waits for its admission.
          for (const jobId of vanished) this.admissions.abort(jobId);
          this.trackWaiting();
          this.kick();
        },
        (error: unknown) => {
          this.report('refresh', error);
        },
      )
      .finally(() => {
        this.refreshing = false;
      });
  }

  private trackWaiting(): void {
    const nowMs = this.options.clock.monotonicMs();
    const open = new Set(this.ledger.jobs().map(({ jobId }) => jobId));
    for (const jobId of open) if (!this.knownSinceMs.has(jobId)) this.knownSinceMs.set(jobId, nowMs);
    for (const map of [this.knownSinceMs, this.pausedUntilMs, this.adoptedAtMs]) {
      for (const jobId of map.keys()) if (!open.has(jobId)) map.delete(jobId);
    }
  }

  private updateLinks(): void {
    const { fleet, poolId, health } = this.options;
    const instances = instancesOfPool(fleet(), poolId);
    const withJobs = new Set(this.ledger.jobs().flatMap((job) => (onWorker(job) ? [job.instanceId] : [])));
    for (const instanceId of withJobs) {
      const instance = fleet().instances.get(instanceId ?? '');
      if (instance) this.linkTo(instance);
    }
    for (const instance of instances) this.linkTo(instance);
    const inPool = new Set(instances.map(({ instanceId }) => instanceId));
    health.retain(inPool);
    for (const [instanceId, state] of this.links) {
      if (!inPool.has(instanceId) && !withJobs.has(instanceId) && !state.polling) {
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
        this.abandon();
      },
    });
    this.links.set(instance.instanceId, { link, instance, nextPollMs: 0, polling: false });
  }

  private pollLinks(nowMs: number): void {
    const current = tasksByName(this.ledger.jobs());
    for (const state of this.links.values()) {
      if (!state.polling && (nowMs >= state.nextPollMs || hasStopsPending(state, current))) {
        this.poll(state);
      }
    }
  }

  private poll(state: LinkState): void {
    const { clock, counters } = this.options;
    state.polling = true;
    const pollAfter = (delayMs: number): void => {
      state.polling = false;
      state.nextPollMs = clock.monotonicMs() + delayMs;
      this.kick();
    };
    const renewal = state.link.poll(() => this.renewRequest(state.link));
    void renewal.then(
      () => {
        this.learn(state.link);
        pollAfter(state.link.allReports().length > 0 ? BUSY_POLL_MS : IDLE_POLL_MS);
      },
      (error: unknown) => {
        counters.increment('jobs.worker_command_failed', nameOf(error));
        pollAfter(FAILED_POLL_MS);
      },
    );
  }

  /** Keeps what jobs need, stops what no job needs, and drops results that have been recorded. */
  private renewRequest(link: WorkerLink) {
    const current = tasksByName(this.ledger.jobs());
    const names = (wanted: (report: TaskReport, job: Job | undefined) => boolean): readonly string[] =>
      link
        .allReports()
        .filter((report) => wanted(report, current.get(report.taskId)))
        .map(({ taskId }) => taskId);
    // While stopping, leases run out even of tasks that cannot be checkpointed.
    const renews = this.phase === 'running';
    return {
      keep: names((report, job) => renews && isActive(report) && job?.cancelRequested === false),
      stop: names((report, job) => isActive(report) && (job === undefined || job.cancelRequested)),
      forget: names((report, job) => !isActive(report) && job === undefined),
    };
  }

  private learn(link: WorkerLink): void {
    const current = tasksByName(this.ledger.jobs());
    for (const report of link.allReports()) {
      const job = current.get(report.taskId);
      if (!job || !report.usage || report.phase === 'throttled') continue;
      this.options.usage.recordUsage(job.queueId, report.taskId, declaredDemand(job), report.usage);
    }
  }

  private reviewTasks(nowMs: number): void {
    for (const job of this.ledger.jobs()) {
      if (!onWorker(job) || this.ledger.isClaimed(job.jobId) || this.isPaused(job.jobId, nowMs)) continue;
      const verdict = judgeTask(job, this.viewOf(job), nowMs);
      if (verdict.kind === 'ended') this.finish(job, verdict.how, verdict.report);
      else if (verdict.kind === 'running') this.reviewRunning(job, verdict.report, nowMs);
    }
  }

  private reviewRunning(job: Job, report: TaskReport, nowMs: number): void {
    if (job.cancelRequested) return;
    if (this.phase === 'stopping' || !this.isServing(job.instanceId)) this.checkpoint(job, false);
    else if (!this.admissions.has(job.jobId)) this.adopt(job, nowMs);
    else if (job.state === 'placed') {
      this.run(job, 'record', async () => {
        await this.writeOrPause({ ...job, state: 'running' });
      });
    } else if (report.phase === 'throttled') this.restore(job);
  }

  /** A task that another holder started needs an admission from here, or it makes room. */
  private adopt(job: Job, nowMs: number): void {
    const sinceMs = this.adoptedAtMs.get(job.jobId) ?? nowMs;
    this.adoptedAtMs.set(job.jobId, sinceMs);
    if (nowMs - sinceMs >= ADOPTION_PATIENCE_MS) {
      this.checkpoint(job, true);
      return;
    }
    const queue = this.options.fleet().queues.get(job.queueId);
    if (this.admissions.isPending(job.jobId) || queue === undefined) return;
    this.run(job, 'adopt', async () => {
      const leftMs = ADOPTION_PATIENCE_MS - (nowMs - sinceMs);
      if (!(await this.admissions.acquire(job, queue, leftMs))) this.pause(job.jobId, PAUSE_MS);
    });
  }

  /** Ends a task with a checkpoint; `orStop` ends it without one if the worker refuses. */
  private checkpoint(job: Job, orStop: boolean): void {
    const link = this.links.get(job.instanceId ?? '')?.link;
    if (link === undefined) return;
    this.run(job, 'checkpoint', async () => {
      try {
        await link.checkpoint(taskIdOf(job));
      } catch (error) {
        if (!(error instanceof TaskRefusedError)) throw error;
        this.uncheckpointable.add(taskIdOf(job));
        if (orStop) await link.stop(taskIdOf(job));
        else this.pause(job.jobId, PAUSE_MS);
      }
    });
  }

  /** Lifts the limit of a throttled task once its processors are free again. */
  private restore(job: Job): void {
    const view = this.poolView(this.options.clock.monotonicMs());
    const worker = planWorkers(view).find(({ instanceId }) => instanceId === job.instanceId);
    const link = this.links.get(job.instanceId ?? '')?.link;
    const missing = job.processors * (1 - THROTTLE_FRACTION);
    const urgentWaits = waitingJobs(view).some(({ priority }) => priority === 'urgent');
    if (worker === undefined || link === undefined || urgentWaits || worker.free.processors < missing) return;
    this.run(job, 'restore', () => link.throttle(taskIdOf(job), 1));
  }

  private finish(job: Job, how: TaskEnd, report: TaskReport | null): void {
    const { usage, counters } = this.options;
    this.admissions.release(job.jobId);
    this.run(job, 'finish', async () => {
      const next = afterTask(job, how, report);
      if (!(await this.writeOrPause(next))) return;
      counters.increment('jobs.task_ended', how);
      this.uncheckpointable.delete(taskIdOf(job));
      this.adoptedAtMs.delete(job.jobId);
      if (how === 'done' && report && job.checkpoint === null) {
        usage.recordRunTime(job.queueId, job.runTimeMs, report.ranMs);
      }
      if (how === 'done' || how === 'failed') this.recordHealth(job.instanceId, how === 'done');
      if (how === 'failed' || how === 'lost') this.retryLater(next, how);
      this.logEnd(next);
    });
  }

  private retryLater(job: Job, reason: string): void {
    if (isTerminal(job.state)) return;
    this.pause(job.jobId, retryDelayMs(job.failures + job.losses, this.options.random()));
    this.options.counters.increment('jobs.retried', reason);
    this.options.logger.info(LOG_EVENTS.jobRetried, { jobId: job.jobId, reason });
  }

  private logEnd(job: Job): void {
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

  /** Ends waiting jobs that no instance can run any more, or whose queue or team is gone. */
  private rejectUnfit(): void {
    const { fleet, poolId } = this.options;
    for (const job of this.ledger.jobs()) {
      if (onWorker(job) || this.ledger.isClaimed(job.jobId)) continue;
      const reason = orphanReason(fleet(), job) ?? cannotRunReason(fleet(), poolId, declaredDemand(job));
      if (reason === null) continue;
      const next: Job = { ...job, state: 'cannot_run', reason };
      this.run(job, 'reject', async () => {
        if (await this.writeOrPause(next)) this.logEnd(next);
      });
    }
  }

  /** Whether the workers have been asked for the tasks of earlier epochs; those that do not answer get no tasks. */
  private hasListedEarlierTasks(): boolean {
    return [...this.links.values()].every(({ link }) => link.hasBeenTried());
  }

  private plan(nowMs: number): void {
    const view = this.poolView(nowMs);
    const { placements, preemptions } = planPlacements({
      waiting: waitingJobs(view),
      workers: planWorkers(view),
      teams: teamUses(view),
      policy: this.options.policy,
      waitedMs: (jobId) => nowMs - (this.knownSinceMs.get(jobId) ?? nowMs),
    });
    for (const { jobId, instanceId } of placements) this.place(jobId, instanceId, null);
    for (const preemption of preemptions) {
      this.place(preemption.forJobId, preemption.instanceId, preemption);
    }
  }

  private poolView(nowMs: number): PoolView {
    const jobs = this.ledger.jobs();
    const { fleet, usage } = this.options;
    return {
      fleet: fleet(),
      jobs,
      workers: [...this.links.values()]
        .filter(({ link, instance }) => link.isOpen() && this.isServing(instance.instanceId))
        .map(({ instance }) => ({ instance, tasksLeft: this.tasksLeft(instance.instanceId, jobs, nowMs) })),
      usage,
      reportOf: (job) => this.links.get(job.instanceId ?? '')?.link.report(taskIdOf(job)),
      plannedInstance: (jobId) => this.planned.get(jobId),
      mayStart: (jobId) => !this.ledger.isClaimed(jobId) && !this.isPaused(jobId, nowMs),
      isPreemptible: (job) => job.priority === 'batch' && onWorker(job) && !this.ledger.isClaimed(job.jobId),
      isCheckpointable: (job) => !this.uncheckpointable.has(taskIdOf(job)),
    };
  }

  private tasksLeft(instanceId: string, jobs: readonly Job[], nowMs: number): number {
    const standing = this.options.health.standing(instanceId, nowMs);
    if (standing === 'usable') return Number.POSITIVE_INFINITY;
    if (standing === 'suspended') return 0;
    const busy = jobs.some(
      (job) => this.planned.get(job.jobId) === instanceId || (onWorker(job) && job.instanceId === instanceId),
    );
    return busy ? 0 : 1;
  }

  /** Admission first: nothing is preempted or written for a job that may not run yet. */
  private place(jobId: string, instanceId: string, preemption: Preemption | null): void {
    const job = this.ledger.get(jobId);
    const state = this.links.get(instanceId);
    const queue = this.options.fleet().queues.get(job?.queueId ?? '');
    if (job === undefined || state === undefined || queue === undefined) return;
    if (!this.withinBudget(job)) {
      this.pause(jobId, PAUSE_MS);
      return;
    }
    this.planned.set(jobId, instanceId);
    this.run(job, 'place', async () => {
      try {
        if (!(await this.admissions.acquire(job, queue, ADMISSION_PATIENCE_MS))) {
          this.pause(jobId, PAUSE_MS);
          return;
        }
        if (preemption) await this.preempt(preemption);
        await this.startTask(job, state);
      } finally {
        this.planned.delete(jobId);
        // Only a job that is on a worker, as far as is known here, may be running.
        const current = this.ledger.get(jobId);
        if (current === undefined || !onWorker(current)) this.admissions.release(jobId);
      }
    });
  }

  private withinBudget(job: Job): boolean {
    if (job.failures + job.losses === 0) {
      if (job.attempt === 0) this.budget.earn();
      return true;
    }
    if (this.budget.take(this.options.clock.monotonicMs())) return true;
    this.options.counters.increment('jobs.retry_delayed', 'budget');
    return false;
  }

  private async preempt(preemption: Preemption): Promise<void> {
    const { counters, logger } = this.options;
    const { instanceId, actions, lossMs } = preemption;
    logger.info(LOG_EVENTS.batchWorkPreempted, { instanceId, tasks: actions.length, lossMs });
    for (const { jobId, action } of actions) {
      const victim = this.ledger.get(jobId);
      const link = this.links.get(instanceId)?.link;
      if (victim === undefined || link === undefined) continue;
      const taskId = taskIdOf(victim);
      counters.increment('jobs.preempted', action);
      try {
        if (action === 'throttle') await link.throttle(taskId, THROTTLE_FRACTION);
        else if (action === 'checkpoint') await link.checkpoint(taskId);
        else await link.stop(taskId);
      } catch (error) {
        if (error instanceof TaskRefusedError) this.uncheckpointable.add(taskId);
        throw error;
      }
    }
  }

  /** Writes the placement before the start, so that a later holder knows where to look. */
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
      state.nextPollMs = Math.min(state.nextPollMs, this.options.clock.monotonicMs() + BUSY_POLL_MS);
    } catch (error) {
      this.options.counters.increment('jobs.start_failed', nameOf(error));
      if (error instanceof TaskRefusedError) await this.startRefused(placed, error);
      // Whatever else went wrong, a new session lists whether the task runs.
      else state.nextPollMs = 0;
    }
  }

  private async startRefused(placed: Job, error: TaskRefusedError): Promise<void> {
    this.recordHealth(placed.instanceId, false);
    const next = placed.cancelRequested ? waitingAgain(placed) : afterFailure(placed, error.message);
    if (!(await this.writeOrPause(next))) return;
    this.retryLater(next, 'start_refused');
    this.logEnd(next);
  }

  private async writeOrPause(next: Job): Promise<boolean> {
    const written = await this.ledger.write(next);
    if (!written) this.pause(next.jobId, PAUSE_MS);
    return written;
  }

  /** Runs a flow for a job; nothing else touches the job until it has ended. */
  private run(job: Job, name: string, flow: () => Promise<void>): void {
    this.ledger.claim(job.jobId);
    void flow()
      .catch((error: unknown) => {
        this.pause(job.jobId, PAUSE_MS);
        this.report(name, error);
      })
      .finally(() => {
        this.ledger.unclaim(job.jobId);
        this.kick();
      });
  }

  private report(name: string, error: unknown): void {
    this.options.counters.increment('jobs.step_failed', `${name}.${nameOf(error)}`);
    const { poolId, logger } = this.options;
    logger.warn(LOG_EVENTS.placementFailed, { poolId, step: name, reason: String(error) });
  }

  private pause(jobId: string, delayMs: number): void {
    this.pausedUntilMs.set(jobId, this.options.clock.monotonicMs() + delayMs);
  }

  private isPaused(jobId: string, nowMs: number): boolean {
    return nowMs < (this.pausedUntilMs.get(jobId) ?? 0);
  }

  private viewOf(job: Job) {
    const known = this.links.get(job.instanceId ?? '')?.link;
    if (known) return known;
    // Without an address the worker cannot be asked; its tasks end for want of renewal.
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

function onWorker(job: Job): boolean {
  return isOnWorker(job.state);
}

function isActive(report: TaskReport): boolean {
  return report.phase === 'running' || report.phase === 'throttled';
}

/** Whether a running task should be stopped now rather than with the next regular poll. */
function hasStopsPending(state: LinkState, current: ReadonlyMap<string, Job>): boolean {
  return state.link
    .allReports()
    .some((report) => isActive(report) && current.get(report.taskId)?.cancelRequested !== false);
}

function orphanReason(fleet: FleetConfiguration, job: Job): string | null {
  if (!fleet.queues.has(job.queueId)) return `The queue ${job.queueId} no longer exists.`;
  if (!fleet.teams.has(job.teamId)) return `The team ${job.teamId} no longer exists.`;
  return null;
}

function nameOf(error: unknown): string {
  return error instanceof Error ? error.name : 'unknown';
}
