/** Reads the platform's list of instances regularly. Routing goes on with what is known if it cannot be read. */
import type { Clock, Timer } from '../kernel/clock';
import type { InstanceList } from '../platform/instance_list';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { DrainingTargetTracker } from './draining_target_tracker';

/** A leaving target must be known within 3 s, the lag of the list included. */
const POLL_MS = 1_000;

export interface InstanceListPollerOptions {
  readonly clock: Clock;
  readonly list: InstanceList;
  readonly marks: DrainingTargetTracker;
  readonly counters: Counters;
  readonly logger: Logger;
}

export class InstanceListPoller {
  private timer: Timer | null = null;
  private isStopped = false;
  private isAvailable = true;

  constructor(private readonly options: InstanceListPollerOptions) {}

  /** Reads the list now and every second from then on; resolves after the first read. */
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
    this.timer = this.options.clock.schedule(POLL_MS, () => {
      void this.poll().then(() => {
        this.scheduleNext();
      });
    });
  }

  private async poll(): Promise<void> {
    const { clock, list, marks, counters, logger } = this.options;
    const startedMs = clock.monotonicMs();
    try {
      const listing = await list.list();
      marks.observeListing(listing, startedMs);
      this.isAvailable = true;
    } catch (error) {
      counters.increment('instance_list.read_failed');
      if (this.isAvailable) logger.warn(LOG_EVENTS.instanceListUnavailable, { reason: String(error) });
      this.isAvailable = false;
    }
  }
}
