/** Which instances are in closed availability zones. */
import type { Clock } from '../kernel/clock';
import type { ClosedZones, ZoneClosure } from '../scheduling/closed_zones';
import type { InstanceStatus } from '../scheduling/instance_operations';
import type { WorkerFleet } from './worker_fleet';

/**
 * Time for which a zone has to be closed before its idle instances leave their pools, in
 * milliseconds. A move to the spare pool and back takes 1.5 s each way, which a shorter
 * closure does not repay.
 */
const RELEASE_AFTER_MS = 3_000;

export interface InstanceZonesOptions {
  readonly clock: Clock;
  readonly closedZones: () => ClosedZones;
  readonly fleet: WorkerFleet;
}

export class InstanceZones {
  constructor(private readonly options: InstanceZonesOptions) {}

  isClosed(instance: InstanceStatus): boolean {
    return this.closureOf(instance) !== undefined;
  }

  /** Whether an instance may leave its pool as far as its zone is concerned. */
  mayMove(instance: InstanceStatus): boolean {
    const closure = this.closureOf(instance);
    return closure === undefined || this.options.clock.monotonicMs() - closure.sinceMs >= RELEASE_AFTER_MS;
  }

  private closureOf(instance: InstanceStatus): ZoneClosure | undefined {
    const { closures } = this.options.closedZones();
    return closures.size === 0 ? undefined : closures.get(this.zoneOf(instance));
  }

  /** The list may lack the zone of an instance, which the entry of its worker contains. */
  private zoneOf({ availabilityZone, workerId }: InstanceStatus): string {
    if (availabilityZone !== '') return availabilityZone;
    return this.options.fleet.get(workerId)?.entry.availabilityZone ?? '';
  }
}
