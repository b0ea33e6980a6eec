/** Keeps tasks from being started on workers of closed availability zones. */
import type { Clock } from '../kernel/clock';
import { zoneRefusal, type ClosedZones } from '../scheduling/closed_zones';
import type { TaskRun } from '../scheduling/job_record';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';

export interface ZoneGateOptions {
  readonly clock: Clock;
  readonly closedZones: () => ClosedZones;
  readonly counters: Counters;
  readonly logger: Logger;
}

export class ZoneGate {
  constructor(private readonly options: ZoneGateOptions) {}

  /** The closed zones, for {@link isOpen} on many workers. */
  current(): ClosedZones {
    return this.options.closedZones();
  }

  /** Whether tasks may be planned on a worker. */
  isOpen({ availabilityZone }: WorkerEntry, zones: ClosedZones): boolean {
    return zoneRefusal(zones, availabilityZone) === null;
  }

  /**
   * Whether a start that was recorded may be sent: the zone of its worker may have been
   * closed after the start was planned. Counts and logs a start that is withheld.
   */
  maySend({ task, run, workerId }: TaskRun, { availabilityZone }: WorkerEntry): boolean {
    const { clock, closedZones, counters, logger } = this.options;
    const zones = closedZones();
    const reason = zoneRefusal(zones, availabilityZone);
    if (reason === null) return true;
    const closure = zones.closures.get(availabilityZone);
    counters.increment('placement.start_withheld', reason);
    logger.info(LOG_EVENTS.startWithheld, {
      ...task,
      run,
      workerId,
      availabilityZone,
      reason,
      rowVersion: closure?.rowVersion ?? null,
      closedForMs: closure === undefined ? null : Math.round(clock.monotonicMs() - closure.sinceMs),
    });
    return false;
  }
}
