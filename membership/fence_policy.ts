/** Decides which members to fence. */
import type { InstanceListing } from '../platform/instance_list';
import type { PeerIdentity } from '../peers/exchange';
import { SILENCE_LIMIT_MS, type Silence } from './silence_monitor';

/** Silence that has to confirm what the platform's list says, in milliseconds: two missed exchanges. */
const LISTED_GONE_SILENCE_MS = 1_250;

/** Time beyond the lag of the list after which a new member must be on it, in milliseconds. */
const LISTING_MARGIN_MS = 2_000;

export interface FenceQuestion {
  readonly selfId: string;
  /** Whether members that this one does not hear count on its promises; see `MemberRow.succeedsActive`. */
  readonly isKnownToSilentMembers: boolean;
  readonly silences: readonly Silence[];
  /** The platform's list, `null` if it is not known. */
  readonly listing: InstanceListing | null;
}

export interface FenceCandidate {
  readonly peer: PeerIdentity;
  readonly reason: 'silent' | 'listed_gone';
}

/**
 * Members to fence. A silent member that still gets promises from others would
 * go on after the fence, so only an instance whose promise it needs may fence
 * it for silence. A member that the platform's list says is gone may be fenced
 * by any other; the list is believed only if it names this instance, because
 * a platform may not list entry instances at all.
 */
export function fenceCandidates(question: FenceQuestion): readonly FenceCandidate[] {
  return question.silences.flatMap((silence): readonly FenceCandidate[] => {
    const { peer } = silence;
    if (isListedGone(question, silence)) return [{ peer, reason: 'listed_gone' }];
    const isSilent = question.isKnownToSilentMembers && silence.countedMs >= SILENCE_LIMIT_MS;
    return isSilent ? [{ peer, reason: 'silent' }] : [];
  });
}

function isListedGone(question: FenceQuestion, silence: Silence): boolean {
  const { listing, selfId } = question;
  if (listing === null || silence.countedMs < LISTED_GONE_SILENCE_MS) return false;
  if (silence.knownForMs < listing.lagMs + LISTING_MARGIN_MS) return false;
  const listed = new Set(listing.instances.map(({ instanceId }) => instanceId));
  return listed.has(selfId) && !listed.has(silence.peer.memberId);
}
