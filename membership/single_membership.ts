/** Membership of a deployment with one entry instance. */
import { Membership, type Member, type MemberStanding } from './membership';

export class SingleMembership extends Membership {
  constructor(private readonly member: Member) {
    super();
  }

  override self(): Member {
    return this.member;
  }

  override registered(): readonly Member[] {
    return [this.member];
  }

  override standing(memberId: string, incarnation: string): MemberStanding {
    const isSelf = memberId === this.member.memberId && incarnation === this.member.incarnation;
    return isSelf ? 'live' : 'ended';
  }
}
