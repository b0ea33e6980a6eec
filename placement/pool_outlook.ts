/** The capacity that a pool has, or may get, for tasks that end. */
import {
  addResources,
  combineResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../model/resources';
import type { FleetRules } from '../scheduling/fleet_rules';
import { occupiedBy } from '../scheduling/job_definition';
import type { InstanceController } from './instance_controller';
import { meanCapacity } from './leader_reporter';
import type { PlacementState } from './placement_state';
import type { PoolDemandTracker } from './pool_demand';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerSession } from './worker_session';

export interface PoolOutlookOptions {
  readonly fleet: WorkerFleet;
  readonly state: PlacementState;
  readonly demand: PoolDemandTracker;
  readonly instanceController: InstanceController;
}

/**
 * Capacity of the pool's workers without what long-running tasks occupy, and of all
 * instances that may join them: those on the way, the spare ones, and what other pools
 * have beyond their desired sizes.
 *
 * @example
 * ```ts
 * const { processors } = obtainableCapacity('quotes', rules, options);
 * ```
 */
export function obtainableCapacity(
  poolId: string,
  rules: FleetRules,
  { fleet, state, demand, instanceController }: PoolOutlookOptions,
): Resources {
  const sessions = fleet.inPool(poolId);
  const present = sessions.map(({ entry }) => entry.capacity).reduce(addResources, NO_RESOURCES);
  const counts = instanceController.instancesByPool(rules);
  const inPools = [...counts.values()].reduce((sum, count) => sum + count, 0);
  const spare = Math.max(0, instanceController.instanceCount() - inPools);
  const lent = [...counts].reduce(
    (sum, [otherId, count]) =>
      otherId === poolId ? sum : sum + Math.max(0, count - demand.desiredInstances(otherId)),
    0,
  );
  const joining = Math.max(0, (counts.get(poolId) ?? 0) - sessions.length) + spare + lent;
  const mean = meanCapacity([...fleet.all()]);
  const total = combineResources(present, mean, (sum, each) => (each > 0 ? sum + each * joining : sum));
  return subtractResources(total, longRunningUse(sessions, state));
}

function longRunningUse(sessions: readonly WorkerSession[], state: PlacementState): Resources {
  return sessions
    .flatMap(({ worker }) => state.runsOn(worker.workerId))
    .map(({ record, task }) => record.step(task.step))
    .filter(({ isLongRunning }) => isLongRunning)
    .map(occupiedBy)
    .reduce(addResources, NO_RESOURCES);
}
