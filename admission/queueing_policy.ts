/** Interface of the policies that decide in which order the waiting work of a pool gets slots. */
import type { Priority } from '../model/fleet';

/** The first waiting request of one team and priority. */
export interface QueueHead {
  readonly teamId: string;
  readonly priority: Priority;
  /** Position in the order of arrival; it rises with every request of the pool. */
  readonly sequence: number;
  /** Local monotonic time in milliseconds at which the request was queued. */
  readonly waitingSinceMs: number;
  readonly deadlineAtMs: number;
}

/** State of a pool on which the choice of the next request depends. */
export interface PolicyView {
  readonly nowMs: number;
  /** The first waiting request per team and priority, for the teams that may start work. Never empty. */
  readonly heads: readonly [QueueHead, ...QueueHead[]];
  /** Number of slots of the pool that this member may fill. */
  readonly slots: number;
  readonly weightOf: (teamId: string) => number;
  /** Returns the running work of a team in this pool on all peers, as last reported. */
  readonly runningOnPeers: (teamId: string) => number;
}

/** The estimated run time that a team is charged for one start. It is corrected when the work ends. */
export interface Charge {
  readonly teamId: string;
  readonly estimateMs: number;
  readonly weight: number;
}

/** Chooses the next request of one pool to start. */
export abstract class QueueingPolicy {
  /** Returns the next request, or `null` to leave the slot free. */
  abstract select(view: PolicyView): QueueHead | null;

  /** Called for every start; returns the charge that is passed to {@link ended}. */
  started(head: QueueHead, view: PolicyView): Charge {
    return { teamId: head.teamId, estimateMs: 0, weight: view.weightOf(head.teamId) };
  }

  /** Called when started work has ended after `ranMs` milliseconds. */
  abstract ended(charge: Charge, ranMs: number): void;
}

const PRIORITY_RANK: Readonly<Record<Priority, number>> = { urgent: 0, normal: 1, batch: 2 };

/** Returns the rank of a priority; work with the smallest rank starts first. */
export function priorityRank(priority: Priority): number {
  return PRIORITY_RANK[priority];
}

/** Returns the smallest item according to `compare`, the first one of equal items. */
export function minBy<T>(items: readonly [T, ...T[]], compare: (a: T, b: T) => number): T {
  return items.reduce((best, item) => (compare(item, best) < 0 ? item : best));
}
