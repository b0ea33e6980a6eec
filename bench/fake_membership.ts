/** Shared list of members with fences, and each member's view of it. */
import { FENCE_WAIT_MS } from '../config/freshness';
import type { Clock } from '../kernel/clock';
import { MAX_WORK_MS, Membership, type Member, type IncarnationState } from '../membership/membership';

/** The members of one deployment. A fence is seen by all members at once. */
export class FakeMemberList {
  private readonly members = new Map<string, Member>();
  private readonly endedAtMs = new Map<string, number>();
  private registrations = 0;

  constructor(private readonly clock: Clock) {}

  register(memberId: string): Member {
    this.registrations += 1;
    const member: Member = {
      memberId,
      incarnation: `${memberId}#${this.registrations}`,
      host: memberId,
      peerPort: 0,
      availabilityZone: 'zone-1',
      status: 'active',
    };
    this.members.set(memberId, member);
    return member;
  }

  fence(memberId: string): void {
    const member = this.members.get(memberId);
    if (member === undefined) return;
    this.members.delete(memberId);
    this.endedAtMs.set(member.incarnation, this.clock.monotonicMs() + FENCE_WAIT_MS + MAX_WORK_MS);
  }

  current(memberId: string): Member | undefined {
    return this.members.get(memberId);
  }

  all(): readonly Member[] {
    return [...this.members.values()];
  }

  standing(memberId: string, incarnation: string): IncarnationState {
    if (this.members.get(memberId)?.incarnation === incarnation) return 'live';
    return this.clock.monotonicMs() < (this.endedAtMs.get(incarnation) ?? 0) ? 'fencing' : 'ended';
  }
}

/** One member's view; `self` stays until the member learns that it was fenced. */
export class FakeMembership extends Membership {
  private member: Member | null = null;
  private seen: readonly Member[] = [];

  constructor(private readonly list: FakeMemberList) {
    super();
  }

  /** Takes in the list; in between, the view is that of the last call. */
  refresh(): void {
    this.seen = this.list.all();
  }

  become(member: Member | null): void {
    this.member = member;
  }

  override self(): Member | null {
    return this.member;
  }

  override registered(): readonly Member[] {
    return this.seen;
  }

  override incarnationState(memberId: string, incarnation: string): IncarnationState {
    if (this.seen.some((member) => member.incarnation === incarnation)) return 'live';
    // A member that joined after the last call is not known here.
    const standing = this.list.standing(memberId, incarnation);
    return standing === 'live' ? 'ended' : standing;
  }
}
