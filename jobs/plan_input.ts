/** Builds the input of a plan from the placement leader's view of its pool. */
import type { FleetConfiguration, Instance } from '../model/fleet';
import { addResources, NO_RESOURCES, subtractResources, type Resources } from '../model/resources';
import type { TaskReport } from '../platform/worker_control';
import type { TeamUsage, WaitingJob } from './fair_order';
import { declaredDemand, isOnWorker, taskIdOf, type Job } from './job';
import type { PlanWorker } from './placement_plan';
import { THROTTLE_FRACTION, type PreemptibleTask } from './preemption';
import type { UsageModel } from './usage_model';

/** The placement leader's view of its pool at one moment. */
export interface PoolView {
  readonly fleet: FleetConfiguration;
  readonly jobs: readonly Job[];
  /** Workers that may take tasks, each with the number of further tasks that it may take. */
  readonly workers: readonly { readonly instance: Instance; readonly maxNewTasks: number }[];
  readonly usage: UsageModel;
  /** Returns the last report of a job's current task. */
  readonly reportOf: (job: Job) => TaskReport | undefined;
  /** Returns the instance on which the job is about to be started, or `undefined` if there is none. */
  readonly plannedInstance: (jobId: string) => string | undefined;
  readonly mayStart: (jobId: string) => boolean;
  readonly isPreemptible: (job: Job) => boolean;
  readonly isCheckpointable: (job: Job) => boolean;
}

/** Returns the waiting jobs that may be started now. */
export function waitingJobs(view: PoolView): readonly WaitingJob[] {
  return view.jobs
    .filter(({ jobId, state }) => !isOnWorker(state) && view.mayStart(jobId))
    .map((job) => ({
      jobId: job.jobId,
      teamId: job.teamId,
      priority: job.priority,
      demand: expectedDemand(view, job),
      submittedAtMs: job.submittedAtMs,
      avoidedInstanceIds: new Set(job.failedOn),
    }));
}

/** Returns the workers with the resources that running tasks and planned starts leave free. */
export function planWorkers(view: PoolView): readonly PlanWorker[] {
  const loads = new Map<string, Resources>();
  const tasks = new Map<string, PreemptibleTask[]>();
  for (const job of view.jobs) {
    const instanceId = occupiedInstance(view, job);
    if (instanceId === null) continue;
    const demand = occupiedResources(view, job);
    loads.set(instanceId, addResources(loads.get(instanceId) ?? NO_RESOURCES, demand));
    if (!view.isPreemptible(job)) continue;
    tasks.set(instanceId, [...(tasks.get(instanceId) ?? []), preemptibleTask(view, job, demand)]);
  }
  return view.workers.map(({ instance, maxNewTasks }) => ({
    instanceId: instance.instanceId,
    capacity: capacityOf(instance),
    free: subtractResources(capacityOf(instance), loads.get(instance.instanceId) ?? NO_RESOURCES),
    tasks: tasks.get(instance.instanceId) ?? [],
    maxNewTasks,
  }));
}

/** Returns what each team uses in the pool, and how many further jobs its upper limit allows. */
export function teamUsages(view: PoolView): readonly TeamUsage[] {
  const running = new Map<string, Resources>();
  const jobCounts = new Map<string, number>();
  for (const job of view.jobs) {
    if (occupiedInstance(view, job) === null) continue;
    running.set(
      job.teamId,
      addResources(running.get(job.teamId) ?? NO_RESOURCES, occupiedResources(view, job)),
    );
    jobCounts.set(job.teamId, (jobCounts.get(job.teamId) ?? 0) + 1);
  }
  return [...view.fleet.teams.values()].map(({ teamId, shareWeight, upperLimit }) => ({
    teamId,
    weight: shareWeight,
    running: running.get(teamId) ?? NO_RESOURCES,
    maxNewJobs: upperLimit - (jobCounts.get(teamId) ?? 0),
  }));
}

/**
 * Returns the instance whose resources the job occupies now, or `null` if there is
 * none; a task that has ended occupies none.
 */
export function occupiedInstance(view: PoolView, job: Job): string | null {
  const planned = view.plannedInstance(job.jobId);
  if (planned !== undefined) return planned;
  if (!isOnWorker(job.state)) return null;
  const report = view.reportOf(job);
  const hasEnded = report !== undefined && report.phase !== 'running' && report.phase !== 'throttled';
  return hasEnded ? null : job.instanceId;
}

/** Returns the expected usage of a job, which is never less than its last report states. */
export function expectedDemand(view: PoolView, job: Job): Resources {
  const report = isOnWorker(job.state) ? view.reportOf(job) : undefined;
  return view.usage.estimate(job.queueId, declaredDemand(job), report?.usage ?? null);
}

function occupiedResources(view: PoolView, job: Job): Resources {
  const demand = expectedDemand(view, job);
  if (view.reportOf(job)?.phase !== 'throttled') return demand;
  return { ...demand, processors: demand.processors * THROTTLE_FRACTION };
}

function preemptibleTask(view: PoolView, job: Job, demand: Resources): PreemptibleTask {
  const report = view.reportOf(job);
  const ranMs = report?.ranMs ?? 0;
  return {
    jobId: job.jobId,
    demand,
    throttled: report?.phase === 'throttled',
    checkpointable: view.isCheckpointable(job),
    unsavedMs: ranMs,
    remainingMs: view.usage.expectedRunTimeMs(job.queueId, job.runTimeMs) - ranMs,
  };
}

function capacityOf({ processors, memoryBytes, accelerators }: Instance): Resources {
  return { processors, memoryBytes, accelerators };
}

/** Returns the jobs on workers by the id of their current task, to match the workers' reports. */
export function jobsByTaskId(jobs: readonly Job[]): ReadonlyMap<string, Job> {
  return new Map(jobs.filter(({ state }) => isOnWorker(state)).map((job) => [taskIdOf(job), job]));
}
