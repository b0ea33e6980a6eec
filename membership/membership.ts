/** The membership: the entry instances that are registered in the table. */
import { capability } from '../kernel/capability';
import { eventType } from '../kernel/events';

/** Longest time for which admitted work may run, in milliseconds. No deadline may be longer. */
export const MAX_WORK_MS = 60_000;

/**
 * `joining`: registered, but not yet known to every registered member; `active`:
 * known to all of them; `fenced`: excluded by another member; `left`: stopped
 * and without running work.
 */
export type MemberStatus = 'joining' | 'active' | 'fenced' | 'left';

/** One incarnation of an entry instance. */
export interface Member {
  readonly memberId: string;
  /** Random id; every registration has a new one. */
  readonly incarnation: string;
  readonly host: string;
  readonly peerPort: number;
  readonly availabilityZone: string;
  readonly status: MemberStatus;
}

/**
 * Whether an incarnation may have work running: `live` may start work,
 * `fencing` was fenced and may still have work running, `ended` has none.
 */
export type IncarnationState = 'live' | 'fencing' | 'ended';

/** The membership as this entry instance has loaded it. */
export abstract class Membership {
  /** This entry instance as it is registered, `null` while it is not. */
  abstract self(): Member | null;

  /** Members that are joining or active, this one included. */
  abstract registered(): readonly Member[];

  /** Returns the state of an incarnation; one that no member row names has ended. */
  abstract incarnationState(memberId: string, incarnation: string): IncarnationState;
}

export const MEMBERSHIP = capability<Membership>('membership.membership');

/** Published after the loaded membership or the state of an incarnation has changed. */
export const MEMBERSHIP_UPDATED = eventType<Readonly<Record<string, never>>>('membership.updated');
