/** Requests that wait for a slot of one pool, by team and class. */
import type { Priority } from '../model/fleet';
import type { QueueHead } from './queueing_policy';

const CLASSES: readonly Priority[] = ['urgent', 'normal', 'batch'];

/** A waiting request; `T` is what its owner needs to settle it. */
export interface Waiting<T> extends QueueHead {
  readonly item: T;
}

type Lines<T> = Readonly<Record<Priority, Waiting<T>[]>>;

/**
 * First-in, first-out per team and class.
 *
 * @example
 * ```ts
 * const queue = new FairQueue<string>();
 * const waiting = queue.add({ teamId: 'a', priority: 'normal', sinceMs: 0, deadlineAtMs: 500, item: 'r1' });
 * queue.remove(waiting);
 * ```
 */
export class FairQueue<T> {
  private readonly lines = new Map<string, Lines<T>>();
  private sequence = 0;
  private earliestDeadlineMs = Number.POSITIVE_INFINITY;

  add(request: Omit<Waiting<T>, 'sequence'>): Waiting<T> {
    this.sequence += 1;
    const waiting = { ...request, sequence: this.sequence };
    const lines = this.lines.get(request.teamId) ?? { urgent: [], normal: [], batch: [] };
    this.lines.set(request.teamId, lines);
    lines[request.priority].push(waiting);
    this.earliestDeadlineMs = Math.min(this.earliestDeadlineMs, request.deadlineAtMs);
    return waiting;
  }

  /** Returns whether the request was still waiting. */
  remove(waiting: QueueHead): boolean {
    const lines = this.lines.get(waiting.teamId);
    const line = lines?.[waiting.priority] ?? [];
    const index = line.findIndex(({ sequence }) => sequence === waiting.sequence);
    if (index < 0) return false;
    line.splice(index, 1);
    if (lines !== undefined && countOf(lines) === 0) this.lines.delete(waiting.teamId);
    return true;
  }

  /** Waiting requests of a team. */
  count(teamId: string): number {
    const lines = this.lines.get(teamId);
    return lines === undefined ? 0 : countOf(lines);
  }

  teams(): readonly string[] {
    return [...this.lines.keys()];
  }

  /** The first request of every team that `mayStart`, in every class. */
  heads(mayStart: (teamId: string) => boolean): readonly Waiting<T>[] {
    return [...this.lines].flatMap(([teamId, lines]) =>
      mayStart(teamId) ? CLASSES.flatMap((priority) => lines[priority].slice(0, 1)) : [],
    );
  }

  /** Removes and returns the requests of the teams that `matches`, or of all teams. */
  takeAll(matches: (teamId: string) => boolean = () => true): readonly Waiting<T>[] {
    const taken = [...this.lines].filter(([teamId]) => matches(teamId));
    for (const [teamId] of taken) this.lines.delete(teamId);
    return taken.flatMap(([, lines]) => CLASSES.flatMap((priority) => lines[priority]));
  }

  /** Removes and returns the requests whose deadline has passed. */
  takeOverdue(nowMs: number): readonly Waiting<T>[] {
    if (nowMs < this.earliestDeadlineMs) return [];
    const all = [...this.lines.values()].flatMap((lines) => CLASSES.flatMap((priority) => lines[priority]));
    const overdue = all.filter(({ deadlineAtMs }) => deadlineAtMs <= nowMs);
    for (const waiting of overdue) this.remove(waiting);
    this.earliestDeadlineMs = all
      .filter(({ deadlineAtMs }) => deadlineAtMs > nowMs)
      .reduce((earliest, { deadlineAtMs }) => Math.min(earliest, deadlineAtMs), Number.POSITIVE_INFINITY);
    return overdue;
  }
}

function countOf<T>(lines: Lines<T>): number {
  return lines.urgent.length + lines.normal.length + lines.batch.length;
}
