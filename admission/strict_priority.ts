/** Baseline order: by class only, then the request that came first. */
import { firstBy, rankOf, SharePolicy, type PolicyView, type WaitingHead } from './share_policy';

export class StrictPriority extends SharePolicy {
  override select(view: PolicyView): WaitingHead {
    return firstBy(view.heads, (a, b) => rankOf(a.priority) - rankOf(b.priority) || a.sequence - b.sequence);
  }
  override ended(): void {
    // The order does not depend on how long work took.
  }
}
