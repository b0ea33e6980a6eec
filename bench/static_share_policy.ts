/** Baseline policy for comparison: every team has a fixed share of each pool. */
import { QueueingPolicy, type Charge, type PolicyView, type QueueHead } from '../admission/queueing_policy';
import { StrictPriority } from '../admission/strict_priority';

/**
 * Slots that a team does not use stay free instead of going to other teams.
 * Within its share, a team's requests run by priority, then in order of arrival.
 */
export class StaticSharePolicy extends QueueingPolicy {
  private readonly orderWithinShares = new StrictPriority();
  private readonly running = new Map<string, number>();
  private readonly totalWeight: number;

  constructor(private readonly weights: ReadonlyMap<string, number>) {
    super();
    this.totalWeight = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  }

  override select(view: PolicyView): QueueHead | null {
    const [first, ...others] = view.heads.filter(({ teamId }) => this.hasFreeSlot(teamId, view.slots));
    return first === undefined ? null : this.orderWithinShares.select({ ...view, heads: [first, ...others] });
  }

  override started(head: QueueHead, view: PolicyView): Charge {
    this.changeRunning(head.teamId, 1);
    return super.started(head, view);
  }

  override ended(charge: Charge): void {
    this.changeRunning(charge.teamId, -1);
  }

  /** A share is at least one slot, since a member's part of a small pool may be less than that. */
  private hasFreeSlot(teamId: string, slots: number): boolean {
    const share = (slots * (this.weights.get(teamId) ?? 0)) / this.totalWeight;
    return (this.running.get(teamId) ?? 0) < Math.max(1, Math.round(share));
  }

  private changeRunning(teamId: string, amount: number): void {
    this.running.set(teamId, (this.running.get(teamId) ?? 0) + amount);
  }
}
