/** In-memory membership with fencing, and each member's view of it. */
import { FENCE_WAIT_MS } from '../config/freshness';
import type { Clock } from '../kernel/clock';
import { MAX_WORK_MS, Membership, type Member, type IncarnationState } from '../membership/membership';

/** The members of one simulated deployment. A fence is visible to all of them at once. */
export class FakeMemberList {
  private readonly members = new Map<string, Member>();
  /** Time from which no work of a fenced incarnation can be running any more. */
  private readonly endedFromMs = new Map<string, number>();
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
    this.endedFromMs.set(member.incarnation, this.clock.monotonicMs() + FENCE_WAIT_MS + MAX_WORK_MS);
  }

  current(memberId: string): Member | undefined {
    return this.members.get(memberId);
  }

  all(): readonly Member[] {
    return [...this.members.values()];
  }

  incarnationState(memberId: string, incarnation: string): IncarnationState {
    if (this.members.get(memberId)?.incarnation === incarnation) return 'live';
    return this.clock.monotonicMs() < (this.endedFromMs.get(incarnation) ?? 0) ? 'fencing' : 'ended';
  }
}

/** One member's view of the list; a fenced member keeps its identity until it is reset with {@link setSelf}. */
export class FakeMembership extends Membership {
  private member: Member | null = null;
  private lastSeen: readonly Member[] = [];

  constructor(private readonly list: FakeMemberList) {
    super();
  }

  /** Reads the list; {@link registered} returns the members of the last call. */
  refresh(): void {
    this.lastSeen = this.list.all();
  }

  /** Sets the incarnation under which this member is registered, `null` for none. */
  setSelf(member: Member | null): void {
    this.member = member;
  }

  override self(): Member | null {
    return this.member;
  }

  override registered(): readonly Member[] {
    return this.lastSeen;
  }

  override incarnationState(memberId: string, incarnation: string): IncarnationState {
    if (this.lastSeen.some((member) => member.incarnation === incarnation)) return 'live';
    // A live incarnation that is not in the view joined after the last refresh and is unknown to this member.
    const state = this.list.incarnationState(memberId, incarnation);
    return state === 'live' ? 'ended' : state;
  }
}
