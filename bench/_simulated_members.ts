/** Membership of a simulated deployment: registration, fencing and incarnation states, without the peer protocol. */
import { FENCED_WORK_LIMIT_MS } from '../membership/fenced_incarnations';
import { memberKey, type MemberRow } from '../membership/member_row';
import { Membership, type Member, type IncarnationState } from '../membership/membership';
import type { Clock } from '../kernel/clock';
import type { TableStore } from '../platform/table_store';

/** The member rows, also written to the table, and the times at which incarnations were fenced. */
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
    this.writeRow({ ...member, predecessors, succeedsActive: false });
    return member;
  }

  fence(memberId: string): void {
    const row = this.rows.get(memberId);
    if (row?.status !== 'active') return;
    this.fencedAtMs.set(row.incarnation, this.clock.monotonicMs());
    this.writeRow({ ...row, status: 'fenced' });
  }

  isFenced(member: Member): boolean {
    return this.fencedAtMs.has(member.incarnation);
  }

  registered(): readonly Member[] {
    return [...this.rows.values()].filter(({ status }) => status === 'active');
  }

  incarnationState(memberId: string, incarnation: string): IncarnationState {
    const row = this.rows.get(memberId);
    if (row?.incarnation === incarnation && row.status === 'active') return 'live';
    const fencedAtMs = this.fencedAtMs.get(incarnation);
    return fencedAtMs !== undefined && this.clock.monotonicMs() - fencedAtMs < FENCED_WORK_LIMIT_MS
      ? 'fencing'
      : 'ended';
  }

  private writeRow(row: MemberRow): void {
    this.rows.set(row.memberId, row);
    this.store.transact({ conditions: [], writes: [{ key: memberKey(row.memberId), value: row }] });
  }
}

/** The membership as seen by one member, which may not know yet that it was fenced. */
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
    return this.list.incarnationState(memberId, incarnation);
  }
}
