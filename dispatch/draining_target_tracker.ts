/** Which targets are leaving, from all sources that tell of it. Decisions only. */
import type { InstanceListing } from '../platform/instance_list';

/** How this entry instance learned that a target is leaving. */
export type LeavingReason = 'listed' | 'refused';

/** One boot of an instance that is leaving; `bootId` is `null` while no list has named the boot. */
export interface LeavingTarget {
  readonly instanceId: string;
  readonly bootId: string | null;
  readonly reason: LeavingReason;
}

interface Mark extends LeavingTarget {
  /** `own`, or the id of the peer that told. */
  readonly source: string;
  readonly atMs: number;
}

/**
 * A peer's report that a target refused a connection may come from a fault of
 * the network between the two, so it is dropped this long after it was last repeated.
 */
const PEER_REFUSAL_LINGER_MS = 30_000;

/**
 * Without a list nothing tells of a new boot, so a refused target is tried
 * again after this time; a further refusal marks it anew and surely ran nothing.
 */
const LIST_OVERDUE_MS = 10_000;
const REFUSED_RETRY_MS = 5_000;

/** Earlier boots remembered per instance, so that late reports about them are recognized. */
const FORMER_BOOTS = 4;

const OWN = 'own';

/** What the list last said of an instance. */
interface Listed {
  readonly bootId: string;
  readonly formerBootIds: readonly string[];
  readonly isPresent: boolean;
}

/**
 * Collects marks. A mark holds for one boot of an instance; once the list
 * shows a later boot, marks of the earlier ones end.
 *
 * @example
 * ```ts
 * drainingTracker.observeListing(listing, readStartedMs);
 * drainingTracker.recordRefusedConnection('worker-1', nowMs);
 * drainingTracker.isDraining('worker-1', nowMs); // true
 * ```
 */
export class DrainingTargetTracker {
  private marks: ReadonlyMap<string, readonly Mark[]> = new Map();
  private listed: ReadonlyMap<string, Listed> = new Map();
  private listedAsOfMs = Number.NEGATIVE_INFINITY;
  private ownChangedAtMs = Number.NEGATIVE_INFINITY;

  /** Takes in the platform's list as read at `readStartedMs`. */
  observeListing(listing: InstanceListing, readStartedMs: number): void {
    const present = new Map(listing.instances.map((instance) => [instance.instanceId, instance]));
    const next = new Map<string, Listed>();
    for (const [instanceId, known] of this.listed) next.set(instanceId, { ...known, isPresent: false });
    for (const { instanceId, bootId } of present.values()) {
      next.set(instanceId, followBoot(this.listed.get(instanceId), bootId));
    }
    this.listed = next;
    this.listedAsOfMs = readStartedMs;
    const stateAsOfMs = readStartedMs - listing.lagMs;
    this.keep((mark) => !this.isFormerBoot(mark) && (mark.bootId !== null || mark.atMs >= stateAsOfMs));
    for (const { instanceId, bootId, state } of present.values()) {
      if (state === 'leaving')
        this.add({ instanceId, bootId, reason: 'listed', source: OWN, atMs: readStartedMs });
    }
  }

  /** Records that the target refused a connection. */
  recordRefusedConnection(instanceId: string, nowMs: number): void {
    const bootId = this.listed.get(instanceId)?.bootId ?? null;
    this.add({ instanceId, bootId, reason: 'refused', source: OWN, atMs: nowMs });
  }

  /** Takes in what a peer has seen itself. */
  observePeer(peerId: string, targets: readonly LeavingTarget[], nowMs: number): void {
    for (const target of targets) this.add({ ...target, source: peerId, atMs: nowMs });
  }

  /** Drops a peer's reports that may have been local to it; what the list told it stays true of that boot. */
  forgetPeer(peerId: string): void {
    this.keep((mark) => mark.source !== peerId || mark.reason === 'listed');
  }

  /** Forgets instances that are no longer configured. */
  retainOnly(isConfigured: (instanceId: string) => boolean): void {
    this.keep(({ instanceId }) => isConfigured(instanceId));
    this.listed = new Map([...this.listed].filter(([instanceId]) => isConfigured(instanceId)));
  }

  /** When this entry instance last saw another boot leave, on the local monotonic clock. */
  ownChangedMs(): number {
    return this.ownChangedAtMs;
  }

  /** What this entry instance has seen itself, for its peers. */
  ownMarks(): readonly LeavingTarget[] {
    return [...this.marks.values()]
      .flat()
      .filter(({ source }) => source === OWN)
      .map(({ instanceId, bootId, reason }) => ({ instanceId, bootId, reason }));
  }

  /** Whether no new work may go to the target. */
  isDraining(instanceId: string, nowMs: number): boolean {
    if (this.listed.get(instanceId)?.isPresent === false) return true;
    return (this.marks.get(instanceId) ?? []).some((mark) => this.isInForce(mark, nowMs));
  }

  private isInForce(mark: Mark, nowMs: number): boolean {
    if (mark.reason === 'listed') return true;
    const ageMs = nowMs - mark.atMs;
    if (mark.source !== OWN) return ageMs <= PEER_REFUSAL_LINGER_MS;
    return nowMs - this.listedAsOfMs <= LIST_OVERDUE_MS || ageMs <= REFUSED_RETRY_MS;
  }

  private add(mark: Mark): void {
    if (this.isFormerBoot(mark)) return;
    const isSame = (other: Mark): boolean =>
      other.bootId === mark.bootId && other.source === mark.source && other.reason === mark.reason;
    const known = this.marks.get(mark.instanceId) ?? [];
    const others = known.filter((other) => !isSame(other));
    if (mark.source === OWN && others.length === known.length) this.ownChangedAtMs = mark.atMs;
    this.marks = new Map(this.marks).set(mark.instanceId, [...others, mark]);
  }

  private keep(isKept: (mark: Mark) => boolean): void {
    const entries = [...this.marks].map(([instanceId, marks]) => [instanceId, marks.filter(isKept)] as const);
    this.marks = new Map(entries.filter(([, marks]) => marks.length > 0));
  }

  private isFormerBoot(mark: LeavingTarget): boolean {
    if (mark.bootId === null) return false;
    return this.listed.get(mark.instanceId)?.formerBootIds.includes(mark.bootId) ?? false;
  }
}

function followBoot(known: Listed | undefined, bootId: string): Listed {
  if (known === undefined) return { bootId, formerBootIds: [], isPresent: true };
  if (known.bootId === bootId) return { ...known, isPresent: true };
  const formerBootIds = [known.bootId, ...known.formerBootIds]
    .filter((former) => former !== bootId)
    .slice(0, FORMER_BOOTS);
  return { bootId, formerBootIds, isPresent: true };
}
