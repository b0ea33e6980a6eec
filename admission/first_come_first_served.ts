/** Baseline order: the request that came first, whatever its team and class. */
import { firstBy, SharePolicy, type PolicyView, type WaitingHead } from './share_policy';

export class FirstComeFirstServed extends SharePolicy {
  override select(view: PolicyView): WaitingHead {
    return firstBy(view.heads, (a, b) => a.sequence - b.sequence);
  }
  override ended(): void {
    // The order does not depend on how long work took.
  }
}
