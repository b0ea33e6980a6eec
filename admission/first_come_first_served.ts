/** Baseline policy: the earliest request first, regardless of team and priority. */
import { minBy, QueueingPolicy, type PolicyView, type QueueHead } from './queueing_policy';

export class FirstComeFirstServed extends QueueingPolicy {
  override select(view: PolicyView): QueueHead {
    return minBy(view.heads, (a, b) => a.sequence - b.sequence);
  }
  override ended(): void {
    // The order does not depend on run times.
  }
}
