/** Members of the simulated deployment: registration, fencing and standing, without the peer protocol. */
import { FENCED_WORK_LIMIT_MS } from '../membership/fenced_incarnations';
import { memberKey, type MemberRow } from '../membership/member_row';
import { Membership, type Member, type IncarnationState } from '../membership/membership';
import type { Clock } from '../kernel/clock';
import type { TableStore } from '../platform/table_store';

/** The member rows and the times at which incarnations were fenced. */
export class SimulatedMemberList {
  private readonly rows = new Map<string, MemberRow>();
  private readonly fencedAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly store: TableStore,
  ) {}

  /** Registers a new incarnation and returns it. */
  register(memberId: string): Member {
    const previous = this.rows.get(memberId);
    const predecessors = previous ? [...previous.predecessors, previous.incarnation] : [];
    const incarnation = `${memberId}-${predecessors.length + 1}`;
    const member: Member = {
      memberId,
      incarnation,
      host: 'local',
      peerPort: 0,
      availabilityZone: 'zone-1',
      status: 'active',
    };
    this.put({ ...member, predecessors, succeedsActive: false });
    return member;
  }

  fence(memberId: string): void {
    const row = this.rows.get(memberId);
    if (row?.status !== 'active') return;
    this.fencedAtMs.set(row.incarnation, this.clock.monotonicMs());
    this.put({ ...row, status: 'fenced' });
  }

  isFenced(member: Member): boolean {
    return this.fencedAtMs.has(member.incarnation);
  }

  registered(): readonly Member[] {
    return [...this.rows.values()].filter(({ status }) => status === 'active');
  }

  standing(memberId: string, incarnation: string): IncarnationState {
    const row = this.rows.get(memberId);
    if (row?.incarnation === incarnation && row.status === 'active') return 'live';
    const atMs = this.fencedAtMs.get(incarnation);
    return atMs !== undefined && this.clock.monotonicMs() - atMs < FENCED_WORK_LIMIT_MS ? 'fencing' : 'ended';
  }

  private put(row: MemberRow): void {
    this.rows.set(row.memberId, row);
    this.store.transact({ conditions: [], writes: [{ key: memberKey(row.memberId), value: row }] });
  }
}

/** The list as one member sees it; the member may not know yet that it was fenced. */
export class SimulatedMembership extends Membership {
  constructor(
    private readonly list: SimulatedMemberList,
    private readonly member: () => Member,
  ) {
    super();
  }

  override self(): Member {
    return this.member();
  }

  override registered(): readonly Member[] {
    return this.list.registered();
  }

  override incarnationState(memberId: string, incarnation: string): IncarnationState {
    return this.list.standing(memberId, incarnation);
  }
}
