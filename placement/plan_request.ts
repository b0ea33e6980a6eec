/** Builds the planner's view of one pool. */
import { subtractResources, type Resources } from '../model/resources';
import type { FleetRules, QueueRule } from '../scheduling/fleet_rules';
import type { JobRecord, ReadyStep } from '../scheduling/job_record';
import type { PlanRequest, PlanStep, PlanWorker } from '../scheduling/placement_planner';
import type { QueueOrder, WaitingStep } from '../scheduling/queue_order';
import type { OpenJob } from './job_registry';
import type { PlacementState } from './placement_state';
import { criticalPathMs, totalWork } from './run_time_estimator';

/** A step waits this long for its data's rack before it runs elsewhere, in milliseconds. */
const REMOTE_WAIT_MS = 400;

/** Stands for "no limit" in a resource. */
const UNLIMITED = Number.MAX_SAFE_INTEGER;

/** A waiting step with what is needed to place it. */
export interface Candidate extends WaitingStep {
  readonly job: OpenJob;
  readonly queue: QueueRule;
  readonly readyStep: ReadyStep;
}

export interface CandidateOptions {
  readonly state: PlacementState;
  readonly rules: FleetRules;
  readonly nowMs: number;
  readonly unixMs: number;
}

/** Waiting steps of all pools, by pool. */
export function candidatesByPool(options: CandidateOptions): ReadonlyMap<string, readonly Candidate[]> {
  const byPool = new Map<string, Candidate[]>();
  const overShare = teamsOverShare(options);
  for (const job of options.state.jobs.openJobs()) {
    const queue = options.rules.queues.get(job.record.job.queueId);
    // A queue that the operator has removed starts nothing more.
    if (queue === undefined) continue;
    const ready = job.record.readySteps(options.unixMs);
    if (ready.length === 0) continue;
    const found = byPool.get(queue.poolId) ?? [];
    byPool.set(queue.poolId, found);
    for (const step of ready) found.push(candidate(job, queue, step, overShare, options));
  }
  return byPool;
}

/** Teams that use more processors than their weight gives them of all that is used by teams with open jobs. */
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

function candidate(
  job: OpenJob,
  queue: QueueRule,
  ready: ReadyStep,
  overShare: ReadonlySet<string>,
  { state, nowMs, unixMs }: CandidateOptions,
): Candidate {
  const { record } = job;
  const { definition, queueId } = record.job;
  const isOpen = (step: number): boolean => !record.isStepDone(ready.occurrence, step);
  const chainMs = state.estimator.expectedMs(
    queueId,
    criticalPathMs(definition, () => true),
  );
  const remainingMs = state.estimator.expectedMs(queueId, criticalPathMs(definition, isOpen));
  const dueMs = record.dueAtMs(ready.occurrence);
  const startMs = dueMs === 0 ? job.acceptedAtMs : nowMs + dueMs - unixMs;
  return {
    stepKey: `${record.job.jobId}.${ready.occurrence}.${ready.step}`,
    priority: queue.priority,
    isLongRunning: ready.definition.isLongRunning,
    isFiller: ready.definition.isFiller,
    slackMs: startMs + queue.stretch * chainMs + queue.targetLatencyMs - nowMs - remainingMs,
    remainingWork: totalWork(definition, isOpen),
    isOverShare: record.job.teamId !== null && overShare.has(record.job.teamId),
    arrivalNumber: job.arrivalNumber,
    job,
    queue,
    readyStep: ready,
  };
}

export interface PlanRequestOptions {
  readonly candidates: readonly Candidate[];
  readonly workers: readonly PlanWorker[];
  readonly order: QueueOrder;
  readonly state: PlacementState;
  readonly rules: FleetRules;
  readonly nowMs: number;
  readonly allowedWorkers: (candidate: Candidate) => ReadonlySet<string> | null;
}

export function buildPlanRequest(options: PlanRequestOptions): PlanRequest {
  const { candidates, workers, order, state, rules } = options;
  const steps = order.sort(candidates).map((found) => planStep(found, options));
  const teamIds = new Set(candidates.map(({ job }) => job.record.job.teamId));
  const teamRoom = new Map<string, Resources>();
  for (const teamId of teamIds) {
    const limit = teamId === null ? undefined : rules.teams.get(teamId)?.upperLimit;
    if (teamId !== null && limit !== undefined)
      teamRoom.set(teamId, remainingUnder(limit, state.occupancy.ofTeam(teamId)));
  }
  return { workers, steps, teamHeadroom: teamRoom };
}

/** What a team may still start under its limit; 0 in the limit means none. */
export function remainingUnder(limit: Resources, used: Resources): Resources {
  const open = {
    processors: limit.processors === 0 ? UNLIMITED : limit.processors,
    memoryBytes: limit.memoryBytes === 0 ? UNLIMITED : limit.memoryBytes,
    accelerators: limit.accelerators === 0 ? UNLIMITED : limit.accelerators,
  };
  return subtractResources(open, used);
}

function planStep(found: Candidate, { nowMs, allowedWorkers: allowed }: PlanRequestOptions): PlanStep {
  const { stepKey: stepId, job, readyStep: ready } = found;
  const { record } = job;
  const { definition, waiting, occurrence, step } = ready;
  const needsCounts = definition.maxPerWorker !== null || definition.isLongRunning;
  return {
    stepKey: stepId,
    teamId: record.job.teamId,
    definition,
    waiting,
    runsByWorker: needsCounts ? countByWorker(record, occurrence, step) : NONE_PLACED,
    failedWorkerIds: failedWorkers(record, ready),
    allowedWorkerIds: allowed(found),
    mayRunRemote: nowMs - job.acceptedAtMs > REMOTE_WAIT_MS,
    maxStarts: waiting.length,
  };
}

const NONE_PLACED: ReadonlyMap<string, number> = new Map();

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
