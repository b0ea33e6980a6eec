/** Finds members that have been silent for too long while this instance was in a position to hear them. */
import type { PeerIdentity } from '../peers/exchange';

/** Silence after which a member is fenced, in milliseconds: ten exchanges. */
export const SILENCE_LIMIT_MS = 5_000;

/** Interval between two observations, in milliseconds. */
export const SILENCE_TICK_MS = 500;

/** A longer gap between observations shows that this process was paused; it then could not hear anybody. */
const PAUSE_GAP_MS = 1_000;

/** One observation of all registered peers. */
export interface SilenceObservation {
  readonly nowMs: number;
  /** Whether the table is up and this instance is fresh. */
  readonly isUsable: boolean;
  readonly peers: readonly { readonly peer: PeerIdentity; readonly silentMs: number }[];
}

/** Silence of one peer that counts towards a fence. */
export interface Silence {
  readonly peer: PeerIdentity;
  readonly countedMs: number;
  /** Time since the peer was first observed, in milliseconds. */
  readonly knownForMs: number;
}

interface Count {
  readonly firstMs: number;
  readonly countedMs: number;
}

/**
 * Adds up silence over observations. Time during a table outage does not
 * count, and a pause of this process starts every count again, so that neither
 * the end of an outage nor waking up fences everybody at once.
 */
export class SilenceMonitor {
  private counts: ReadonlyMap<string, Count> = new Map();
  private last: { readonly nowMs: number; readonly isUsable: boolean } | null = null;

  observe(observation: SilenceObservation): readonly Silence[] {
    const { nowMs, isUsable, peers } = observation;
    const gapMs = this.last === null ? 0 : nowMs - this.last.nowMs;
    const wasPaused = gapMs > PAUSE_GAP_MS;
    const addedMs = isUsable && this.last?.isUsable === true ? gapMs : 0;
    this.last = { nowMs, isUsable };
    const counted = peers.map(({ peer, silentMs }) => {
      const before = this.counts.get(name(peer)) ?? { firstMs: nowMs, countedMs: 0 };
      const isHeard = silentMs <= gapMs;
      const countedMs = wasPaused || isHeard ? 0 : before.countedMs + addedMs;
      return { peer, count: { firstMs: before.firstMs, countedMs } };
    });
    this.counts = new Map(counted.map(({ peer, count }) => [name(peer), count]));
    return counted.map(({ peer, count }) => ({
      peer,
      countedMs: count.countedMs,
      knownForMs: nowMs - count.firstMs,
    }));
  }
}

function name(peer: PeerIdentity): string {
  return `${peer.memberId}/${peer.incarnation}`;
}
