/** Sum of the work in progress that several parts know of. */
import { InFlightWork } from '../dispatch/dispatcher';

/**
 * @example
 * ```ts
 * const counts = new CombinedInFlight([requests, tasks]);
 * counts.inFlight('worker-1');
 * ```
 */
export class CombinedInFlight extends InFlightWork {
  constructor(private readonly parts: readonly InFlightWork[]) {
    super();
  }

  override inFlight(instanceId: string): number {
    return this.parts.reduce((sum, part) => sum + part.inFlight(instanceId), 0);
  }
}
