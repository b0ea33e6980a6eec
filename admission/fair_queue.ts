/** Requests that wait for a slot of one pool, by team and priority. */
import type { Priority } from '../model/fleet';
import type { QueueHead } from './queueing_policy';

const PRIORITIES: readonly Priority[] = ['urgent', 'normal', 'batch'];

/** A waiting request; `item` is what the owner of the queue needs to start or reject it. */
export interface WaitingRequest<T> extends QueueHead {
  readonly item: T;
}

type QueuesByPriority<T> = Readonly<Record<Priority, WaitingRequest<T>[]>>;

/**
 * Queue that is first-in, first-out per team and priority.
 *
 * @example
 * ```ts
 * const queue = new FairQueue<string>();
 * const waiting = queue.add({ teamId: 'a', priority: 'normal', waitingSinceMs: 0, deadlineAtMs: 500, item });
 * queue.remove(waiting);
 * ```
 */
export class FairQueue<T> {
  private readonly queuesByTeam = new Map<string, QueuesByPriority<T>>();
  private sequence = 0;
  private earliestDeadlineAtMs = Number.POSITIVE_INFINITY;

  add(request: Omit<WaitingRequest<T>, 'sequence'>): WaitingRequest<T> {
    this.sequence += 1;
    const waiting = { ...request, sequence: this.sequence };
    const queues = this.queuesByTeam.get(request.teamId) ?? { urgent: [], normal: [], batch: [] };
    this.queuesByTeam.set(request.teamId, queues);
    queues[request.priority].push(waiting);
    this.earliestDeadlineAtMs = Math.min(this.earliestDeadlineAtMs, request.deadlineAtMs);
    return waiting;
  }

  /** Removes a request; returns whether it was still waiting. */
  remove(waiting: QueueHead): boolean {
    const queues = this.queuesByTeam.get(waiting.teamId);
    const queue = queues?.[waiting.priority] ?? [];
    const index = queue.findIndex(({ sequence }) => sequence === waiting.sequence);
    if (index < 0) return false;
    queue.splice(index, 1);
    if (queues !== undefined && totalLength(queues) === 0) this.queuesByTeam.delete(waiting.teamId);
    return true;
  }

  /** Returns the number of waiting requests of a team. */
  count(teamId: string): number {
    const queues = this.queuesByTeam.get(teamId);
    return queues === undefined ? 0 : totalLength(queues);
  }

  teams(): readonly string[] {
    return [...this.queuesByTeam.keys()];
  }

  /** Returns the first request of each priority, for every team for which `mayStart` is true. */
  heads(mayStart: (teamId: string) => boolean): readonly WaitingRequest<T>[] {
    return [...this.queuesByTeam].flatMap(([teamId, queues]) =>
      mayStart(teamId) ? PRIORITIES.flatMap((priority) => queues[priority].slice(0, 1)) : [],
    );
  }

  /** Removes and returns the requests of the teams for which `matches` is true, by default those of all teams. */
  removeAll(matches: (teamId: string) => boolean = () => true): readonly WaitingRequest<T>[] {
    const removed = [...this.queuesByTeam].filter(([teamId]) => matches(teamId));
    for (const [teamId] of removed) this.queuesByTeam.delete(teamId);
    return removed.flatMap(([, queues]) => PRIORITIES.flatMap((priority) => queues[priority]));
  }

  /** Removes and returns the requests whose deadline has passed. */
  removeExpired(nowMs: number): readonly WaitingRequest<T>[] {
    if (nowMs < this.earliestDeadlineAtMs) return [];
    const all = [...this.queuesByTeam.values()].flatMap((queues) =>
      PRIORITIES.flatMap((priority) => queues[priority]),
    );
    const expired = all.filter(({ deadlineAtMs }) => deadlineAtMs <= nowMs);
    for (const waiting of expired) this.remove(waiting);
    this.earliestDeadlineAtMs = all
      .filter(({ deadlineAtMs }) => deadlineAtMs > nowMs)
      .reduce((earliest, { deadlineAtMs }) => Math.min(earliest, deadlineAtMs), Number.POSITIVE_INFINITY);
    return expired;
  }
}

function totalLength<T>(queues: QueuesByPriority<T>): number {
  return queues.urgent.length + queues.normal.length + queues.batch.length;
}
