/** Baseline: every team has a fixed part of each pool, and nothing is lent. */
import { QueueingPolicy, type Charge, type PolicyView, type QueueHead } from '../admission/queueing_policy';
import { StrictPriority } from '../admission/strict_priority';

/** Within its part, a team's work runs by class and then in the order of arrival. */
export class StaticPools extends QueueingPolicy {
  private readonly order = new StrictPriority();
  private readonly running = new Map<string, number>();
  private readonly totalWeight: number;

  constructor(private readonly weights: ReadonlyMap<string, number>) {
    super();
    this.totalWeight = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  }

  override select(view: PolicyView): QueueHead | null {
    const [first, ...others] = view.heads.filter(({ teamId }) => this.hasRoom(teamId, view.slots));
    return first === undefined ? null : this.order.select({ ...view, heads: [first, ...others] });
  }

  override started(head: QueueHead, view: PolicyView): Charge {
    this.add(head.teamId, 1);
    return super.started(head, view);
  }

  override ended(charge: Charge): void {
    this.add(charge.teamId, -1);
  }

  /** A part is rounded up to one slot, since a member's part of a small pool may be less than that. */
  private hasRoom(teamId: string, slots: number): boolean {
    const part = (slots * (this.weights.get(teamId) ?? 0)) / this.totalWeight;
    return (this.running.get(teamId) ?? 0) < Math.max(1, Math.round(part));
  }

  private add(teamId: string, amount: number): void {
    this.running.set(teamId, (this.running.get(teamId) ?? 0) + amount);
  }
}
