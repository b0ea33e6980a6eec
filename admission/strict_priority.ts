/** Baseline order: by class only, then the request that came first. */
import { firstBy, rankOf, QueueingPolicy, type PolicyView, type QueueHead } from './queueing_policy';

export class StrictPriority extends QueueingPolicy {
  override select(view: PolicyView): QueueHead {
    return firstBy(view.heads, (a, b) => rankOf(a.priority) - rankOf(b.priority) || a.sequence - b.sequence);
  }
  override ended(): void {
    // The order does not depend on how long work took.
  }
}
