/** Baseline policy: highest priority first, then the earliest request. */
import { minBy, priorityRank, QueueingPolicy, type PolicyView, type QueueHead } from './queueing_policy';

export class StrictPriority extends QueueingPolicy {
  override select(view: PolicyView): QueueHead {
    return minBy(
      view.heads,
      (a, b) => priorityRank(a.priority) - priorityRank(b.priority) || a.sequence - b.sequence,
    );
  }
  override ended(): void {
    // The order does not depend on run times.
  }
}
