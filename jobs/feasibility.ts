/** Checks whether any instance of a pool is large enough for a job. */
import type { FleetConfiguration, Instance } from '../model/fleet';
import { fitsInto, type Resources } from '../model/resources';

/** Returns the instances that are in a pool, in any state. */
export function instancesOfPool(fleet: FleetConfiguration, poolId: string): readonly Instance[] {
  return [...fleet.instances.values()].filter(
    ({ instanceId }) => fleet.instanceStates.get(instanceId)?.poolId === poolId,
  );
}

/**
 * Returns the reason why no instance of the pool can ever run the job, or `null`
 * if one can.
 *
 * @example
 * ```ts
 * cannotRunReason(fleet, 'billing', { processors: 64, memoryBytes: 1, accelerators: 0 });
 * ```
 */
export function cannotRunReason(fleet: FleetConfiguration, poolId: string, demand: Resources): string | null {
  const instances = instancesOfPool(fleet, poolId);
  if (instances.some((instance) => fitsInto(demand, instance))) return null;
  if (instances.length === 0) return `The pool ${poolId} has no instances.`;
  const largest = (field: keyof Resources): number =>
    Math.max(...instances.map((instance) => instance[field]));
  return (
    `No instance of the pool ${poolId} has ${demand.processors} processors, ${demand.memoryBytes} bytes of ` +
    `memory and ${demand.accelerators} accelerators; the most it has of each is ${largest('processors')}, ` +
    `${largest('memoryBytes')} and ${largest('accelerators')}.`
  );
}
