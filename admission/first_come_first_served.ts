/** Baseline order: the request that came first, whatever its team and class. */
import { firstBy, QueueingPolicy, type PolicyView, type QueueHead } from './queueing_policy';

export class FirstComeFirstServed extends QueueingPolicy {
  override select(view: PolicyView): QueueHead {
    return firstBy(view.heads, (a, b) => a.sequence - b.sequence);
  }
  override ended(): void {
    // The order does not depend on how long work took.
  }
}
