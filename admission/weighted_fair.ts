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

/** One of this many consecutive starts goes to a lower priority that has waited long enough. */
const STARTS_PER_LOWER_PRIORITY = 8;

/** Waiting time after which a lower priority gets one of the starts above, in milliseconds. */
const LOWER_PRIORITY_MAX_WAIT_MS = 1_000;

/**
 * A team whose queue here is empty for no longer than this keeps its virtual
 * time, in milliseconds. The queue of a small team on one of several members is
 * often empty for a moment although work of the team waits on other members.
 */
const IDLE_TOLERANCE_MS = 2_000;

/** Weight of the latest run time in the exponential moving average. */
const RUN_TIME_SMOOTHING = 0.05;

/** Mean run time that is assumed before any work has ended, in milliseconds. */
const INITIAL_RUN_TIME_MS = 100;

type Heads = readonly [QueueHead, ...QueueHead[]];

export class WeightedFair extends QueueingPolicy {
  private readonly virtualTimeByTeam = new Map<string, number>();
  /** Time at which each team last had work waiting here. */
  private lastWaitingMs: ReadonlyMap<string, number> = new Map();
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

  /** Selects the team with the smallest virtual time and its highest priority, unless a lower one is due. */
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

  private isLowerPriorityDue(lower: readonly QueueHead[], nowMs: number): boolean {
    if (this.startsSinceLowerPriority < STARTS_PER_LOWER_PRIORITY - 1) return false;
    return lower.some(({ waitingSinceMs }) => nowMs - waitingSinceMs >= LOWER_PRIORITY_MAX_WAIT_MS);
  }

  /** Charges the teams that wait here with the slot time of their work on peers since the last call. */
  private chargePeers(view: PolicyView): void {
    const elapsedMs = view.nowMs - this.chargedUntilMs;
    this.chargedUntilMs = view.nowMs;
    if (elapsedMs === 0) return;
    for (const teamId of this.lastWaitingMs.keys()) {
      this.advanceVirtualTime(teamId, (view.runningOnPeers(teamId) * elapsedMs) / view.weightOf(teamId));
    }
  }

  /** Raises the virtual time of teams that were idle to that of the pool, so that idle time earns no credit. */
  private raiseIdleTeams(heads: Heads, nowMs: number): void {
    const teams = new Set(heads.map(({ teamId }) => teamId));
    for (const teamId of teams) {
      if (nowMs - (this.lastWaitingMs.get(teamId) ?? Number.NEGATIVE_INFINITY) <= IDLE_TOLERANCE_MS) continue;
      this.virtualTimeByTeam.set(
        teamId,
        Math.max(this.virtualTimeByTeam.get(teamId) ?? 0, this.poolVirtualTimeMs),
      );
    }
    const recent = [...this.lastWaitingMs].filter(([, atMs]) => nowMs - atMs <= IDLE_TOLERANCE_MS);
    this.lastWaitingMs = new Map([...recent, ...[...teams].map((teamId) => [teamId, nowMs] as const)]);
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
