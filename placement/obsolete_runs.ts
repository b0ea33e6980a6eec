/** Keeps runs that are no longer needed on record until they are gone, and has them stopped. */
import type { Clock } from '../kernel/clock';
import type { TaskRun } from '../scheduling/job_record';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { mayBeUnavailable } from './evacuation';
import type { PlacementState } from './placement_state';
import { runKey } from './session_run';
import type { WorkerFleet } from './worker_fleet';

/** Number of runs that one line names. */
const MAX_EXAMPLES = 5;

export interface ObsoleteRunsOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly counters: Counters;
  readonly logger: Logger;
}

/**
 * A run becomes obsolete when its job ends, another run has done its task, or a member of
 * its gang has ended. That holds until the run is no longer recorded: while its worker has
 * no session, nothing can be sent, and the next session with it begins with the stop.
 * Long-running tasks of a job that has failed are stopped within the step's limit of
 * unavailable tasks, so that some go on until the job is cancelled.
 *
 * @example
 * ```ts
 * obsoleteRuns.add(record.runs());
 * obsoleteRuns.tick(); // several times a second
 * ```
 */
export class ObsoleteRuns {
  private readonly runs = new Map<string, TaskRun>();
  /** Keys of the runs whose stops are withheld, and which have been logged. */
  private readonly withheld = new Set<string>();
  /** Keys of the runs whose workers had no session at the latest tick. */
  private unreachable: ReadonlySet<string> = new Set();

  constructor(private readonly options: ObsoleteRunsOptions) {}

  /** Adds runs and sends their stops where their workers have sessions. */
  add(runs: readonly TaskRun[]): void {
    for (const run of runs) {
      this.runs.set(runKey(run), run);
      this.stop(run);
    }
  }

  /** Sends the stops that could not be sent before, and removes the runs that are gone. */
  tick(): void {
    const unreachable: TaskRun[] = [];
    for (const [key, run] of this.runs) {
      if (!this.options.state.hasRun(run)) this.remove(key);
      else if (!this.stop(run)) unreachable.push(run);
    }
    this.logUnreachable(unreachable);
  }

  private remove(key: string): void {
    this.runs.delete(key);
    this.withheld.delete(key);
  }

  /** Returns whether the run's worker has a session; a stop that was sent is not sent again. */
  private stop(obsolete: TaskRun): boolean {
    const { task, run, workerId } = obsolete;
    const session = this.options.fleet.get(workerId);
    if (session !== undefined && this.mayStop(obsolete)) session.stop(task, run);
    return session !== undefined;
  }

  private mayStop(run: TaskRun): boolean {
    const { state, fleet, clock } = this.options;
    const record = state.jobs.get(run.task.jobId)?.record;
    if (record?.state !== 'failed' || record.isCancelRequested) return true;
    const step = record.step(run.task.step);
    if (!step.isLongRunning || step.maxUnavailable === null) return true;
    const key = runKey(run);
    const mayStop = mayBeUnavailable({ ...run, key, record }, step, {
      state,
      fleet,
      nowMs: clock.monotonicMs(),
    });
    if (!mayStop) this.reportWithheld(key, run);
    return mayStop;
  }

  private reportWithheld(key: string, { workerId }: TaskRun): void {
    if (this.withheld.has(key)) return;
    this.withheld.add(key);
    this.options.counters.increment('placement.stop_withheld', 'max_unavailable');
    this.options.logger.info(LOG_EVENTS.stopWithheld, { run: key, workerId, reason: 'max_unavailable' });
  }

  private logUnreachable(runs: readonly TaskRun[]): void {
    const added = runs.filter((run) => !this.unreachable.has(runKey(run)));
    this.unreachable = new Set(runs.map(runKey));
    if (added.length === 0) return;
    this.options.counters.increment('placement.stop_delayed', undefined, added.length);
    this.options.logger.info(LOG_EVENTS.stopsDelayed, {
      count: added.length,
      workerIds: [...new Set(added.map(({ workerId }) => workerId))].slice(0, MAX_EXAMPLES),
      examples: added.slice(0, MAX_EXAMPLES).map(runKey),
    });
  }
}
