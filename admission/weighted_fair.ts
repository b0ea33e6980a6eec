/**
 * Urgent work first, then weighted fair order over teams.
 *
 * Each team has a virtual time: the slot time that it used in the pool, divided
 * by its weight. The team with the smallest virtual time is next. A start is
 * charged with the mean run time of the pool and corrected when the work ends,
 * since declared run times may be far off. Running work on peers is charged as
 * time passes, so that a team that gets more than its share on one member gets
 * less on the others.
 */
import {
  firstBy,
  rankOf,
  QueueingPolicy,
  type Charge,
  type PolicyView,
  type QueueHead,
} from './queueing_policy';

/** Of this many starts in a row, one goes to a lower class that has waited long enough. */
const STARTS_PER_LOWER_CLASS = 8;

/** Waiting time after which a lower class gets its turns, in milliseconds. */
const LOWER_CLASS_PATIENCE_MS = 1_000;

/**
 * A team that has nothing waiting here for no longer than this keeps its claim,
 * in milliseconds: a small team's queue on one of several members is often
 * empty for a moment although the team waits elsewhere.
 */
const PAUSE_MS = 2_000;

/** Weight of the latest run time in the mean. */
const RUN_TIME_GAIN = 0.05;

const FIRST_ESTIMATE_MS = 100;

type Heads = readonly [QueueHead, ...QueueHead[]];

export class WeightedFair extends QueueingPolicy {
  private readonly virtualMs = new Map<string, number>();
  /** When a team last had something waiting here. */
  private lastWaitingMs: ReadonlyMap<string, number> = new Map();
  private virtualNowMs = 0;
  private meanRunMs = FIRST_ESTIMATE_MS;
  private startsAboveLowerClass = 0;
  private chargedUntilMs = 0;

  override select(view: PolicyView): QueueHead {
    this.chargePeers(view);
    this.activate(view.heads, view.nowMs);
    const urgent = view.heads.filter(({ priority }) => priority === 'urgent');
    const others = view.heads.filter(({ priority }) => priority !== 'urgent');
    if (isFilled(urgent) && isFilled(others)) {
      return this.selectFair(this.isTurnOfLowerClass(others, view.nowMs) ? others : urgent, view.nowMs);
    }
    return this.selectFair(view.heads, view.nowMs);
  }

  override started(head: QueueHead, view: PolicyView): Charge {
    const best = Math.min(...view.heads.map(({ priority }) => rankOf(priority)));
    this.startsAboveLowerClass = rankOf(head.priority) > best ? 0 : this.startsAboveLowerClass + 1;
    const weight = view.weightOf(head.teamId);
    this.add(head.teamId, this.meanRunMs / weight);
    return { teamId: head.teamId, estimateMs: this.meanRunMs, weight };
  }

  override ended(charge: Charge, ranMs: number): void {
    this.add(charge.teamId, (ranMs - charge.estimateMs) / charge.weight);
    this.meanRunMs += RUN_TIME_GAIN * (ranMs - this.meanRunMs);
  }

  /** The team with the smallest virtual time, and its highest class. */
  private selectFair(heads: Heads, nowMs: number): QueueHead {
    const next = firstBy(heads, (a, b) => this.timeOf(a) - this.timeOf(b) || a.sequence - b.sequence);
    const ofTeam = heads.filter(({ teamId }) => teamId === next.teamId);
    const best = firstBy([next, ...ofTeam], (a, b) => rankOf(a.priority) - rankOf(b.priority));
    const lower = ofTeam.filter(({ priority }) => rankOf(priority) > rankOf(best.priority));
    if (!isFilled(lower) || !this.isTurnOfLowerClass(lower, nowMs)) return best;
    return firstBy(lower, (a, b) => a.sequence - b.sequence);
  }

  private isTurnOfLowerClass(lower: readonly QueueHead[], nowMs: number): boolean {
    if (this.startsAboveLowerClass < STARTS_PER_LOWER_CLASS - 1) return false;
    return lower.some(({ sinceMs }) => nowMs - sinceMs >= LOWER_CLASS_PATIENCE_MS);
  }

  /** Charges the teams that wait here with the slot time of their work on peers since the last call. */
  private chargePeers(view: PolicyView): void {
    const passedMs = view.nowMs - this.chargedUntilMs;
    this.chargedUntilMs = view.nowMs;
    if (passedMs === 0) return;
    for (const teamId of this.lastWaitingMs.keys()) {
      this.add(teamId, (view.runningOnPeers(teamId) * passedMs) / view.weightOf(teamId));
    }
  }

  /** Keeps a team that asked for nothing from saving up time. */
  private activate(heads: Heads, nowMs: number): void {
    const teams = new Set(heads.map(({ teamId }) => teamId));
    for (const teamId of teams) {
      if (nowMs - (this.lastWaitingMs.get(teamId) ?? Number.NEGATIVE_INFINITY) <= PAUSE_MS) continue;
      this.virtualMs.set(teamId, Math.max(this.virtualMs.get(teamId) ?? 0, this.virtualNowMs));
    }
    const recent = [...this.lastWaitingMs].filter(([, atMs]) => nowMs - atMs <= PAUSE_MS);
    this.lastWaitingMs = new Map([...recent, ...[...teams].map((teamId) => [teamId, nowMs] as const)]);
    this.virtualNowMs = Math.max(this.virtualNowMs, Math.min(...heads.map((head) => this.timeOf(head))));
  }

  private timeOf(head: QueueHead): number {
    return this.virtualMs.get(head.teamId) ?? 0;
  }

  private add(teamId: string, ms: number): void {
    this.virtualMs.set(teamId, (this.virtualMs.get(teamId) ?? 0) + ms);
  }
}

function isFilled(heads: readonly QueueHead[]): heads is Heads {
  return heads.length > 0;
}
