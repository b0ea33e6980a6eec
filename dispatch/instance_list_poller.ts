/** Polls the instance list of the platform. While it is unavailable, routing continues with the last list. */
import type { Clock, Timer } from '../kernel/clock';
import type { InstanceList } from '../platform/instance_list';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { DrainingTargetTracker } from './draining_target_tracker';

/** Polling interval in milliseconds. A draining target must be known within 3 s, including the lag of the list. */
const POLL_INTERVAL_MS = 1_000;

export interface InstanceListPollerOptions {
  readonly clock: Clock;
  readonly list: InstanceList;
  readonly drainingTracker: DrainingTargetTracker;
  readonly counters: Counters;
  readonly logger: Logger;
}

export class InstanceListPoller {
  private timer: Timer | null = null;
  private isStopped = false;
  private isAvailable = true;

  constructor(private readonly options: InstanceListPollerOptions) {}

  /** Reads the list now and at every interval; resolves after the first read. */
  async start(): Promise<void> {
    await this.poll();
    this.scheduleNext();
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private scheduleNext(): void {
    if (this.isStopped) return;
    this.timer = this.options.clock.schedule(POLL_INTERVAL_MS, () => {
      void this.poll().then(() => {
        this.scheduleNext();
      });
    });
  }

  private async poll(): Promise<void> {
    const { clock, list, drainingTracker, counters, logger } = this.options;
    const startedAtMs = clock.monotonicMs();
    try {
      const listing = await list.list();
      drainingTracker.recordListing(listing, startedAtMs);
      this.isAvailable = true;
    } catch (error) {
      counters.increment('instance_list.read_failed');
      if (this.isAvailable) logger.warn(LOG_EVENTS.instanceListUnavailable, { reason: String(error) });
      this.isAvailable = false;
    }
  }
}
