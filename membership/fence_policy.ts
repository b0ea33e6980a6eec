/**
 * Decides which members to fence, that is, to exclude because they seem to have
 * crashed. A fenced member loses its registration and soon stops admitting work.
 */
import type { InstanceListing } from '../platform/instance_list';
import type { PeerIdentity } from '../peers/exchange';
import { SILENCE_LIMIT_MS, type Silence } from './silence_monitor';

/**
 * A member that is missing from the platform's list is fenced after it has been
 * silent for this many milliseconds; it has then missed two exchanges.
 */
const UNLISTED_SILENCE_MS = 1_250;

/** Time in milliseconds, in addition to the stated lag of the list, that a new member has to appear on it. */
const LISTING_MARGIN_MS = 2_000;

export interface FenceInput {
  readonly selfId: string;
  /**
   * Whether silent members need the confirmations of this instance to stay fresh;
   * see `MemberRow.succeedsActive`.
   */
  readonly isConfirmationNeeded: boolean;
  readonly silences: readonly Silence[];
  /** The platform's list, `null` if it is unavailable. */
  readonly listing: InstanceListing | null;
}

export interface FenceCandidate {
  readonly peer: PeerIdentity;
  readonly reason: 'silent' | 'listed_gone';
}

/**
 * Returns the members to fence. A silent member that does not need the
 * confirmation of this instance could stay fresh after the fence on the
 * confirmations of others, so only an instance whose confirmation it needs may
 * fence it for silence. A member that is missing from the platform's list may
 * be fenced by any other. The list is trusted only if it contains this
 * instance, because some platforms do not list entry instances at all.
 */
export function fenceCandidates(input: FenceInput): readonly FenceCandidate[] {
  return input.silences.flatMap((silence): readonly FenceCandidate[] => {
    const { peer } = silence;
    if (isGoneFromList(input, silence)) return [{ peer, reason: 'listed_gone' }];
    const isSilent = input.isConfirmationNeeded && silence.countedMs >= SILENCE_LIMIT_MS;
    return isSilent ? [{ peer, reason: 'silent' }] : [];
  });
}

function isGoneFromList(input: FenceInput, silence: Silence): boolean {
  const { listing, selfId } = input;
  if (listing === null || silence.countedMs < UNLISTED_SILENCE_MS) return false;
  if (silence.knownForMs < listing.lagMs + LISTING_MARGIN_MS) return false;
  const listed = new Set(listing.instances.map(({ instanceId }) => instanceId));
  return listed.has(selfId) && !listed.has(silence.peer.memberId);
}
