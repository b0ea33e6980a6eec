/** Counter of the attempts in progress on each target, for simulations. */
import { InFlightWork } from '../dispatch/dispatcher';

/**
 * Counts attempts from the choice of the target to the end of the response.
 *
 * @example
 * ```ts
 * const end = counter.begin('worker-1');
 * counter.inFlight('worker-1'); // 1
 * end();
 * ```
 */
export class InFlightCounter extends InFlightWork {
  private readonly counts = new Map<string, number>();

  override inFlight(instanceId: string): number {
    return this.counts.get(instanceId) ?? 0;
  }

  /** Counts an attempt until the returned function is called; further calls do nothing. */
  begin(instanceId: string): () => void {
    this.add(instanceId, 1);
    let isInFlight = true;
    return () => {
      if (isInFlight) this.add(instanceId, -1);
      isInFlight = false;
    };
  }

  private add(instanceId: string, amount: number): void {
    const count = this.inFlight(instanceId) + amount;
    if (count > 0) this.counts.set(instanceId, count);
    else this.counts.delete(instanceId);
  }
}
