/** Follows the leader's views of the pools. */
import type { Clock } from '../kernel/clock';
import { RowFormatError } from '../scheduling/job_rows';
import type { RowChange, RowStore } from '../store/row_store';
import { TableFollower } from '../store/table_follower';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { logFollowerFailures } from '../telemetry/follower_failures';
import type { Logger } from '../telemetry/logger';
import type { CurrentView } from './current_view';
import { decodePressureView, PRESSURE_ADDRESS } from './pressure_rows';

/**
 * Time for which one call waits for a view, in milliseconds. It can be long: a process whose
 * connection has failed without an error has no fresh view and accepts every job.
 */
const FEED_WAIT_MS = 30_000;

export interface PressureFollowerOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly current: CurrentView;
  readonly counters: Counters;
  readonly logger: Logger;
}

/**
 * Hands the views over to {@link CurrentView}; ignores and counts those that are malformed or of an earlier leader.
 *
 * @example
 * ```ts
 * const follower = new PressureFollower({ store, clock, current, counters, logger });
 * follower.start();
 * ```
 */
export class PressureFollower {
  private readonly follower: TableFollower;
  /** Why the latest row was ignored; `null` if it was not. */
  private ignoredReason: 'malformed' | 'older' | null = null;

  constructor(private readonly options: PressureFollowerOptions) {
    const { table, partition } = PRESSURE_ADDRESS;
    this.follower = new TableFollower({
      ...options,
      table,
      partitions: [partition],
      waitMs: FEED_WAIT_MS,
      onFailure: logFollowerFailures(options),
      onChanges: (changes, isSnapshot) => {
        this.handle(changes, isSnapshot);
      },
    });
  }

  start(): void {
    void this.follower.run();
  }

  stop(): void {
    this.follower.stop();
  }

  /** Of several changes only the last one counts; those before it arrived late. */
  private handle(changes: readonly RowChange[], isSnapshot: boolean): void {
    const value = changes.findLast(({ key }) => key === PRESSURE_ADDRESS.key)?.value ?? null;
    if (value === null) return;
    const { current, clock } = this.options;
    try {
      const view = decodePressureView(value);
      const outcome = current.receive(view, { nowMs: clock.monotonicMs(), isSnapshot });
      if (outcome === 'older') this.ignore('older', `The view is of epoch ${view.epoch}.`);
      else this.ignoredReason = null;
    } catch (error) {
      if (!(error instanceof RowFormatError)) throw error;
      this.ignore('malformed', error.message);
    }
  }

  private ignore(reason: 'malformed' | 'older', detail: string): void {
    const { counters, logger } = this.options;
    counters.increment('admission.view_ignored', reason);
    if (this.ignoredReason !== reason)
      logger.warn(LOG_EVENTS.pressureViewIgnored, { reason, detail: detail.slice(0, MAX_DETAIL_LENGTH) });
    this.ignoredReason = reason;
  }
}

/** A damaged row may cause a long message; log lines are of bounded length. */
const MAX_DETAIL_LENGTH = 200;
