/** Counts crashes of workers against the tasks that may have caused them. */
import type { Clock } from '../kernel/clock';
import {
  hasJustStarted,
  hasYoungTask,
  isolationMs,
  judgeCrash,
  type CrashedTask,
  type Suspicion,
} from '../scheduling/crash_evidence';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { CrashHistory, type PastCrash } from './crash_history';
import type { PlacementState, RecordedRun } from './placement_state';
import { runKey } from './session_run';
import { SimultaneousFailures } from './simultaneous_failures';
import type { SuspectIsolation } from './suspect_isolation';
import type { WorkerCrash } from './worker_crash';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerSession } from './worker_session';

/** Maximum number of runs in the log line of a crash. */
const MAX_LOGGED_RUNS = 12;

export interface WorkerCrashHandlerOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly isolation: SuspectIsolation;
  /** Whether the worker's instance is being moved or maintained. */
  readonly isBeingStopped: (session: WorkerSession) => boolean;
  readonly counters: Counters;
  readonly logger: Logger;
}

interface LostRun extends CrashedTask {
  readonly run: RecordedRun;
}

/**
 * Handles each crash before its runs are reported as lost, so that a task that is given
 * up does not start again.
 *
 * @example
 * ```ts
 * crashHandler.handle({ sign: 'restarted', entry, session, runs });
 * ```
 */
export class WorkerCrashHandler {
  private readonly failures = new SimultaneousFailures();
  private readonly history = new CrashHistory();

  constructor(private readonly options: WorkerCrashHandlerOptions) {}

  handle(crash: WorkerCrash): void {
    if (this.isPlanned(crash)) return;
    if (crash.runs.length === 0) {
      this.history.record(this.pastCrash(crash, [], false));
      return;
    }
    const failedWithOthers = this.hasFailedWithOthers(crash);
    const lost = this.lostRuns(crash);
    const past = this.pastCrash(crash, lost, failedWithOthers);
    const suspicions = judgeCrash(lost);
    this.options.counters.increment('placement.worker_crashed', crash.sign);
    this.logCrash(crash, failedWithOthers, lost, suspicions);
    if (failedWithOthers) {
      this.history.record(past);
      return;
    }
    const lostByUnit = new Map<string, LostRun>();
    for (const lostRun of lost) {
      const { unit, isConfirmed } = lostRun;
      if (isConfirmed || !lostByUnit.has(unit)) lostByUnit.set(unit, lostRun);
    }
    const { isolation, clock } = this.options;
    if ([...suspicions.values()].some((suspicion) => suspicion !== 'cleared'))
      isolation.raiseAlert(crash.entry.poolId, clock.monotonicMs());
    for (const [unit, lostRun] of lostByUnit) this.count(lostRun, suspicions.get(unit) ?? 'cleared', past);
    this.history.record(past);
  }

  private pastCrash(
    { entry, session }: WorkerCrash,
    lost: readonly LostRun[],
    failedWithOthers: boolean,
  ): PastCrash {
    return {
      poolId: entry.poolId,
      atMs: session?.unreachableSinceMs() ?? this.options.clock.monotonicMs(),
      units: new Set(lost.map(({ unit }) => unit)),
      isExplained: !failedWithOthers && hasJustStarted(lost),
      hasYoungTask: !failedWithOthers && hasYoungTask(lost),
    };
  }

  /** Whether the worker left as planned: drained, moved or maintained. */
  private isPlanned({ session, entry, runs }: WorkerCrash): boolean {
    if (session !== null) return session.entry.state === 'draining' || this.options.isBeingStopped(session);
    // Tasks of other pools ran there before the instance was moved to this one.
    const { state } = this.options;
    return runs.every(({ task }) => state.poolOf(task.jobId) !== entry.poolId);
  }

  private hasFailedWithOthers({ entry, session }: WorkerCrash): boolean {
    const nowMs = this.options.clock.monotonicMs();
    // Without runs, no calls are made that would show whether a worker responds.
    const { fleet } = this.options;
    const others = [...fleet.all()]
      .filter((other) => other.runCount() > 0)
      .map((other) => ({ entry: other.entry, unreachableSinceMs: fleet.unreachableSinceMs(other) }));
    return this.failures.record(
      { entry, unreachableSinceMs: session?.unreachableSinceMs() ?? nowMs },
      others,
    );
  }

  /** The lost runs whose starts may have reached the worker. */
  private lostRuns({ session, runs, entry }: WorkerCrash): readonly LostRun[] {
    const recorded = new Map(this.options.state.runsOn(entry.workerId).map((run) => [run.key, run]));
    const crashedAtMs = session?.unreachableSinceMs() ?? this.options.clock.monotonicMs();
    return runs.flatMap((lostRun) => {
      const run = recorded.get(runKey(lostRun));
      const observed = session?.findRunByKey(runKey(lostRun));
      if (run === undefined || (session !== null && observed === undefined)) return [];
      const ageMs = observed === undefined ? 0 : Math.max(0, crashedAtMs - observed.sentAtMs);
      const { record, task } = run;
      const isolatedMs = isolationMs(record.crashesOf(task));
      const isConfirmed = observed !== undefined && observed.startedAtMs !== null;
      return [{ run, ageMs, isolatedMs, isConfirmed, unit: record.crashUnit(task) }];
    });
  }

  private logCrash(
    { entry, session, sign }: WorkerCrash,
    failedWithOthers: boolean,
    lost: readonly LostRun[],
    suspicions: ReadonlyMap<string, Suspicion>,
  ): void {
    const { workerId, poolId, rack, startedAtMs } = entry;
    const sinceMs = session?.unreachableSinceMs() ?? null;
    const youngest = [...lost].sort((a, b) => a.ageMs - b.ageMs).slice(0, MAX_LOGGED_RUNS);
    this.options.logger.warn(LOG_EVENTS.workerCrashed, {
      workerId,
      poolId,
      rack,
      workerStartedAtMs: startedAtMs,
      sign,
      unreachableForMs: sinceMs === null ? null : Math.round(this.options.clock.monotonicMs() - sinceMs),
      failedWithOthers,
      lostRuns: lost.length,
      youngest: youngest.map(({ run, ageMs, unit, isConfirmed }) => [
        run.key,
        Math.round(ageMs),
        suspicions.get(unit),
        isConfirmed,
      ]),
    });
  }

  private count(lostRun: LostRun, suspicion: Suspicion, past: PastCrash): void {
    const { unit, run: recorded, isConfirmed } = lostRun;
    const isImmediate = hasJustStarted([lostRun]);
    const { isolation, counters, logger, clock } = this.options;
    const { record, task, run, workerId } = recorded;
    const others = this.history.othersWithout(unit, past);
    const isGivenUp = record.recordCrash(task, { suspicion, isConfirmed, workerId, others, isImmediate });
    const counts = record.crashesOf(task);
    isolation.delayRetry(unit, counts, past.atMs, clock.monotonicMs());
    counters.increment('placement.run_crashed', suspicion);
    if (!isGivenUp) return;
    counters.increment('placement.task_given_up');
    logger.warn(LOG_EVENTS.taskGivenUp, {
      ...task,
      ...counts,
      queueId: record.job.queueId,
      run,
      workerId,
    });
  }
}
