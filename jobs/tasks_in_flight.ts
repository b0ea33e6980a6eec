/** Counts the tasks in progress on each instance, for maintenance. */
import { InFlightWork } from '../dispatch/dispatcher';
import { capability } from '../kernel/capability';
import type { PlacementRoles } from './placement_roles';

export const TASKS_IN_FLIGHT = capability<InFlightWork>('jobs.tasks_in_flight');

/** Counts the tasks on a worker in the pools whose placement role this entry instance holds. */
export class TasksInFlight extends InFlightWork {
  constructor(private readonly roles: PlacementRoles) {
    super();
  }

  override inFlight(instanceId: string): number {
    return this.roles.tasksOn(instanceId);
  }
}
