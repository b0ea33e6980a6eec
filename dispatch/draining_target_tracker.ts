/** Tracks which targets are draining, by the reports of all sources. Does no I/O. */
import type { InstanceListing } from '../platform/instance_list';

/** `listed`: the instance list shows the target as `leaving`; `refused`: the target refused a connection. */
export type DrainingReason = 'listed' | 'refused';

/** One boot of an instance that is draining; `bootId` is `null` as long as no list has contained the instance. */
export interface DrainingTarget {
  readonly instanceId: string;
  readonly bootId: string | null;
  readonly reason: DrainingReason;
}

interface DrainingReport extends DrainingTarget {
  /** `own`, or the id of the peer that reported it. */
  readonly source: string;
  readonly atMs: number;
}

/**
 * Retention of a refused connection that a peer reported, from its last
 * repetition, in milliseconds. The cause may be a network fault between the peer
 * and the target only.
 */
const PEER_REFUSED_RETENTION_MS = 30_000;

/** Age from which the instance list is stale, in milliseconds. */
const LIST_STALE_MS = 10_000;

/**
 * While the list is stale, a reboot would go unnoticed, so a target that refused a
 * connection is tried again after this time, in milliseconds. If it refuses
 * again, the attempt did not run and the time starts again.
 */
const REFUSED_RETRY_MS = 5_000;

/** Former boots retained per instance, so that late reports about them are recognized. */
const MAX_FORMER_BOOTS = 4;

const OWN = 'own';

/** An instance as of the last list. */
interface Listed {
  readonly bootId: string;
  readonly formerBootIds: readonly string[];
  readonly isPresent: boolean;
}

/**
 * Tracks draining targets. A report applies to one boot of an instance and is
 * dropped when the list shows a later boot.
 *
 * @example
 * ```ts
 * drainingTracker.recordListing(listing, readStartedMs);
 * drainingTracker.recordRefusedConnection('worker-1', nowMs);
 * drainingTracker.isDraining('worker-1', nowMs); // true
 * ```
 */
export class DrainingTargetTracker {
  private reports: ReadonlyMap<string, readonly DrainingReport[]> = new Map();
  private listed: ReadonlyMap<string, Listed> = new Map();
  private listedAsOfMs = Number.NEGATIVE_INFINITY;
  private lastOwnReportAtMs = Number.NEGATIVE_INFINITY;

  /** Records the instance list of the platform; the read began at `readStartedMs`. */
  recordListing(listing: InstanceListing, readStartedMs: number): void {
    const present = new Map(listing.instances.map((instance) => [instance.instanceId, instance]));
    const next = new Map<string, Listed>();
    for (const [instanceId, known] of this.listed) next.set(instanceId, { ...known, isPresent: false });
    for (const { instanceId, bootId } of present.values()) {
      next.set(instanceId, withBoot(this.listed.get(instanceId), bootId));
    }
    this.listed = next;
    this.listedAsOfMs = readStartedMs;
    const stateAsOfMs = readStartedMs - listing.lagMs;
    this.retain(
      (report) => !this.isFormerBoot(report) && (report.bootId !== null || report.atMs >= stateAsOfMs),
    );
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

  /** Records what a peer has observed itself. */
  recordPeerReports(peerId: string, targets: readonly DrainingTarget[], nowMs: number): void {
    for (const target of targets) this.add({ ...target, source: peerId, atMs: nowMs });
  }

  /**
   * Drops the refused connections that a peer reported, which may have been local
   * to it. What it read from the list remains valid for that boot.
   */
  dropPeerReports(peerId: string): void {
    this.retain((report) => report.source !== peerId || report.reason === 'listed');
  }

  /** Drops instances that are no longer configured. */
  retainOnly(isConfigured: (instanceId: string) => boolean): void {
    this.retain(({ instanceId }) => isConfigured(instanceId));
    this.listed = new Map([...this.listed].filter(([instanceId]) => isConfigured(instanceId)));
  }

  /** Time of the last new report of this entry instance, on the local monotonic clock, in milliseconds. */
  lastOwnReportMs(): number {
    return this.lastOwnReportAtMs;
  }

  /** The reports of this entry instance itself, for its peers. */
  ownReports(): readonly DrainingTarget[] {
    return [...this.reports.values()]
      .flat()
      .filter(({ source }) => source === OWN)
      .map(({ instanceId, bootId, reason }) => ({ instanceId, bootId, reason }));
  }

  /** Whether the target must get no new work. */
  isDraining(instanceId: string, nowMs: number): boolean {
    if (this.listed.get(instanceId)?.isPresent === false) return true;
    return (this.reports.get(instanceId) ?? []).some((report) => this.isInForce(report, nowMs));
  }

  private isInForce(report: DrainingReport, nowMs: number): boolean {
    if (report.reason === 'listed') return true;
    const ageMs = nowMs - report.atMs;
    if (report.source !== OWN) return ageMs <= PEER_REFUSED_RETENTION_MS;
    return nowMs - this.listedAsOfMs <= LIST_STALE_MS || ageMs <= REFUSED_RETRY_MS;
  }

  private add(report: DrainingReport): void {
    if (this.isFormerBoot(report)) return;
    const isSame = (other: DrainingReport): boolean =>
      other.bootId === report.bootId && other.source === report.source && other.reason === report.reason;
    const known = this.reports.get(report.instanceId) ?? [];
    const others = known.filter((other) => !isSame(other));
    if (report.source === OWN && others.length === known.length) this.lastOwnReportAtMs = report.atMs;
    this.reports = new Map(this.reports).set(report.instanceId, [...others, report]);
  }

  private retain(isKept: (report: DrainingReport) => boolean): void {
    const entries = [...this.reports].map(
      ([instanceId, reports]) => [instanceId, reports.filter(isKept)] as const,
    );
    this.reports = new Map(entries.filter(([, reports]) => reports.length > 0));
  }

  private isFormerBoot(report: DrainingTarget): boolean {
    if (report.bootId === null) return false;
    return this.listed.get(report.instanceId)?.formerBootIds.includes(report.bootId) ?? false;
  }
}

function withBoot(known: Listed | undefined, bootId: string): Listed {
  if (known === undefined) return { bootId, formerBootIds: [], isPresent: true };
  if (known.bootId === bootId) return { ...known, isPresent: true };
  const formerBootIds = [known.bootId, ...known.formerBootIds]
    .filter((former) => former !== bootId)
    .slice(0, MAX_FORMER_BOOTS);
  return { bootId, formerBootIds, isPresent: true };
}
