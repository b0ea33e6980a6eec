/** Builds the planner's input for one pool. */
import { subtractResources, type Resources } from '../model/resources';
import type { FleetRules, QueueRule } from '../scheduling/fleet_rules';
import type { JobDefinition } from '../scheduling/job_definition';
import { queueOf } from '../scheduling/job_queue';
import type { JobRecord, ReadyStep } from '../scheduling/job_record';
import type { PlanRequest, PlanStep, PlanWorker } from '../scheduling/placement_planner';
import { USEFUL_TIME_FACTOR, type QueueOrder, type WaitingStep } from '../scheduling/queue_order';
import type { OpenJob } from './job_registry';
import type { PlacementState } from './placement_state';
import { criticalPathMs, totalWork, type RunTimeEstimator } from './run_time_estimator';

/** A step waits this long for the rack of its data before it may run on another one, in milliseconds. */
const REMOTE_WAIT_MS = 400;

/**
 * Value of any job's result, as a fraction of the mean work of its queue. The rest of a
 * job's value is in proportion to its work, as the callers of the platform count it.
 */
export const BASE_VALUE = 0.43;

/** Amount of a resource that no team reaches, where there is no limit. */
const UNLIMITED = Number.MAX_SAFE_INTEGER;

/** A waiting step with the data that is needed to place it. */
export interface Candidate extends WaitingStep {
  readonly job: OpenJob;
  readonly queue: QueueRule;
  readonly readyStep: ReadyStep;
}

export interface CandidateOptions {
  readonly state: PlacementState;
  readonly rules: FleetRules;
  /** Current time on the monotonic clock. */
  readonly nowMs: number;
  /** Current Unix time by the workers' clocks, against which due times are compared. */
  readonly unixMs: number;
  /** The pools to look at; `null` for all. */
  readonly poolIds: ReadonlySet<string> | null;
}

/** Waiting steps, by pool. */
export function candidatesByPool(options: CandidateOptions): ReadonlyMap<string, readonly Candidate[]> {
  const found = findReadySteps(options);
  const overShare = teamsOverShare(options);
  const meanWork = meanWorkByQueue(found);
  const byPool = new Map<string, Candidate[]>();
  for (const step of found) {
    const { poolId, queueId } = step.queue;
    const candidates = byPool.get(poolId) ?? [];
    byPool.set(poolId, candidates);
    candidates.push(candidateOf(step, { overShare, meanWork: meanWork.get(queueId) ?? 0 }, options));
  }
  return byPool;
}

function findReadySteps({ state, rules, unixMs, poolIds }: CandidateOptions): readonly FoundStep[] {
  const found: FoundStep[] = [];
  for (const job of state.jobs.openJobs()) {
    const queue = queueOf(rules, job.record.job);
    if (queue === undefined || poolIds?.has(queue.poolId) === false) continue;
    const readySteps = job.record.readySteps(unixMs);
    for (const step of readySteps) found.push({ job, queue, step, readySteps });
  }
  return found;
}

/** Mean work of the jobs with waiting steps, by queue. */
export function meanWorkByQueue(
  found: readonly Pick<FoundStep, 'job' | 'queue'>[],
): ReadonlyMap<string, number> {
  const sums = new Map<string, { readonly work: number; readonly count: number }>();
  for (const { job, queue } of found) {
    const { work, count } = sums.get(queue.queueId) ?? { work: 0, count: 0 };
    sums.set(queue.queueId, { work: work + wholeJob(job.record.job.definition).work, count: count + 1 });
  }
  return new Map([...sums].map(([queueId, { work, count }]) => [queueId, work / count]));
}

/**
 * Teams whose fraction of the processors used by all teams with open jobs exceeds their
 * fraction of the weights.
 */
function teamsOverShare({ state, rules }: CandidateOptions): ReadonlySet<string> {
  const teamIds = new Set<string>();
  for (const { record } of state.jobs.openJobs())
    if (record.job.teamId !== null) teamIds.add(record.job.teamId);
  const teams = [...teamIds].map((teamId) => ({
    teamId,
    weight: rules.teams.get(teamId)?.shareWeight ?? 0,
    used: state.occupancy.ofTeam(teamId).processors,
  }));
  const weight = teams.reduce((sum, team) => sum + team.weight, 0);
  const used = teams.reduce((sum, team) => sum + team.used, 0);
  return new Set(teams.filter((team) => team.used * weight > used * team.weight).map(({ teamId }) => teamId));
}

interface FoundStep {
  readonly job: OpenJob;
  readonly queue: QueueRule;
  readonly step: ReadyStep;
  /** All ready steps of the job. */
  readonly readySteps: readonly ReadyStep[];
}

interface Comparison {
  readonly overShare: ReadonlySet<string>;
  /** Mean work of the waiting jobs of the same queue. */
  readonly meanWork: number;
}

/** What is left of an occurrence: the estimated length of its steps, and the tasks that have not started. */
interface RemainingPath {
  readonly occurrence: number;
  readonly criticalPathMs: number;
  readonly startCount: number;
}

/** Estimates for one occurrence of a job. */
interface WholeJob {
  readonly criticalPathMs: number;
  /** In core-milliseconds. */
  readonly work: number;
}

/**
 * Paths of jobs, by their ready steps: a job record returns the same array until one of
 * its tasks changes. Planning passes are more frequent than changes of one job.
 */
const remainingPaths = new WeakMap<readonly ReadyStep[], RemainingPath>();
const wholeJobs = new WeakMap<JobDefinition, WholeJob>();

function wholeJob(definition: JobDefinition): WholeJob {
  const known = wholeJobs.get(definition);
  if (known !== undefined) return known;
  const isPending = (): boolean => true;
  const whole = {
    criticalPathMs: criticalPathMs(definition, isPending),
    work: totalWork(definition, isPending),
  };
  wholeJobs.set(definition, whole);
  return whole;
}

/** Time within which a job should end, as its queue promises. */
export function targetMs(definition: JobDefinition, queue: QueueRule, estimator: RunTimeEstimator): number {
  return (
    queue.stretch * estimator.expectedMs(queue.queueId, wholeJob(definition).criticalPathMs) +
    queue.targetLatencyMs
  );
}

function remainingPath(
  { record }: OpenJob,
  readySteps: readonly ReadyStep[],
  occurrence: number,
): RemainingPath {
  const known = remainingPaths.get(readySteps);
  if (known?.occurrence === occurrence) return known;
  const { definition } = record.job;
  const isPending = (step: number): boolean => !record.isStepDone(occurrence, step);
  const path = {
    occurrence,
    criticalPathMs: criticalPathMs(definition, isPending),
    startCount: startsLeft(
      definition,
      readySteps.filter((ready) => ready.occurrence === occurrence),
      isPending,
    ),
  };
  remainingPaths.set(readySteps, path);
  return path;
}

/** Number of tasks of an occurrence that have not started; those of ready steps wait. */
function startsLeft(
  { steps }: JobDefinition,
  readySteps: readonly ReadyStep[],
  isPending: (step: number) => boolean,
): number {
  const isReady = new Set(readySteps.map(({ step }) => step));
  const waiting = readySteps.reduce((sum, step) => sum + step.waiting.length, 0);
  return steps.reduce(
    (sum, { taskCount }, step) => (isPending(step) && !isReady.has(step) ? sum + taskCount : sum),
    waiting,
  );
}

function candidateOf(
  { job, queue, step: readyStep, readySteps }: FoundStep,
  { overShare, meanWork }: Comparison,
  { state, nowMs, unixMs }: CandidateOptions,
): Candidate {
  const { record } = job;
  const { definition, queueId } = record.job;
  const remaining = remainingPath(job, readySteps, readyStep.occurrence);
  const remainingMs = state.estimator.expectedMs(queueId, remaining.criticalPathMs);
  const dueAtMs = record.dueAtMs(readyStep.occurrence);
  const startAtMs = dueAtMs === 0 ? job.acceptedAtMs : nowMs + dueAtMs - unixMs;
  const jobTargetMs = targetMs(definition, queue, state.estimator);
  const slackMs = startAtMs + jobTargetMs - nowMs - remainingMs;
  return {
    stepKey: `${record.job.jobId}.${readyStep.occurrence}.${readyStep.step}`,
    priority: queue.priority,
    isLongRunning: readyStep.definition.isLongRunning,
    isFiller: readyStep.definition.isFiller,
    slackMs,
    usefulSlackMs: slackMs + (USEFUL_TIME_FACTOR - 1) * jobTargetMs,
    valuePerStart: (BASE_VALUE * meanWork + wholeJob(definition).work) / remaining.startCount,
    isOverShare: record.job.teamId !== null && overShare.has(record.job.teamId),
    arrivalNumber: job.arrivalNumber,
    job,
    queue,
    readyStep,
  };
}

export interface PlanRequestOptions {
  readonly candidates: readonly Candidate[];
  readonly workers: readonly PlanWorker[];
  readonly order: QueueOrder;
  readonly state: PlacementState;
  readonly rules: FleetRules;
  readonly nowMs: number;
  /** Maximum number of tasks to start; see {@link PlanRequest.maxStarts}. */
  readonly maxStarts: number;
  /** Workers on which the queue's policy permits a step; `null` if the queue has no policy. */
  readonly allowedWorkers: (candidate: Candidate) => ReadonlySet<string> | null;
}

export function buildPlanRequest(options: PlanRequestOptions): PlanRequest {
  const { candidates, workers, order, state, rules, maxStarts } = options;
  const steps = order.sort(candidates).map((candidate) => planStep(candidate, options));
  const teamIds = new Set(candidates.map(({ job }) => job.record.job.teamId));
  const teamHeadroom = new Map<string, Resources>();
  for (const teamId of teamIds) {
    const limit = teamId === null ? undefined : rules.teams.get(teamId)?.upperLimit;
    if (teamId !== null && limit !== undefined)
      teamHeadroom.set(teamId, remainingUnder(limit, state.occupancy.ofTeam(teamId)));
  }
  return { workers, steps, teamHeadroom, maxStarts };
}

/** Resources that a team may still use under its limit; 0 in the limit means no limit. */
export function remainingUnder(limit: Resources, used: Resources): Resources {
  const limitOrUnlimited = {
    processors: limit.processors === 0 ? UNLIMITED : limit.processors,
    memoryBytes: limit.memoryBytes === 0 ? UNLIMITED : limit.memoryBytes,
    accelerators: limit.accelerators === 0 ? UNLIMITED : limit.accelerators,
  };
  return subtractResources(limitOrUnlimited, used);
}

function planStep(candidate: Candidate, { nowMs, allowedWorkers }: PlanRequestOptions): PlanStep {
  const { stepKey, job, readyStep } = candidate;
  const { record } = job;
  const { definition, waiting, occurrence, step } = readyStep;
  const needsCounts = definition.maxPerWorker !== null || definition.isLongRunning;
  return {
    stepKey,
    teamId: record.job.teamId,
    definition,
    waiting,
    runsByWorker: needsCounts ? countByWorker(record, occurrence, step) : NO_RUNS,
    failedWorkerIds: failedWorkers(record, readyStep),
    allowedWorkerIds: allowedWorkers(candidate),
    mayRunRemote: nowMs - job.acceptedAtMs > REMOTE_WAIT_MS,
  };
}

const NO_RUNS: ReadonlyMap<string, number> = new Map();

function countByWorker(record: JobRecord, occurrence: number, step: number): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { workerId } of record.runsOfStep(occurrence, step)) {
    counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
  }
  return counts;
}

function failedWorkers(record: JobRecord, { occurrence, step, waiting }: ReadyStep): ReadonlySet<string> {
  return new Set(waiting.flatMap((index) => record.failedWorkers({ occurrence, step, index })));
}
