/** Tracks draining targets as reported by the instance list, by attempts and by peers. Does no I/O. */
import type { InstanceListing } from '../platform/instance_list';

/** `listed`: the instance list shows the target as `leaving`; `refused`: the target refused a connection. */
export type DrainingReason = 'listed' | 'refused';

/** One boot of a draining instance; `bootId` is `null` if no instance list had contained it before the report. */
export interface DrainingTarget {
  readonly instanceId: string;
  readonly bootId: string | null;
  readonly reason: DrainingReason;
}

interface DrainingReport extends DrainingTarget {
  /** `own`, or the id of the peer that reported it. */
  readonly source: string;
  /** Local monotonic time of the report or of its last repetition, in milliseconds. */
  readonly atMs: number;
}

/**
 * Time in milliseconds for which a refused connection that a peer reported is
 * retained after the last repetition of the report. The time is short, since the
 * cause may be a network fault between only this peer and the target.
 */
const PEER_REFUSED_RETENTION_MS = 30_000;

/** Age in milliseconds above which the instance list is stale. */
const LIST_STALE_MS = 10_000;

/**
 * Time in milliseconds after which a target that refused a connection is tried
 * again while the list is stale, since the list does not show its reboot then. If
 * it refuses again, the attempt did not run and the time starts again.
 */
const REFUSED_RETRY_MS = 5_000;

/** Maximum number of former boots retained per instance, so that late reports about them are recognized. */
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
 * drainingTracker.recordListing(listing, readStartedAtMs);
 * drainingTracker.recordRefusedConnection('worker-1', nowMs);
 * drainingTracker.isDraining('worker-1', nowMs); // true
 * ```
 */
export class DrainingTargetTracker {
  private reports: ReadonlyMap<string, readonly DrainingReport[]> = new Map();
  private listed: ReadonlyMap<string, Listed> = new Map();
  private listedAsOfMs = Number.NEGATIVE_INFINITY;
  private newestOwnReportAtMs = Number.NEGATIVE_INFINITY;

  /** Records the instance list of the platform; the read began at `readStartedAtMs`. */
  recordListing(listing: InstanceListing, readStartedAtMs: number): void {
    const present = new Map(listing.instances.map((instance) => [instance.instanceId, instance]));
    const next = new Map<string, Listed>();
    for (const [instanceId, known] of this.listed) next.set(instanceId, { ...known, isPresent: false });
    for (const { instanceId, bootId } of present.values()) {
      next.set(instanceId, withBoot(this.listed.get(instanceId), bootId));
    }
    this.listed = next;
    this.listedAsOfMs = readStartedAtMs;
    const stateAsOfMs = readStartedAtMs - listing.lagMs;
    this.retain(
      (report) => !this.isFormerBoot(report) && (report.bootId !== null || report.atMs >= stateAsOfMs),
    );
    for (const { instanceId, bootId, state } of present.values()) {
      if (state === 'leaving')
        this.add({ instanceId, bootId, reason: 'listed', source: OWN, atMs: readStartedAtMs });
    }
  }

  /** Records that the target refused a connection. */
  recordRefusedConnection(instanceId: string, nowMs: number): void {
    const bootId = this.listed.get(instanceId)?.bootId ?? null;
    this.add({ instanceId, bootId, reason: 'refused', source: OWN, atMs: nowMs });
  }

  /** Records the draining targets that a peer has observed itself. */
  recordPeerReports(peerId: string, targets: readonly DrainingTarget[], nowMs: number): void {
    for (const target of targets) this.add({ ...target, source: peerId, atMs: nowMs });
  }

  /**
   * Drops the refused connections that a peer reported, since their cause may have
   * been local to the peer. What the peer read from the list remains valid for the
   * boot in the report.
   */
  dropPeerReports(peerId: string): void {
    this.retain((report) => report.source !== peerId || report.reason === 'listed');
  }

  /** Drops instances that are no longer configured. */
  retainOnly(isConfigured: (instanceId: string) => boolean): void {
    this.retain(({ instanceId }) => isConfigured(instanceId));
    this.listed = new Map([...this.listed].filter(([instanceId]) => isConfigured(instanceId)));
  }

  /** Returns the local monotonic time in milliseconds of the last new report of this entry instance. */
  lastOwnReportAtMs(): number {
    return this.newestOwnReportAtMs;
  }

  /** Returns the reports of this entry instance itself, for its peers. */
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
    if (report.source === OWN && others.length === known.length) this.newestOwnReportAtMs = report.atMs;
    this.reports = new Map(this.reports).set(report.instanceId, [...others, report]);
  }

  private retain(isRetained: (report: DrainingReport) => boolean): void {
    const entries = [...this.reports].map(
      ([instanceId, reports]) => [instanceId, reports.filter(isRetained)] as const,
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
