/** Reports rows of the store that could not be handled. */
import type { FollowerFailure } from '../store/table_follower';
import type { Counters } from './counters';
import { LOG_EVENTS } from './events_catalogue';
import type { Logger } from './logger';

export interface FollowerFailureSinks {
  readonly logger: Logger;
  readonly counters: Counters;
}

/**
 * Returns a handler that logs and counts the failures of a follower.
 *
 * @example
 * ```ts
 * const follower = new TableFollower({ ...options, onFailure: logFollowerFailures({ logger, counters }) });
 * ```
 */
export function logFollowerFailures({
  logger,
  counters,
}: FollowerFailureSinks): (failure: FollowerFailure) => void {
  return ({ table, key, error }) => {
    const reason = error instanceof Error ? error.stack : String(error);
    counters.increment('store.follower_failed', table);
    if (key === null) logger.error(LOG_EVENTS.tableReadFailed, { table, reason });
    else logger.error(LOG_EVENTS.rowHandlingFailed, { table, rowKey: key, reason });
  };
}
