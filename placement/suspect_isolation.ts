/**
 * Places the tasks that are suspected of crashing their workers apart from each other
 * and from tasks that have just started, so that the next crash shows which one is to
 * blame and takes few others with it.
 */
import { subtractResources, type Resources } from '../model/resources';
import { isolationMs, NO_CRASHES, quietMs, workerMark, type CrashCounts } from '../scheduling/crash_evidence';
import { crashRetryDelayMs } from '../scheduling/crash_retry';
import { occupiedBy } from '../scheduling/job_definition';
import type { Assignment, PlanWorker } from '../scheduling/placement_planner';
import { CrashAlert } from './crash_alert';
import { TOGETHER_MS } from './crash_history';
import type { PlacementState, RecordedRun } from './placement_state';
import type { Candidate } from './plan_request';
import { ProvenRetries } from './proven_retries';
import type { WorkerFleet } from './worker_fleet';

/** Maximum fraction of a pool's workers on which suspects run apart while other tasks wait. */
const MAX_ISOLATING_SHARE = 0.5;

/** Maximum fraction of a pool's workers that take no new tasks because a suspect waits for one of them. */
const MAX_RESERVED_SHARE = 0.25;

export interface SuspectIsolationOptions {
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
}

export interface SeparatedCandidates {
  /** One candidate for each suspected task or gang that may start now. */
  readonly suspects: readonly Candidate[];
  readonly others: readonly Candidate[];
}

export interface OpenWorkersOptions {
  readonly poolId: string;
  /** The tasks to place. */
  readonly candidates: readonly Candidate[];
  readonly workers: readonly PlanWorker[];
  readonly nowMs: number;
}

/** Plans one suspect on the given workers. */
export type SuspectPlanner = (suspect: Candidate, workers: readonly PlanWorker[]) => readonly Assignment[];

export interface SuspectRound {
  readonly poolId: string;
  readonly suspects: readonly Candidate[];
  readonly workers: readonly PlanWorker[];
  /** Whether tasks that are not suspected wait as well. */
  readonly areOthersWaiting: boolean;
  readonly nowMs: number;
  readonly plan: SuspectPlanner;
  /** Records the planned starts of a suspect; called before the next one is planned. */
  readonly start: (suspect: Candidate, assignments: readonly Assignment[]) => void;
}

export class SuspectIsolation {
  /** Until when a task or gang is not started again, by unit, on the monotonic clock. */
  private readonly retryAtMs = new Map<string, number>();
  /** Workers that take no new tasks because a suspect waits for one of them, by pool. */
  private readonly reserved = new Map<string, ReadonlySet<string>>();

  private readonly alert = new CrashAlert();
  private readonly provenRetries = new ProvenRetries();

  constructor(private readonly options: SuspectIsolationOptions) {}

  /** Spreads the starts in a pool after a crash for which tasks are suspected. */
  raiseAlert(poolId: string, nowMs: number): void {
    this.alert.raise(poolId, nowMs);
  }

  /** Whether the starts in a pool are spread. */
  isAlerted(poolId: string, nowMs: number): boolean {
    return this.alert.isRaised(poolId, nowMs);
  }

  /** Delays the next start of a suspected task after a crash, so that its crashes are apart. */
  delayRetry(unit: string, counts: CrashCounts, crashedAtMs: number, nowMs: number): void {
    const apartAtMs = counts.firstCrashes > 0 ? crashedAtMs + TOGETHER_MS : nowMs;
    this.retryAtMs.set(unit, Math.max(apartAtMs, nowMs + crashRetryDelayMs(counts)));
  }

  /** Separates the suspected tasks from the others, and leaves out those whose retry is delayed. */
  separate(poolId: string, candidates: readonly Candidate[], nowMs: number): SeparatedCandidates {
    for (const [unit, atMs] of this.retryAtMs) if (atMs <= nowMs) this.retryAtMs.delete(unit);
    const suspects: Candidate[] = [];
    const others = candidates.flatMap((candidate) => {
      if (!candidate.job.record.hasCrashes()) return [candidate];
      const { suspected, waiting } = splitWaiting(candidate);
      suspects.push(...suspected.filter((suspect) => !this.retryAtMs.has(unitOf(suspect))));
      return waiting.length > 0 ? [withWaiting(candidate, waiting)] : [];
    });
    if (suspects.length === 0) this.reserved.delete(poolId);
    return { suspects: this.provenRetries.admit(poolId, suspects, countsOf, nowMs), others };
  }

  /** The workers on which tasks that are not suspected may start. */
  openWorkers({ poolId, candidates, workers, nowMs }: OpenWorkersOptions): readonly PlanWorker[] {
    const isolating = this.isolatingWorkers(nowMs);
    const reserved = this.reserved.get(poolId);
    const isAlerted = this.alert.isRaised(poolId, nowMs);
    if (isolating.size === 0 && reserved === undefined && !isAlerted) return workers;
    const open = workers.filter(
      ({ workerId }) => !isolating.has(workerId) && reserved?.has(workerId) !== true,
    );
    if (!isAlerted) return open;
    return this.alert.limit(open, candidates, (workerId) => this.startingCount(workerId, nowMs));
  }

  private startingCount(workerId: string, nowMs: number): number {
    const startupMs = isolationMs(NO_CRASHES);
    return this.options.state.runsOn(workerId).filter((run) => this.ageMs(run, nowMs) < startupMs).length;
  }

  /**
   * Starts as many suspects as there are workers for, and reserves workers for others.
   * Returns whether some suspects wait.
   */
  place({ poolId, suspects, workers, areOthersWaiting, nowMs, plan, start }: SuspectRound): boolean {
    const isolating = this.isolatingWorkers(nowMs);
    const maxIsolating = areOthersWaiting ? Math.ceil(workers.length * MAX_ISOLATING_SHARE) : workers.length;
    let open = this.emptiestFirst(poolId, workers).filter(({ workerId }) => !isolating.has(workerId));
    const unplaced: Candidate[] = [];
    for (const suspect of longRunningFirst(suspects)) {
      const mayIsolate = workers.length - open.length < maxIsolating;
      const assignments = mayIsolate ? planOn(suspect, this.quietWorkers(suspect, open, nowMs), plan) : [];
      if (assignments.length === 0) {
        unplaced.push(suspect);
        continue;
      }
      start(suspect, assignments);
      this.provenRetries.recordStart(poolId, countsOf(suspect), nowMs);
      const taken = new Set(assignments.map(({ workerId }) => workerId));
      open = open.filter(({ workerId }) => !taken.has(workerId));
    }
    this.reserve(poolId, unplaced, open, Math.floor(workers.length * MAX_RESERVED_SHARE), plan);
    return unplaced.length > 0;
  }

  /** Keeps other tasks off some workers until the runs there are old enough for a suspect to start. */
  private reserve(
    poolId: string,
    suspects: readonly Candidate[],
    workers: readonly PlanWorker[],
    maxReserved: number,
    plan: SuspectPlanner,
  ): void {
    // What batch tasks occupy becomes free while the worker takes no new ones.
    let available = workers.map((worker) => ({ ...worker, free: this.freeBesideLongRunning(worker) }));
    const chosen = new Set<string>();
    for (const suspect of suspects) {
      if (chosen.size >= Math.max(1, maxReserved) || available.length === 0) break;
      for (const { workerId } of planOn(suspect, available, plan)) chosen.add(workerId);
      available = available.filter(({ workerId }) => !chosen.has(workerId));
    }
    if (chosen.size > 0) this.reserved.set(poolId, chosen);
    else this.reserved.delete(poolId);
  }

  /** Workers with a suspect that has not outlived its isolation. */
  private isolatingWorkers(nowMs: number): ReadonlySet<string> {
    const isolating = new Set<string>();
    for (const run of this.options.state.suspectRuns())
      if (this.ageMs(run, nowMs) < isolationMs(run.record.crashesOf(run.task))) isolating.add(run.workerId);
    return isolating;
  }

  /** Workers on which no run is so young that it would be suspected together with the suspect. */
  private quietWorkers(
    suspect: Candidate,
    workers: readonly PlanWorker[],
    nowMs: number,
  ): readonly PlanWorker[] {
    const counts = countsOf(suspect);
    const minAgeMs = quietMs(counts);
    const quiet = workers.filter(({ workerId }) =>
      this.options.state.runsOn(workerId).every((run) => this.ageMs(run, nowMs) >= minAgeMs),
    );
    // A crash of yet another worker tells more than that of one that may be faulty itself.
    const hasCrashed = ({ workerId }: PlanWorker): boolean =>
      counts.workerMarks.includes(workerMark(workerId));
    return [...quiet.filter((worker) => !hasCrashed(worker)), ...quiet.filter(hasCrashed)];
  }

  /** Time since a run was sent, in milliseconds; 0 if it is recorded and not sent yet. */
  private ageMs({ workerId, key }: RecordedRun, nowMs: number): number {
    const observed = this.options.fleet.get(workerId)?.findRunByKey(key);
    return observed === undefined ? 0 : nowMs - observed.sentAtMs;
  }

  /** Sorts workers by what a crash would take with it; those that are already reserved come first. */
  private emptiestFirst(poolId: string, workers: readonly PlanWorker[]): readonly PlanWorker[] {
    const { state } = this.options;
    const reserved = this.reserved.get(poolId);
    const rank = ({ workerId }: PlanWorker): readonly [number, number, number] => [
      state.longRunningCountOn(workerId),
      reserved?.has(workerId) === true ? 0 : 1,
      state.runCountOn(workerId),
    ];
    return workers
      .map((worker) => [rank(worker), worker] as const)
      .sort(([a], [b]) => a[0] - b[0] || a[1] - b[1] || a[2] - b[2])
      .map(([, worker]) => worker);
  }

  private freeBesideLongRunning({ workerId, capacity }: PlanWorker): Resources {
    return this.options.state
      .runsOn(workerId)
      .map(({ record, task }) => record.step(task.step))
      .filter(({ isLongRunning }) => isLongRunning)
      .reduce((free, step) => subtractResources(free, occupiedBy(step)), capacity);
  }
}

/** Plans a single task on the first worker that it fits on, a gang on any of them. */
function planOn(
  suspect: Candidate,
  workers: readonly PlanWorker[],
  plan: SuspectPlanner,
): readonly Assignment[] {
  if (suspect.readyStep.definition.isGang) return workers.length > 0 ? plan(suspect, workers) : [];
  for (const worker of workers) {
    const assignments = plan(suspect, [worker]);
    if (assignments.length > 0) return assignments;
  }
  return [];
}

/** Splits the waiting tasks of a step; the members of a gang stay together. */
function splitWaiting(candidate: Candidate): {
  readonly suspected: readonly Candidate[];
  readonly waiting: readonly number[];
} {
  const { job, readyStep } = candidate;
  const { occurrence, step, waiting, definition } = readyStep;
  const isSuspect = (index: number): boolean => job.record.isSuspect({ occurrence, step, index });
  if (definition.isGang)
    return isSuspect(0) ? { suspected: [candidate], waiting: [] } : { suspected: [], waiting };
  return {
    suspected: waiting.filter(isSuspect).map((index) => withWaiting(candidate, [index])),
    waiting: waiting.filter((index) => !isSuspect(index)),
  };
}

function withWaiting(candidate: Candidate, waiting: readonly number[]): Candidate {
  return { ...candidate, readyStep: { ...candidate.readyStep, waiting } };
}

function countsOf({ job, readyStep: { occurrence, step, waiting } }: Candidate): CrashCounts {
  return job.record.crashesOf({ occurrence, step, index: waiting[0] ?? 0 });
}

function unitOf({ job, readyStep: { occurrence, step, waiting } }: Candidate): string {
  return job.record.crashUnit({ occurrence, step, index: waiting[0] ?? 0 });
}

function longRunningFirst(suspects: readonly Candidate[]): readonly Candidate[] {
  return [...suspects].sort((a, b) => Number(b.isLongRunning) - Number(a.isLongRunning));
}
