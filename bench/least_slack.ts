/** Candidate order: by class, then the request with the least time left until its deadline. */
import { firstBy, rankOf, SharePolicy, type PolicyView, type WaitingHead } from '../admission/share_policy';

export class LeastSlack extends SharePolicy {
  override select(view: PolicyView): WaitingHead {
    return firstBy(
      view.heads,
      (a, b) => rankOf(a.priority) - rankOf(b.priority) || a.deadlineAtMs - b.deadlineAtMs,
    );
  }

  override ended(): void {
    // The order does not depend on how long work took.
  }
}
