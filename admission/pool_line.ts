/** The waiting and running work of one pool on this member. */
import type { AdmissionRequest } from './admission_gate';
import { FairQueue, type Waiting } from './fair_queue';
import type { Charge, QueueingPolicy, QueueHead } from './queueing_policy';
import { computeSlotShare, type SlotShareInputs, type TeamCounts } from './slot_shares';

/** Age at which the division of the slots is computed again, in milliseconds. */
const SHARE_AGE_MS = 100;

/**
 * Part of the slots by which a pool may be overfilled while the division
 * changes; without it, slots stand empty until the next exchange.
 */
const TRANSITION_PART = 1 / 16;

/** A waiting request and what settles it. */
export interface LineItem {
  readonly request: AdmissionRequest;
  readonly start: (charge: Charge) => void;
  readonly refuse: (reason: RefusalReason) => void;
}

export type RefusalReason =
  | 'queueFull'
  | 'deadlineExceeded'
  | 'limitUnavailable'
  | 'shuttingDown'
  | 'staleConfiguration'
  | 'noTarget'
  | 'cancelled';

export type LineSurroundings = Omit<SlotShareInputs, 'selfId' | 'members'> & {
  readonly nowMs: number;
  readonly selfId: string;
  /** Last counts of the live peers in this pool. */
  readonly peers: ReadonlyMap<string, TeamCounts>;
  /**
   * Counts of this member as its peers know them: with newer ones, each member
   * would count on slots that the others count on as well.
   */
  readonly published: TeamCounts;
  readonly mayStart: (teamId: string) => boolean;
};

/** Decides which requests of a pool start; knows nothing of grants but whether a team may start. */
export class PoolLine {
  readonly queue = new FairQueue<LineItem>();
  private readonly running = new Map<string, number>();
  private totalRunning = 0;
  /** Slots that this member may fill. */
  private slots = 0;
  private shareUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly policy: QueueingPolicy) {}

  /** Running and waiting work of each team. */
  counts(): TeamCounts {
    const teams = new Set([...this.running.keys(), ...this.queue.teams()]);
    return new Map([...teams].map((teamId) => [teamId, this.count(teamId)]));
  }

  /** Work of a team that runs or could run if it had the member's whole part of the pool. */
  need(teamId: string): number {
    const { running, waiting } = this.count(teamId);
    return running + Math.min(waiting, Math.max(1, this.slots));
  }

  isIdle(): boolean {
    return this.totalRunning === 0 && this.queue.teams().length === 0;
  }

  /** The division of the slots is computed again before the next start. */
  shareIsOutdated(): void {
    this.shareUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Starts the next request if a slot is free for one; returns whether it did. */
  startNext(around: LineSurroundings): boolean {
    this.updateShare(around);
    if (!this.hasFreeSlot(around)) return false;
    const heads = this.queue.heads(around.mayStart);
    if (!isFilled(heads)) return false;
    const { nowMs, weightOf } = around;
    const runningOnPeers = (teamId: string): number =>
      [...around.peers.values()].reduce((sum, teams) => sum + (teams.get(teamId)?.running ?? 0), 0);
    const view = { nowMs, heads, slots: this.slots, weightOf, runningOnPeers };
    const next = this.policy.select(view);
    if (next === null) return false;
    const charge = this.policy.started(next, view);
    const waiting = heads.find(({ sequence }) => sequence === next.sequence) ?? heads[0];
    this.queue.remove(waiting);
    this.add(waiting.teamId, 1);
    waiting.item.start(charge);
    return true;
  }

  ended(charge: Charge, ranMs: number): void {
    this.add(charge.teamId, -1);
    this.policy.ended(charge, ranMs);
  }

  /** Refuses the requests whose deadline has passed. */
  dropOverdue(nowMs: number): void {
    for (const { item } of this.queue.takeOverdue(nowMs)) item.refuse('deadlineExceeded');
  }

  private hasFreeSlot(around: LineSurroundings): boolean {
    if (this.totalRunning >= this.slots) return false;
    const ofPeers = [...around.peers.values()].reduce((sum, teams) => sum + runningOf(teams), 0);
    return (
      this.totalRunning + ofPeers < around.slots + Math.max(1, Math.floor(around.slots * TRANSITION_PART))
    );
  }

  private updateShare(around: LineSurroundings): void {
    if (around.nowMs < this.shareUntilMs) return;
    this.shareUntilMs = around.nowMs + SHARE_AGE_MS;
    const members = new Map([...around.peers, [around.selfId, around.published]]);
    this.slots = computeSlotShare({ ...around, members });
  }

  private count(teamId: string): { readonly running: number; readonly waiting: number } {
    return { running: this.running.get(teamId) ?? 0, waiting: this.queue.count(teamId) };
  }

  private add(teamId: string, amount: number): void {
    const running = (this.running.get(teamId) ?? 0) + amount;
    this.totalRunning += amount;
    if (running === 0) this.running.delete(teamId);
    else this.running.set(teamId, running);
  }
}

function runningOf(teams: TeamCounts): number {
  return [...teams.values()].reduce((sum, { running }) => sum + running, 0);
}

function isFilled(
  heads: readonly Waiting<LineItem>[],
): heads is readonly [Waiting<LineItem>, ...Waiting<LineItem>[]] & readonly [QueueHead, ...QueueHead[]] {
  return heads.length > 0;
}
