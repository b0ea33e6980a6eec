/** Number of attempts in progress per target. */
import { capability } from '../kernel/capability';

/** What this entry instance has in progress on targets. */
export abstract class InFlightCounts {
  /** Attempts on the instance that may still run there. */
  abstract count(instanceId: string): number;
}

export const IN_FLIGHT = capability<InFlightCounts>('dispatch.in_flight');

/**
 * Counts attempts from the choice of the target to the end of the response.
 *
 * @example
 * ```ts
 * const end = counter.begin('worker-1');
 * counter.count('worker-1'); // 1
 * end();
 * ```
 */
export class InFlightCounter extends InFlightCounts {
  private readonly counts = new Map<string, number>();

  override count(instanceId: string): number {
    return this.counts.get(instanceId) ?? 0;
  }

  /** Counts an attempt until the returned function is called; further calls do nothing. */
  begin(instanceId: string): () => void {
    this.add(instanceId, 1);
    let open = true;
    return () => {
      if (open) this.add(instanceId, -1);
      open = false;
    };
  }

  private add(instanceId: string, amount: number): void {
    const next = this.count(instanceId) + amount;
    if (next > 0) this.counts.set(instanceId, next);
    else this.counts.delete(instanceId);
  }
}
