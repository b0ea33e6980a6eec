/** Member rows in the table. */
import { z } from 'zod';
import type { Member } from './membership';

export const MEMBER_PREFIX = 'member/';

export const memberRowSchema = z.object({
  memberId: z.string().min(1),
  incarnation: z.string().min(1),
  host: z.string().min(1),
  peerPort: z.int().min(0).max(65_535),
  availabilityZone: z.string(),
  status: z.enum(['joining', 'active', 'fenced', 'left']),
  /** Earlier incarnations that may still have work running. */
  predecessors: z.array(z.string()).readonly(),
  /**
   * Whether this incarnation replaced an active one, or a joining one that had itself
   * replaced an active one. Other members then need its confirmations even while it
   * is joining.
   */
  succeedsActive: z.boolean(),
});

/** A member and the history that its successors and peers need. */
export type MemberRow = Readonly<z.infer<typeof memberRowSchema>>;

export function memberKey(memberId: string): string {
  return `${MEMBER_PREFIX}${memberId}`;
}

/** Whether the member is joining or active, so that its confirmations and acknowledgements are needed. */
export function isRegistered(row: MemberRow): boolean {
  return row.status === 'joining' || row.status === 'active';
}

/** Returns the member without its history. */
export function toMember(row: MemberRow): Member {
  const { memberId, incarnation, host, peerPort, availabilityZone, status } = row;
  return { memberId, incarnation, host, peerPort, availabilityZone, status };
}

/** Returns the row of a new incarnation that replaces `previous`. */
export function successorRow(member: Member, previous: MemberRow | null): MemberRow {
  if (previous === null) return { ...member, predecessors: [], succeedsActive: false };
  const replaced = previous.status === 'left' ? [] : [previous.incarnation];
  const succeedsActive =
    previous.status === 'active' || (previous.status === 'joining' && previous.succeedsActive);
  return { ...member, predecessors: [...previous.predecessors, ...replaced], succeedsActive };
}
