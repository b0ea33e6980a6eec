/** Plans where waiting tasks run, records the starts, and sends them once they are stored. */
import type { Clock } from '../kernel/clock';
import { addResources, fitsInto, NO_RESOURCES, subtractResources, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import { queueOf } from '../scheduling/job_queue';
import { occupiedBy } from '../scheduling/job_definition';
import type { RunResult, TaskRun } from '../scheduling/job_record';
import {
  planPool,
  type Assignment,
  type PlanRequest,
  type PlanWorker,
} from '../scheduling/placement_planner';
import { SlackOrder } from '../scheduling/queue_order';
import type { StartLimiter } from '../scheduling/start_limiter';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { AdviceCache } from './advice_cache';
import type { InstanceController } from './instance_controller';
import type { OpenJob } from './job_registry';
import type { FencedWriter } from './fenced_writer';
import type { InterferenceTracker } from './interference_tracker';
import type { LoadReport } from './load_report';
import type { PlacementState, RecordedRun } from './placement_state';
import { buildPlanRequest, candidatesByPool, type Candidate } from './plan_request';
import type { PoolDemandTracker } from './pool_demand';
import type { PoolShortage } from './pool_shortage';
import { needsSpeculativeCopy, observedRuns } from './straggler_detection';
import type { SuspectIsolation } from './suspect_isolation';
import type { WorkerAddressKeeper } from './worker_address_keeper';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerHealth } from './worker_health';
import type { WorkerSession } from './worker_session';
import type { ZoneGate } from './zone_gate';

/**
 * Long-running tasks that have fitted on no worker for this long, in milliseconds,
 * preempt batch runs of the same or a lower priority.
 */
const PREEMPT_AFTER_MS = 500;

/** Share of a worker's processors that must stay free after a speculative copy is placed there. */
const SPECULATION_RESERVE = 0.25;

export interface TaskPlacerOptions {
  readonly clock: Clock;
  readonly writer: FencedWriter;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly health: WorkerHealth;
  readonly instanceController: InstanceController;
  readonly advice: AdviceCache;
  readonly demand: PoolDemandTracker;
  readonly limiter: StartLimiter;
  readonly shortage: PoolShortage;
  readonly isolation: SuspectIsolation;
  readonly loadReport: LoadReport;
  readonly zoneGate: ZoneGate;
  readonly workerAddresses: WorkerAddressKeeper;
  readonly interference: InterferenceTracker;
  readonly rules: () => FleetRules | null;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Called when a recorded start is not sent after all. */
  readonly onNotSent: (result: RunResult) => void;
}

export class TaskPlacer {
  private readonly order = new SlackOrder();
  /** Since when a long-running step has waiting tasks that fit on no worker, by step. */
  private readonly unplacedSinceMs = new Map<string, number>();

  /** Pools in which steps wait because their team, or this process, has reached its limit. */
  private readonly limitedPoolIds = new Set<string>();
  /** Whether the latest pass left out tasks that this process cannot start yet. */
  private isStartLimited = false;

  constructor(private readonly options: TaskPlacerOptions) {}

  /**
   * Plans the given pools, or all of them for `null`, and the pools in which a team's
   * limit has held steps back, since a run that ends anywhere may have made room under it.
   * `unixMs` is the time against which due times of jobs are compared. Returns whether
   * tasks were left out that this process cannot start yet.
   */
  plan(rules: FleetRules, unixMs: number, changedPoolIds: ReadonlySet<string> | null): boolean {
    this.isStartLimited = false;
    const { state, clock } = this.options;
    const nowMs = clock.monotonicMs();
    const poolIds = changedPoolIds === null ? null : new Set([...changedPoolIds, ...this.limitedPoolIds]);
    const byPool = candidatesByPool({ state, rules, nowMs, unixMs, poolIds });
    for (const poolId of poolIds ?? [...this.limitedPoolIds])
      if (!byPool.has(poolId)) this.limitedPoolIds.delete(poolId);
    // A burst in one pool does not use up the starts of pools in which few tasks wait.
    const pools = [...byPool].sort(([, a], [, b]) => waitingTasks(a) - waitingTasks(b));
    for (const [poolId, candidates] of pools) this.planPool(poolId, candidates, rules, nowMs);
    return this.isStartLimited;
  }

  /** Records the waiting steps, from which the desired pool sizes are computed, and returns them by pool. */
  recordWaiting(rules: FleetRules, unixMs: number): ReadonlyMap<string, readonly Candidate[]> {
    const { state, clock, demand } = this.options;
    const byPool = candidatesByPool({ state, rules, nowMs: clock.monotonicMs(), unixMs, poolIds: null });
    demand.recordWaiting(byPool);
    return byPool;
  }

  /** Starts a second run of each speculative task that takes unusually long. */
  startSpeculativeCopies(rules: FleetRules): void {
    const { fleet, state, clock } = this.options;
    const nowMs = clock.monotonicMs();
    for (const session of fleet.all()) {
      for (const [run, observed] of observedRuns(session, state)) {
        if (needsSpeculativeCopy(run, observed, state, nowMs)) this.startSpeculativeCopy(run, rules);
      }
    }
  }

  private planPool(poolId: string, waiting: readonly Candidate[], rules: FleetRules, nowMs: number): void {
    const { limiter, loadReport, counters, isolation, interference } = this.options;
    const { suspects, others: candidates } = isolation.separate(poolId, waiting, nowMs);
    const areSuspectsWaiting =
      suspects.length > 0 && this.placeSuspects(poolId, suspects, candidates.length > 0, rules, nowMs);
    const workers = isolation.openWorkers({ poolId, candidates, workers: this.workersOf(poolId), nowMs });
    const spreadsTasks = isolation.isAlerted(poolId, nowMs);
    const { assignments, unplaced, isLimitReached, isStartLimited } = planPool({
      ...this.request(candidates, workers, rules, nowMs),
      spreadsTasks,
      interference: interference.costFor(poolId, candidates),
    });
    limiter.take(assignments.length);
    this.options.shortage.recordPass(poolId, { unplaced, isStartLimited }, nowMs);
    if (isStartLimited) {
      counters.increment('placement.starts_deferred');
      this.isStartLimited = true;
    }
    const isSpread = spreadsTasks && unplaced.length > 0;
    if (isStartLimited) loadReport.recordHeld(poolId, 'starts');
    if (isLimitReached) loadReport.recordHeld(poolId, 'team_limit');
    if (unplaced.length > 0 && !isLimitReached) loadReport.recordHeld(poolId, 'room');
    if (areSuspectsWaiting || isSpread) this.isStartLimited = true;
    if (isLimitReached || isStartLimited || areSuspectsWaiting || isSpread) this.limitedPoolIds.add(poolId);
    else this.limitedPoolIds.delete(poolId);
    this.preemptForLongRunning(candidates, new Set(unplaced), poolId, nowMs);
    if (assignments.length === 0) return;
    const byStep = new Map(candidates.map((candidate) => [candidate.stepKey, candidate]));
    const runs = assignments.flatMap((assignment) => {
      const candidate = byStep.get(assignment.stepKey);
      return candidate === undefined ? [] : [this.assign(candidate, assignment, assignments)];
    });
    this.sendAfterCommit(runs);
  }

  private request(
    candidates: readonly Candidate[],
    workers: readonly PlanWorker[],
    rules: FleetRules,
    nowMs: number,
  ): PlanRequest {
    const { state, limiter } = this.options;
    const workerIds = workers.map(({ workerId }) => workerId);
    return buildPlanRequest({
      candidates,
      workers,
      order: this.order,
      state,
      rules,
      nowMs,
      maxStarts: limiter.available(nowMs),
      allowedWorkers: (candidate) => this.allowedWorkers(candidate, workerIds),
    });
  }

  /** Places the tasks that are suspected of crashing their workers. Returns whether some of them wait. */
  private placeSuspects(
    poolId: string,
    suspects: readonly Candidate[],
    areOthersWaiting: boolean,
    rules: FleetRules,
    nowMs: number,
  ): boolean {
    const { isolation, limiter, counters, logger } = this.options;
    return isolation.place({
      poolId,
      suspects: this.order.sort(suspects),
      workers: this.workersOf(poolId),
      areOthersWaiting,
      nowMs,
      plan: (suspect, workers) => planPool(this.request([suspect], workers, rules, nowMs)).assignments,
      start: (suspect, assignments) => {
        limiter.take(assignments.length);
        counters.increment('placement.suspect_started', undefined, assignments.length);
        const runs = assignments.map((assignment) => this.assign(suspect, assignment, assignments));
        for (const [{ record }, { task, run, workerId }] of runs)
          logger.info(LOG_EVENTS.suspectPlaced, { ...task, run, workerId, ...record.crashesOf(task) });
        this.sendAfterCommit(runs);
      },
    });
  }

  private allowedWorkers(
    { job, queue, readyStep }: Candidate,
    workerIds: readonly string[],
  ): ReadonlySet<string> | null {
    if (queue.advice === null) return null;
    const step = { jobId: job.record.job.jobId, occurrence: readyStep.occurrence, step: readyStep.step };
    return new Set(this.options.advice.tickets(step, queue.advice, workerIds).keys());
  }

  /** Workers of a pool on which tasks may be placed now. */
  workersOf(poolId: string): readonly PlanWorker[] {
    const { fleet, instanceController, health, state, zoneGate } = this.options;
    const zones = zoneGate.current();
    const usable = fleet
      .inPool(poolId)
      .filter(
        (session) =>
          session.isUsable() &&
          zoneGate.isOpen(session.entry, zones) &&
          fleet.isListed(session.worker.workerId) &&
          !instanceController.isDraining(session),
      );
    const healthy = usable.filter(({ worker }) => !health.isSuspected(worker.workerId));
    // If all workers are suspected of being faulty, the fault is probably not in the workers, so none is limited.
    const areSuspectsLimited = healthy.length > 0;
    return usable.map(({ entry, worker }) => ({
      workerId: worker.workerId,
      isDueForMaintenance: instanceController.isDueForMaintenance(entry.instanceId),
      rack: entry.rack,
      labels: entry.labels,
      capacity: entry.capacity,
      free: subtractResources(entry.capacity, state.occupancy.onWorker(worker.workerId)),
      maxNewTasks: areSuspectsLimited
        ? health.maxNewTasks(worker.workerId, state.runCountOn(worker.workerId))
        : Infinity,
    }));
  }

  private assign(
    { job, readyStep }: Candidate,
    { index, workerId, stepKey }: Assignment,
    allAssignments: readonly Assignment[],
  ): readonly [OpenJob, TaskRun] {
    const { record } = job;
    const { occurrence, step, definition } = readyStep;
    const task = { jobId: record.job.jobId, occurrence, step, index };
    const members = definition.isGang
      ? allAssignments
          .filter((other) => other.stepKey === stepKey)
          .map((other) => ({ ...task, index: other.index }))
      : [task];
    // All members of a gang get the same run number: the others reuse that of the first one to be assigned.
    const assignedRun = Math.max(
      0,
      ...members.flatMap((member) => record.task(member).runs.map(({ run }) => run)),
    );
    const run = assignedRun > 0 ? assignedRun : record.nextRun(members);
    return [
      job,
      this.record(job, { task, run, workerId, workerStartedAtMs: this.workerStartedAtMs(workerId) }),
    ];
  }

  private workerStartedAtMs(workerId: string): number {
    return this.options.fleet.get(workerId)?.entry.startedAtMs ?? 0;
  }

  private record({ record }: OpenJob, run: TaskRun): TaskRun {
    this.options.state.addRun(record, run);
    // In the transaction of the run, so that a successor that reads the run can reach the worker.
    const session = this.options.fleet.get(run.workerId);
    if (session !== undefined) this.options.workerAddresses.record(session.entry);
    return run;
  }

  private sendAfterCommit(runs: readonly (readonly [OpenJob, TaskRun])[]): void {
    this.options.writer.afterCommit(() => {
      for (const [job, run] of runs) this.send(job, run);
    });
  }

  /** Sends a recorded start, unless it has become obsolete in the meantime. */
  private send({ record }: OpenJob, run: TaskRun): void {
    const { fleet, writer, state, counters, advice, loadReport, zoneGate } = this.options;
    const session = fleet.get(run.workerId);
    const isSameReadyWorker =
      session?.entry.startedAtMs === run.workerStartedAtMs && session.entry.state === 'ready';
    // The capacity may have shrunk since the start was planned.
    const hasRoom =
      session !== undefined && fitsInto(state.occupancy.onWorker(run.workerId), session.entry.capacity);
    const maySend = isSameReadyWorker && hasRoom && writer.isValid() && state.shouldStart(record, run);
    if (!maySend || !zoneGate.maySend(run, session.entry)) {
      this.options.onNotSent({ ...run, outcome: 'lost', checkpoint: '' });
      return;
    }
    counters.increment('placement.started');
    loadReport.recordStart();
    this.options.logger.info(LOG_EVENTS.taskStarted, { ...run.task, run: run.run, workerId: run.workerId });
    session.start({
      task: run.task,
      run: run.run,
      spec: record.job.definition.spec,
      checkpoint: record.checkpointOf(run.task),
      ticket: advice.ticket(run.task, run.workerId),
    });
  }

  private startSpeculativeCopy(run: RecordedRun, rules: FleetRules): void {
    const { record, task } = run;
    const job = this.options.state.jobs.get(task.jobId);
    const queue = queueOf(rules, record.job);
    if (job === undefined || queue?.advice !== null) return;
    const step = record.step(task.step);
    const demand = occupiedBy(step);
    if (record.isSuspect(task)) return;
    const nowMs = this.options.clock.monotonicMs();
    const { poolId } = queue;
    const workers = this.options.isolation.openWorkers({
      poolId,
      candidates: [],
      workers: this.workersOf(poolId),
      nowMs,
    });
    const destination = workers.find(
      (worker) =>
        worker.workerId !== run.workerId &&
        worker.maxNewTasks > 0 &&
        fitsInto(withReserve(demand, worker.capacity), worker.free) &&
        (step.requiredLabel === null || worker.labels.includes(step.requiredLabel)) &&
        this.isBelowPerWorkerLimit(run, worker.workerId) &&
        this.isBelowTeamLimit(run, rules),
    );
    if (destination === undefined) return;
    this.options.counters.increment('placement.copied');
    const copy = {
      task,
      run: record.nextRun([task]),
      workerId: destination.workerId,
      workerStartedAtMs: this.workerStartedAtMs(destination.workerId),
    };
    this.sendAfterCommit([[job, this.record(job, copy)]]);
  }

  private isBelowPerWorkerLimit({ record, task }: RecordedRun, workerId: string): boolean {
    const { maxPerWorker } = record.step(task.step);
    if (maxPerWorker === null) return true;
    const runsOnWorker = record
      .runsOfStep(task.occurrence, task.step)
      .filter((other) => other.workerId === workerId);
    return runsOnWorker.length < maxPerWorker;
  }

  private isBelowTeamLimit({ record, task }: RecordedRun, rules: FleetRules): boolean {
    const { teamId } = record.job;
    const limit = teamId === null ? undefined : rules.teams.get(teamId)?.upperLimit;
    if (teamId === null || limit === undefined) return true;
    const used = this.options.state.occupancy.ofTeam(teamId);
    const { demand } = record.step(task.step);
    const isWithinLimit = (maximum: number, inUse: number, added: number): boolean =>
      maximum === 0 || inUse + added <= maximum;
    return (
      isWithinLimit(limit.processors, used.processors, demand.processors) &&
      isWithinLimit(limit.memoryBytes, used.memoryBytes, demand.memoryBytes) &&
      isWithinLimit(limit.accelerators, used.accelerators, demand.accelerators)
    );
  }

  /** Preempts batch runs for long-running tasks that have fitted on no worker for {@link PREEMPT_AFTER_MS}. */
  private preemptForLongRunning(
    candidates: readonly Candidate[],
    unplaced: ReadonlySet<string>,
    poolId: string,
    nowMs: number,
  ): void {
    for (const candidate of candidates) {
      if (!candidate.isLongRunning) continue;
      if (!unplaced.has(candidate.stepKey)) {
        this.unplacedSinceMs.delete(candidate.stepKey);
        continue;
      }
      const unplacedSinceMs = this.unplacedSinceMs.get(candidate.stepKey) ?? nowMs;
      this.unplacedSinceMs.set(candidate.stepKey, unplacedSinceMs);
      if (nowMs - unplacedSinceMs < PREEMPT_AFTER_MS) continue;
      this.unplacedSinceMs.set(candidate.stepKey, nowMs);
      this.preempt(candidate, poolId);
    }
  }

  private preempt({ readyStep, priority, queue }: Candidate, poolId: string): void {
    const { fleet, counters, logger } = this.options;
    const demand = occupiedBy(readyStep.definition);
    // On a worker over its capacity, more runs would have to stop than make room for the task.
    const workers = [...this.workersOf(poolId)].sort((a, b) => Number(isOverfull(a)) - Number(isOverfull(b)));
    for (const { workerId, free, labels } of workers) {
      const session = fleet.get(workerId);
      const { requiredLabel } = readyStep.definition;
      if (session === undefined || (requiredLabel !== null && !labels.includes(requiredLabel))) continue;
      const victims = this.chooseVictims(session, demand, free, priority);
      if (victims === null) continue;
      for (const { task, run } of victims) session.stop(task, run);
      counters.increment('placement.preempted', undefined, victims.length);
      logger.info(LOG_EVENTS.runReplaced, {
        reason: 'preempted by a long-running task',
        queueId: queue.queueId,
        workerId,
      });
      return;
    }
  }

  /**
   * Selects runs on a worker whose end frees enough for `demand`, except members of
   * gangs, long-running tasks, and runs more urgent than `priority`. Returns `null` if
   * they do not suffice.
   */
  private chooseVictims(
    session: WorkerSession,
    demand: Resources,
    free: Resources,
    priority: number,
  ): readonly TaskRun[] | null {
    const chosen: TaskRun[] = [];
    let available = free;
    for (const run of this.options.state.runsOn(session.worker.workerId)) {
      if (fitsInto(demand, available)) break;
      const step = run.record.step(run.task.step);
      if (step.isLongRunning || step.isGang || this.priorityOf(run) < priority) continue;
      const freed = occupiedBy(step);
      available = addResources(available, freed);
      chosen.push(run);
    }
    return fitsInto(demand, available) ? chosen : null;
  }

  private priorityOf({ record }: RecordedRun): number {
    return queueOf(this.options.rules(), record.job)?.priority ?? 0;
  }
}

function isOverfull({ free }: PlanWorker): boolean {
  return !fitsInto(NO_RESOURCES, free);
}

function withReserve(demand: Resources, capacity: Resources): Resources {
  return { ...demand, processors: demand.processors + capacity.processors * SPECULATION_RESERVE };
}

function waitingTasks(candidates: readonly Candidate[]): number {
  return candidates.reduce((sum, { readyStep }) => sum + readyStep.waiting.length, 0);
}
