/**
 * Weighted fair queueing over teams, with urgent work first.
 *
 * Each team has a virtual time: the slot time that it has used in the pool,
 * divided by its weight. The team with the smallest virtual time is next. A
 * start is charged the mean run time of the pool, and the charge is corrected
 * when the work ends, since declared run times may be far off. Running work on
 * peers is charged as time passes, so that a team that gets more than its share
 * on one member gets less on the others.
 */
import {
  minBy,
  priorityRank,
  QueueingPolicy,
  type Charge,
  type PolicyView,
  type QueueHead,
} from './queueing_policy';

/** Of this many consecutive starts, one goes to a request of a lower priority that has waited long enough. */
const STARTS_PER_LOWER_PRIORITY = 8;

/** Waiting time in milliseconds after which a request of a lower priority is due for that start. */
const LOWER_PRIORITY_MAX_WAIT_MS = 1_000;

/**
 * Longest time in milliseconds for which the queue of a team may be empty on this
 * member without the team counting as idle. The queue of a small team on one of
 * several members is often empty for a moment although work of the team waits on
 * other members.
 */
const IDLE_TOLERANCE_MS = 2_000;

/** Weight of the latest run time in the exponential moving average. */
const RUN_TIME_SMOOTHING = 0.05;

/** Mean run time in milliseconds that is assumed before any work has ended. */
const INITIAL_RUN_TIME_MS = 100;

type Heads = readonly [QueueHead, ...QueueHead[]];

export class WeightedFair extends QueueingPolicy {
  private readonly virtualTimeByTeam = new Map<string, number>();
  /** Local monotonic time in milliseconds at which each team last had work waiting in this pool on this member. */
  private lastWaitingAtMsByTeam: ReadonlyMap<string, number> = new Map();
  private poolVirtualTimeMs = 0;
  private meanRunMs = INITIAL_RUN_TIME_MS;
  private startsSinceLowerPriority = 0;
  private chargedUntilMs = 0;

  override select(view: PolicyView): QueueHead {
    this.chargePeers(view);
    this.raiseIdleTeams(view.heads, view.nowMs);
    const urgent = view.heads.filter(({ priority }) => priority === 'urgent');
    const others = view.heads.filter(({ priority }) => priority !== 'urgent');
    if (isNonEmpty(urgent) && isNonEmpty(others)) {
      return this.selectFair(this.isLowerPriorityDue(others, view.nowMs) ? others : urgent, view.nowMs);
    }
    return this.selectFair(view.heads, view.nowMs);
  }

  override started(head: QueueHead, view: PolicyView): Charge {
    const best = Math.min(...view.heads.map(({ priority }) => priorityRank(priority)));
    this.startsSinceLowerPriority =
      priorityRank(head.priority) > best ? 0 : this.startsSinceLowerPriority + 1;
    const weight = view.weightOf(head.teamId);
    this.advanceVirtualTime(head.teamId, this.meanRunMs / weight);
    return { teamId: head.teamId, estimateMs: this.meanRunMs, weight };
  }

  override ended(charge: Charge, ranMs: number): void {
    this.advanceVirtualTime(charge.teamId, (ranMs - charge.estimateMs) / charge.weight);
    this.meanRunMs += RUN_TIME_SMOOTHING * (ranMs - this.meanRunMs);
  }

  /**
   * Selects a request of the team with the smallest virtual time: its most urgent
   * one or, if a lower priority is due, its earliest one of a lower priority.
   */
  private selectFair(heads: Heads, nowMs: number): QueueHead {
    const next = minBy(
      heads,
      (a, b) => this.virtualTimeOf(a) - this.virtualTimeOf(b) || a.sequence - b.sequence,
    );
    const ofTeam = heads.filter(({ teamId }) => teamId === next.teamId);
    const best = minBy([next, ...ofTeam], (a, b) => priorityRank(a.priority) - priorityRank(b.priority));
    const lower = ofTeam.filter(({ priority }) => priorityRank(priority) > priorityRank(best.priority));
    if (!isNonEmpty(lower) || !this.isLowerPriorityDue(lower, nowMs)) return best;
    return minBy(lower, (a, b) => a.sequence - b.sequence);
  }

  /** Whether the next start goes to a lower priority, as {@link STARTS_PER_LOWER_PRIORITY} describes. */
  private isLowerPriorityDue(lower: readonly QueueHead[], nowMs: number): boolean {
    if (this.startsSinceLowerPriority < STARTS_PER_LOWER_PRIORITY - 1) return false;
    return lower.some(({ waitingSinceMs }) => nowMs - waitingSinceMs >= LOWER_PRIORITY_MAX_WAIT_MS);
  }

  /** Charges the teams that recently waited here for the slot time of their work on peers since the last call. */
  private chargePeers(view: PolicyView): void {
    const elapsedMs = view.nowMs - this.chargedUntilMs;
    this.chargedUntilMs = view.nowMs;
    if (elapsedMs === 0) return;
    for (const teamId of this.lastWaitingAtMsByTeam.keys()) {
      this.advanceVirtualTime(teamId, (view.runningOnPeers(teamId) * elapsedMs) / view.weightOf(teamId));
    }
  }

  /** Raises the virtual time of teams that were idle to that of the pool, so that idle time gives no advantage. */
  private raiseIdleTeams(heads: Heads, nowMs: number): void {
    const teams = new Set(heads.map(({ teamId }) => teamId));
    for (const teamId of teams) {
      if (nowMs - (this.lastWaitingAtMsByTeam.get(teamId) ?? Number.NEGATIVE_INFINITY) <= IDLE_TOLERANCE_MS)
        continue;
      this.virtualTimeByTeam.set(
        teamId,
        Math.max(this.virtualTimeByTeam.get(teamId) ?? 0, this.poolVirtualTimeMs),
      );
    }
    const recent = [...this.lastWaitingAtMsByTeam].filter(([, atMs]) => nowMs - atMs <= IDLE_TOLERANCE_MS);
    this.lastWaitingAtMsByTeam = new Map([
      ...recent,
      ...[...teams].map((teamId) => [teamId, nowMs] as const),
    ]);
    this.poolVirtualTimeMs = Math.max(
      this.poolVirtualTimeMs,
      Math.min(...heads.map((head) => this.virtualTimeOf(head))),
    );
  }

  private virtualTimeOf(head: QueueHead): number {
    return this.virtualTimeByTeam.get(head.teamId) ?? 0;
  }

  private advanceVirtualTime(teamId: string, ms: number): void {
    this.virtualTimeByTeam.set(teamId, (this.virtualTimeByTeam.get(teamId) ?? 0) + ms);
  }
}

function isNonEmpty(heads: readonly QueueHead[]): heads is Heads {
  return heads.length > 0;
}
