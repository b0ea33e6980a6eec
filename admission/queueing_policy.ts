/** Order in which waiting work of a pool gets its slots. */
import type { Priority } from '../model/fleet';

/** The first waiting request of a team in one class. */
export interface QueueHead {
  readonly teamId: string;
  readonly priority: Priority;
  /** Rises with every request of the pool. */
  readonly sequence: number;
  readonly sinceMs: number;
  readonly deadlineAtMs: number;
}

export interface PolicyView {
  readonly nowMs: number;
  /** One head per team and class; only teams that may start work. Never empty. */
  readonly heads: readonly [QueueHead, ...QueueHead[]];
  /** Slots that this member may fill. */
  readonly slots: number;
  readonly weightOf: (teamId: string) => number;
  /** Running work of a team in this pool on all peers, as last reported. */
  readonly runningOnPeers: (teamId: string) => number;
}

/** What a start was charged, to be corrected when the work ends. */
export interface Charge {
  readonly teamId: string;
  readonly estimateMs: number;
  readonly weight: number;
}

/** Chooses the next request of one pool. */
export abstract class QueueingPolicy {
  /** The next request, or `null` to leave the slot free. */
  abstract select(view: PolicyView): QueueHead | null;

  /** Called for every start. */
  started(head: QueueHead, view: PolicyView): Charge {
    return { teamId: head.teamId, estimateMs: 0, weight: view.weightOf(head.teamId) };
  }

  /** Called when started work has ended after `ranMs` milliseconds. */
  abstract ended(charge: Charge, ranMs: number): void;
}

const RANK: Readonly<Record<Priority, number>> = { urgent: 0, normal: 1, batch: 2 };

/** Order of classes: smaller runs first. */
export function rankOf(priority: Priority): number {
  return RANK[priority];
}

/** The smallest element in the order of `compare`. */
export function firstBy<T>(items: readonly [T, ...T[]], compare: (a: T, b: T) => number): T {
  return items.reduce((best, item) => (compare(item, best) < 0 ? item : best));
}
