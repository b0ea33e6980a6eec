/** Stops runs that make no progress, so that their tasks start on another worker. */
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { PlacementState } from './placement_state';
import { isStuck, observedRuns } from './straggler_detection';
import type { WorkerHealth } from './worker_health';
import type { WorkerSession } from './worker_session';

export interface StuckRunsOptions {
  readonly state: PlacementState;
  readonly health: WorkerHealth;
  readonly counters: Counters;
  readonly logger: Logger;
  readonly nowMs: number;
}

/**
 * Stops the stuck runs of a worker whose report is complete.
 *
 * @example
 * ```ts
 * for (const session of fleet.all()) stopStuckRuns(session, { ...options, nowMs });
 * ```
 */
export function stopStuckRuns(session: WorkerSession, options: StuckRunsOptions): void {
  const { state, health, counters, logger, nowMs } = options;
  const { workerId } = session.worker;
  if (!session.isReachable() || !session.isReportComplete()) return;
  for (const [run, observed] of observedRuns(session, state)) {
    if (!isStuck(run, observed, state, nowMs)) continue;
    health.recordResult(workerId, run.task.jobId, true, nowMs);
    counters.increment('placement.stuck');
    logger.info(LOG_EVENTS.runReplaced, { ...run.task, run: run.run, workerId, reason: 'no progress' });
    session.stop(run.task, run.run);
  }
}
