/** Measures how long members have been silent while this instance was able to receive their messages. */
import type { PeerIdentity } from '../peers/exchange';

/** Silence after which a member is fenced, in milliseconds: ten exchanges. */
export const SILENCE_LIMIT_MS = 5_000;

/** Interval between observations, in milliseconds. */
export const SILENCE_TICK_MS = 500;

/**
 * If more than this many milliseconds pass between observations, this process was
 * paused and could not receive messages.
 */
const PAUSE_GAP_MS = 1_000;

/** One observation of all registered peers. */
export interface SilenceObservation {
  readonly nowMs: number;
  /** Whether the table is up and this instance is fresh; silence at other times does not count. */
  readonly isUsable: boolean;
  readonly peers: readonly { readonly peer: PeerIdentity; readonly silentMs: number }[];
}

/** The silence of one peer. */
export interface Silence {
  readonly peer: PeerIdentity;
  /** Silence that counts towards a fence, in milliseconds. */
  readonly countedMs: number;
  /** Time since the peer was first observed, in milliseconds. */
  readonly knownForMs: number;
}

interface SilenceRecord {
  readonly firstObservedAtMs: number;
  readonly countedMs: number;
}

/**
 * Accumulates silence over observations. Time during a table outage does not
 * count, and a pause of this process resets the silence of all members to zero.
 * Otherwise the end of an outage or of a pause could cause all members to be
 * fenced at once.
 */
export class SilenceMonitor {
  private records: ReadonlyMap<string, SilenceRecord> = new Map();
  private lastObservation: { readonly nowMs: number; readonly isUsable: boolean } | null = null;

  observe(observation: SilenceObservation): readonly Silence[] {
    const { nowMs, isUsable, peers } = observation;
    const gapMs = this.lastObservation === null ? 0 : nowMs - this.lastObservation.nowMs;
    const wasPaused = gapMs > PAUSE_GAP_MS;
    const addedMs = isUsable && this.lastObservation?.isUsable === true ? gapMs : 0;
    this.lastObservation = { nowMs, isUsable };
    const updated = peers.map(({ peer, silentMs }) => {
      const previous = this.records.get(peerKey(peer)) ?? { firstObservedAtMs: nowMs, countedMs: 0 };
      const hasContact = silentMs <= gapMs;
      const countedMs = wasPaused || hasContact ? 0 : previous.countedMs + addedMs;
      return { peer, record: { firstObservedAtMs: previous.firstObservedAtMs, countedMs } };
    });
    this.records = new Map(updated.map(({ peer, record }) => [peerKey(peer), record]));
    return updated.map(({ peer, record }) => ({
      peer,
      countedMs: record.countedMs,
      knownForMs: nowMs - record.firstObservedAtMs,
    }));
  }
}

function peerKey(peer: PeerIdentity): string {
  return `${peer.memberId}/${peer.incarnation}`;
}
