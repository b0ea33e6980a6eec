/** Plans rounds of placement, records the starts, and sends them once they are stored. */
import type { Clock } from '../kernel/clock';
import { addResources, fitsInto, subtractResources, type Resources } from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import { occupiedBy } from '../scheduling/job_definition';
import type { RunResult, TaskRun } from '../scheduling/job_record';
import { planPool, type Assignment, type PlanWorker } from '../scheduling/placement_planner';
import { SlackOrder } from '../scheduling/queue_order';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { AdviceCache } from './advice_cache';
import type { InstanceController } from './instance_controller';
import type { OpenJob } from './job_registry';
import type { FencedWriter } from './fenced_writer';
import type { PlacementState, RecordedRun } from './placement_state';
import { buildPlanRequest, candidatesByPool, type Candidate } from './plan_request';
import type { PoolDemandTracker } from './pool_demand';
import { needsSpeculativeCopy, observedRuns } from './straggler_detection';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerHealth } from './worker_health';
import type { WorkerSession } from './worker_session';

/** Lasting tasks that found no room for this long push batch work of lower urgency aside, in milliseconds. */
const PREEMPT_AFTER_MS = 500;

/** Room that copies leave to other tasks, as a part of a worker. */
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
  readonly rules: () => FleetRules | null;
  readonly counters: Counters;
  readonly logger: Logger;
  /** A recorded start will not be sent. */
  readonly onNotSent: (end: RunResult) => void;
}

export class TaskPlacer {
  private readonly order = new SlackOrder();
  /** Since when a lasting step has found no room. */
  private readonly unplacedSinceMs = new Map<string, number>();

  constructor(private readonly options: TaskPlacerOptions) {}

  /** Plans all pools. `unixMs` is the time by which jobs fall due. */
  plan(rules: FleetRules, unixMs: number): void {
    const { state, clock } = this.options;
    const nowMs = clock.monotonicMs();
    const byPool = candidatesByPool({ state, rules, nowMs, unixMs });
    for (const [poolId, candidates] of byPool) this.planPool(poolId, candidates, rules, nowMs);
  }

  /** Notes what still waits, for the sizes of the pools. */
  recordWaiting(rules: FleetRules, unixMs: number): void {
    const { state, clock, demand } = this.options;
    demand.recordWaiting(candidatesByPool({ state, rules, nowMs: clock.monotonicMs(), unixMs }));
  }

  /** Starts second runs of speculative tasks that take unusually long. */
  startSpeculativeCopies(rules: FleetRules): void {
    const { fleet, state, clock } = this.options;
    const nowMs = clock.monotonicMs();
    for (const session of fleet.all()) {
      for (const [run, seen] of observedRuns(session, state)) {
        if (needsSpeculativeCopy(run, seen, state, nowMs)) this.startSpeculativeCopy(run, rules);
      }
    }
  }

  private planPool(poolId: string, candidates: readonly Candidate[], rules: FleetRules, nowMs: number): void {
    const { state } = this.options;
    const workers = this.workersOf(poolId);
    const workerIds = workers.map(({ workerId }) => workerId);
    const request = buildPlanRequest({
      candidates,
      workers,
      order: this.order,
      state,
      rules,
      nowMs,
      allowedWorkers: (candidate) => this.allowedWorkers(candidate, workerIds),
    });
    const { assignments, unplaced } = planPool(request);
    this.preemptForLongRunning(candidates, new Set(unplaced), poolId, nowMs);
    if (assignments.length === 0) return;
    const byStep = new Map(candidates.map((candidate) => [candidate.stepKey, candidate]));
    const runs = assignments.flatMap((assignment) => {
      const candidate = byStep.get(assignment.stepKey);
      return candidate === undefined ? [] : [this.assign(candidate, assignment, assignments)];
    });
    this.sendAfterCommit(runs);
  }

  private allowedWorkers(
    { job, queue, readyStep: ready }: Candidate,
    workerIds: readonly string[],
  ): ReadonlySet<string> | null {
    if (queue.advice === null) return null;
    const step = { jobId: job.record.job.jobId, occurrence: ready.occurrence, step: ready.step };
    return new Set(this.options.advice.tickets(step, queue.advice, workerIds).keys());
  }

  private workersOf(poolId: string): readonly PlanWorker[] {
    const { fleet, instanceController: keeper, health, state } = this.options;
    const usable = [...fleet.all()].filter(
      (session) =>
        session.entry.poolId === poolId &&
        session.isUsable() &&
        fleet.isListed(session.worker.workerId) &&
        !keeper.isDraining(session),
    );
    const healthy = usable.filter(({ worker }) => !health.isSuspected(worker.workerId));
    // Where all workers are suspected, the fault is elsewhere.
    const isJudged = healthy.length > 0;
    return usable.map(({ entry, worker }) => ({
      workerId: worker.workerId,
      isDueForMaintenance: keeper.isDueForMaintenance(entry.instanceId),
      rack: entry.rack,
      labels: entry.labels,
      capacity: entry.capacity,
      free: subtractResources(entry.capacity, state.occupancy.onWorker(worker.workerId)),
      maxNewTasks: isJudged
        ? health.maxNewTasks(worker.workerId, state.runCountOn(worker.workerId))
        : Infinity,
    }));
  }

  private assign(
    { job, readyStep: ready }: Candidate,
    { index, workerId, stepKey: stepId }: Assignment,
    all: readonly Assignment[],
  ): readonly [OpenJob, TaskRun] {
    const { record } = job;
    const { occurrence, step, definition } = ready;
    const task = { jobId: record.job.jobId, occurrence, step, index };
    const members = definition.isGang
      ? all.filter((other) => other.stepKey === stepId).map((other) => ({ ...task, index: other.index }))
      : [task];
    // Members that have already got this round's number must not raise it for the others.
    const given = Math.max(0, ...members.flatMap((member) => record.task(member).runs.map(({ run }) => run)));
    const run = given > 0 ? given : record.nextRun(members);
    return [job, this.record(job, { task, run, workerId, workerStartedAtMs: this.bornMs(workerId) })];
  }

  private bornMs(workerId: string): number {
    return this.options.fleet.get(workerId)?.entry.startedAtMs ?? 0;
  }

  private record({ record }: OpenJob, run: TaskRun): TaskRun {
    this.options.state.addRun(record, run);
    return run;
  }

  private sendAfterCommit(runs: readonly (readonly [OpenJob, TaskRun])[]): void {
    this.options.writer.afterCommit(() => {
      for (const [job, run] of runs) this.send(job, run);
    });
  }

  /** Sends a start that is recorded, unless it has become pointless meanwhile. */
  private send({ record }: OpenJob, run: TaskRun): void {
    const { fleet, writer: journal, state, counters, advice } = this.options;
    const session = fleet.get(run.workerId);
    const isFitting = session?.entry.startedAtMs === run.workerStartedAtMs && session.entry.state === 'ready';
    if (!isFitting || !journal.isValid() || !state.isWanted(record, run)) {
      this.options.onNotSent({ ...run, outcome: 'lost', checkpoint: '' });
      return;
    }
    counters.increment('placement.started');
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
    const queue = rules.queues.get(record.job.queueId);
    if (job === undefined || queue?.advice !== null) return;
    const step = record.step(task.step);
    const demand = occupiedBy(step);
    const target = this.workersOf(queue.poolId).find(
      (worker) =>
        worker.workerId !== run.workerId &&
        worker.maxNewTasks > 0 &&
        fitsInto(addReserve(demand, worker.capacity), worker.free) &&
        (step.requiredLabel === null || worker.labels.includes(step.requiredLabel)) &&
        this.isBelowPerWorkerLimit(run, worker.workerId) &&
        this.isBelowTeamLimit(run, rules),
    );
    if (target === undefined) return;
    this.options.counters.increment('placement.copied');
    const copy = {
      task,
      run: record.nextRun([task]),
      workerId: target.workerId,
      workerStartedAtMs: this.bornMs(target.workerId),
    };
    this.sendAfterCommit([[job, this.record(job, copy)]]);
  }

  private isBelowPerWorkerLimit({ record, task }: RecordedRun, workerId: string): boolean {
    const { maxPerWorker } = record.step(task.step);
    if (maxPerWorker === null) return true;
    const there = record
      .runsOfStep(task.occurrence, task.step)
      .filter((other) => other.workerId === workerId);
    return there.length < maxPerWorker;
  }

  private isBelowTeamLimit({ record, task }: RecordedRun, rules: FleetRules): boolean {
    const { teamId } = record.job;
    const limit = teamId === null ? undefined : rules.teams.get(teamId)?.upperLimit;
    if (teamId === null || limit === undefined) return true;
    const used = this.options.state.occupancy.ofTeam(teamId);
    const { demand } = record.step(task.step);
    const allows = (cap: number, now: number, more: number): boolean => cap === 0 || now + more <= cap;
    return (
      allows(limit.processors, used.processors, demand.processors) &&
      allows(limit.memoryBytes, used.memoryBytes, demand.memoryBytes) &&
      allows(limit.accelerators, used.accelerators, demand.accelerators)
    );
  }

  /** Stops batch work where lasting tasks have found no room for a while. */
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
      const sinceMs = this.unplacedSinceMs.get(candidate.stepKey) ?? nowMs;
      this.unplacedSinceMs.set(candidate.stepKey, sinceMs);
      if (nowMs - sinceMs < PREEMPT_AFTER_MS) continue;
      this.unplacedSinceMs.set(candidate.stepKey, nowMs);
      this.preempt(candidate, poolId);
    }
  }

  private preempt({ readyStep: ready, priority, queue }: Candidate, poolId: string): void {
    const { fleet, counters, logger } = this.options;
    const demand = occupiedBy(ready.definition);
    for (const { workerId, free, labels } of this.workersOf(poolId)) {
      const session = fleet.get(workerId);
      const { requiredLabel } = ready.definition;
      if (session === undefined || (requiredLabel !== null && !labels.includes(requiredLabel))) continue;
      const chooseVictims = this.victims(session, demand, free, priority);
      if (chooseVictims === null) continue;
      for (const { task, run } of chooseVictims) session.stop(task, run);
      counters.increment('placement.preempted', undefined, chooseVictims.length);
      logger.info(LOG_EVENTS.runReplaced, {
        reason: 'room for lasting work',
        queueId: queue.queueId,
        workerId,
      });
      return;
    }
  }

  /** Batch runs of no higher urgency whose end makes room; `null` if they do not suffice. */
  private victims(
    session: WorkerSession,
    demand: Resources,
    free: Resources,
    priority: number,
  ): readonly TaskRun[] | null {
    const chosen: TaskRun[] = [];
    let room = free;
    for (const run of this.options.state.runsOn(session.worker.workerId)) {
      if (fitsInto(demand, room)) break;
      const step = run.record.step(run.task.step);
      if (step.isLongRunning || step.isGang || this.priorityOf(run) < priority) continue;
      const occupied = occupiedBy(step);
      room = addResources(room, occupied);
      chosen.push(run);
    }
    return fitsInto(demand, room) ? chosen : null;
  }

  private priorityOf({ record }: RecordedRun): number {
    return this.options.rules()?.queues.get(record.job.queueId)?.priority ?? 0;
  }
}

function addReserve(demand: Resources, capacity: Resources): Resources {
  return { ...demand, processors: demand.processors + capacity.processors * SPECULATION_RESERVE };
}
