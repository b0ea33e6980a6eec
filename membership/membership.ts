/** Registered entry instances, as other parts see them. */
import { capability } from '../kernel/capability';
import { eventType } from '../kernel/events';

/** Longest time that admitted work may take, in milliseconds; no deadline may be longer. */
export const MAX_WORK_MS = 60_000;

export type MemberStatus = 'joining' | 'active' | 'fenced' | 'left';

/** One incarnation of an entry instance. */
export interface Member {
  readonly memberId: string;
  /** Random, new for every registration. */
  readonly incarnation: string;
  readonly host: string;
  readonly peerPort: number;
  readonly availabilityZone: string;
  readonly status: MemberStatus;
}

/**
 * What may still run on behalf of an incarnation: `live` may start work,
 * `fencing` may have work running, `ended` has none.
 */
export type IncarnationState = 'live' | 'fencing' | 'ended';

/** The membership as this entry instance knows it. */
export abstract class Membership {
  /** The incarnation under which this entry instance is registered, `null` before that. */
  abstract self(): Member | null;

  /** Members that are joining or active, this one included. */
  abstract registered(): readonly Member[];

  /** Where an incarnation stands that a table row names; one that no member row names has ended. */
  abstract incarnationState(memberId: string, incarnation: string): IncarnationState;
}

export const MEMBERSHIP = capability<Membership>('membership.membership');

/** Published after the known membership or the state of an incarnation has changed. */
export const MEMBERSHIP_UPDATED = eventType<Readonly<Record<string, never>>>('membership.updated');
