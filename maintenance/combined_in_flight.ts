/** Adds up the work in progress that several sources report. */
import { InFlightWork } from '../dispatch/dispatcher';

/**
 * @example
 * ```ts
 * const counts = new CombinedInFlight([requests, tasks]);
 * counts.inFlight('worker-1');
 * ```
 */
export class CombinedInFlight extends InFlightWork {
  constructor(private readonly sources: readonly InFlightWork[]) {
    super();
  }

  override inFlight(instanceId: string): number {
    return this.sources.reduce((sum, source) => sum + source.inFlight(instanceId), 0);
  }
}
