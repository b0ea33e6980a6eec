/** Logs and counts runs that count as ended although their worker has not reported how. */
import type { TaskId } from '../scheduling/job_definition';
import type { TaskRun } from '../scheduling/job_record';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { runKey } from './session_run';

/** Number of runs that one line names. */
const MAX_EXAMPLES = 5;

/** How it is known that a run has ended. */
export type LostRunReason =
  | 'lease expired'
  | 'lease of an unregistered worker expired'
  | 'replaced by another incarnation'
  | 'stopped according to the platform';

export interface LostRunLogOptions {
  readonly counters: Counters;
  readonly logger: Logger;
}

interface LostRun {
  readonly task: TaskId;
  readonly run: number;
}

/**
 * Writes one line for each worker rather than for each run, so that the loss of many
 * workers does not flood the log.
 *
 * @example
 * ```ts
 * lostRunLog.record('worker-1', 'lease expired', runs);
 * ```
 */
export class LostRunLog {
  constructor(private readonly options: LostRunLogOptions) {}

  /** Records that runs of a worker count as ended. */
  record(workerId: string, reason: LostRunReason, runs: readonly LostRun[]): void {
    if (runs.length === 0) return;
    const { counters, logger } = this.options;
    counters.increment('placement.run_lost', reason, runs.length);
    logger.info(LOG_EVENTS.runsLost, { workerId, reason, count: runs.length, examples: examplesOf(runs) });
  }

  /** Records that the leader waits for the end of runs whose workers are not registered. */
  recordWaiting(runs: readonly TaskRun[], waitMs: number): void {
    const workerIds = new Set(runs.map(({ workerId }) => workerId));
    this.options.logger.info(LOG_EVENTS.runsAwaitExpiry, {
      workers: workerIds.size,
      count: runs.length,
      waitMs: Math.round(waitMs),
      workerIds: [...workerIds].slice(0, MAX_EXAMPLES),
      examples: examplesOf(runs),
    });
  }
}

function examplesOf(runs: readonly LostRun[]): readonly string[] {
  return runs.slice(0, MAX_EXAMPLES).map(runKey);
}
