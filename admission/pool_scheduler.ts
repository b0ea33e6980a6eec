/** Starts the waiting work of one pool on this member. */
import type { AdmissionRequest } from './admission_gate';
import { FairQueue, type WaitingRequest } from './fair_queue';
import type { Charge, QueueingPolicy, QueueHead } from './queueing_policy';
import { computeSlotShare, type SlotShareInputs, type TeamCounts } from './slot_shares';

/** Age in milliseconds after which the slot share of this member is computed again. */
const MAX_SHARE_AGE_MS = 100;

/**
 * Fraction of the slots by which a pool may be overcommitted while the slot
 * shares change. Without it, slots would be idle until the next exchange with
 * peers.
 */
const TRANSITION_OVERCOMMIT_RATIO = 1 / 16;

/** A waiting request with the callbacks that start or reject it. */
export interface QueuedWork {
  readonly request: AdmissionRequest;
  readonly start: (charge: Charge) => void;
  readonly reject: (reason: RejectionReason) => void;
}

export type RejectionReason =
  | 'queueFull'
  | 'deadlineExceeded'
  | 'limitUnavailable'
  | 'shuttingDown'
  | 'staleConfiguration'
  | 'noTarget'
  | 'cancelled';

export type SchedulerInputs = Omit<SlotShareInputs, 'selfId' | 'members'> & {
  readonly nowMs: number;
  readonly selfId: string;
  /** Last reported counts of the live peers in this pool, by member id. */
  readonly peers: ReadonlyMap<string, TeamCounts>;
  /**
   * Counts of this member as last sent to its peers. With newer counts the
   * members would compute different divisions and claim the same slots.
   */
  readonly published: TeamCounts;
  readonly mayStart: (teamId: string) => boolean;
};

/** Decides which requests of a pool start. Grants affect it only through `SchedulerInputs.mayStart`. */
export class PoolScheduler {
  readonly queue = new FairQueue<QueuedWork>();
  private readonly running = new Map<string, number>();
  private totalRunning = 0;
  /** Number of slots of the pool that this member may fill. */
  private slotShare = 0;
  private shareValidUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly policy: QueueingPolicy) {}

  /** Returns the running and waiting work per team. */
  counts(): TeamCounts {
    const teams = new Set([...this.running.keys(), ...this.queue.teams()]);
    return new Map([...teams].map((teamId) => [teamId, this.count(teamId)]));
  }

  /** Returns how much work of a team runs or could run if the team had the whole slot share of this member. */
  need(teamId: string): number {
    const { running, waiting } = this.count(teamId);
    return running + Math.min(waiting, Math.max(1, this.slotShare));
  }

  isIdle(): boolean {
    return this.totalRunning === 0 && this.queue.teams().length === 0;
  }

  /** Makes the next start compute the slot share again. */
  invalidateShare(): void {
    this.shareValidUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Starts the next request if a slot is free; returns whether one was started. */
  startNext(inputs: SchedulerInputs): boolean {
    this.updateShare(inputs);
    if (!this.hasFreeSlot(inputs)) return false;
    const heads = this.queue.heads(inputs.mayStart);
    if (!isNonEmpty(heads)) return false;
    const { nowMs, weightOf } = inputs;
    const runningOnPeers = (teamId: string): number =>
      [...inputs.peers.values()].reduce((sum, teams) => sum + (teams.get(teamId)?.running ?? 0), 0);
    const view = { nowMs, heads, slots: this.slotShare, weightOf, runningOnPeers };
    const next = this.policy.select(view);
    if (next === null) return false;
    const charge = this.policy.started(next, view);
    const waiting = heads.find(({ sequence }) => sequence === next.sequence) ?? heads[0];
    this.queue.remove(waiting);
    this.adjustRunning(waiting.teamId, 1);
    waiting.item.start(charge);
    return true;
  }

  /** Records that started work has ended after `ranMs` milliseconds. */
  ended(charge: Charge, ranMs: number): void {
    this.adjustRunning(charge.teamId, -1);
    this.policy.ended(charge, ranMs);
  }

  /** Rejects the requests whose deadline has passed. */
  rejectExpired(nowMs: number): void {
    for (const { item } of this.queue.removeExpired(nowMs)) item.reject('deadlineExceeded');
  }

  private hasFreeSlot(inputs: SchedulerInputs): boolean {
    if (this.totalRunning >= this.slotShare) return false;
    const runningOnPeers = [...inputs.peers.values()].reduce((sum, teams) => sum + sumOfRunning(teams), 0);
    return (
      this.totalRunning + runningOnPeers <
      inputs.slots + Math.max(1, Math.floor(inputs.slots * TRANSITION_OVERCOMMIT_RATIO))
    );
  }

  private updateShare(inputs: SchedulerInputs): void {
    if (inputs.nowMs < this.shareValidUntilMs) return;
    this.shareValidUntilMs = inputs.nowMs + MAX_SHARE_AGE_MS;
    const members = new Map([...inputs.peers, [inputs.selfId, inputs.published]]);
    this.slotShare = computeSlotShare({ ...inputs, members });
  }

  private count(teamId: string): { readonly running: number; readonly waiting: number } {
    return { running: this.running.get(teamId) ?? 0, waiting: this.queue.count(teamId) };
  }

  private adjustRunning(teamId: string, amount: number): void {
    const running = (this.running.get(teamId) ?? 0) + amount;
    this.totalRunning += amount;
    if (running === 0) this.running.delete(teamId);
    else this.running.set(teamId, running);
  }
}

function sumOfRunning(teams: TeamCounts): number {
  return [...teams.values()].reduce((sum, { running }) => sum + running, 0);
}

function isNonEmpty(
  heads: readonly WaitingRequest<QueuedWork>[],
): heads is readonly [WaitingRequest<QueuedWork>, ...WaitingRequest<QueuedWork>[]] &
  readonly [QueueHead, ...QueueHead[]] {
  return heads.length > 0;
}
