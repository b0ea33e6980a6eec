/** Finds out when no entry instance has work running on an instance. */
import { z } from 'zod';
import type { InFlightWork } from '../dispatch/dispatcher';
import type { Clock } from '../kernel/clock';
import { FENCED_WORK_LIMIT_MS } from '../membership/fenced_incarnations';
import type { Membership } from '../membership/membership';
import type { FleetConfiguration } from '../model/fleet';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { UnavailableInstance } from './availability_budget';

const reportSchema = z.object({
  /** Configuration in use when the counts were taken. */
  revision: z.int(),
  /** Attempts in progress on instances that do not serve; instances without any are left out. */
  inFlight: z.record(z.string(), z.int()),
});

type Report = Readonly<z.infer<typeof reportSchema>> & { readonly incarnation: string };

export interface InFlightTrackerOptions {
  readonly clock: Clock;
  readonly counts: InFlightWork;
  readonly membership: Membership;
  readonly fleet: () => FleetConfiguration;
}

/**
 * Exchanges counts of attempts in progress on instances that do not serve. A
 * member that knows the revision of a drain starts nothing more there, so its
 * later counts only fall.
 */
export class InFlightTracker extends ExchangeSection {
  override readonly name = 'maintenance';
  private readonly reports = new Map<string, Report>();
  private readonly firstSeenMs = new Map<string, number>();
  private leaving: {
    readonly configuration: FleetConfiguration;
    readonly instanceIds: readonly string[];
  } | null = null;

  constructor(private readonly options: InFlightTrackerOptions) {
    super();
  }

  /** Left out while every instance serves: then nobody waits for a report. */
  override compose(): unknown {
    const { counts, fleet } = this.options;
    const configuration = fleet();
    const leaving = this.notServing(configuration);
    if (leaving.length === 0) return undefined;
    const busy = leaving
      .filter((instanceId) => counts.inFlight(instanceId) > 0)
      .map((instanceId) => [instanceId, counts.inFlight(instanceId)] as const);
    return { revision: configuration.revision, inFlight: Object.fromEntries(busy) };
  }

  /** Computed once per configuration: every exchange with every peer asks for it. */
  private notServing(configuration: FleetConfiguration): readonly string[] {
    if (this.leaving?.configuration !== configuration) {
      const states = [...configuration.instanceStates.values()].filter(({ state }) => state !== 'serving');
      this.leaving = { configuration, instanceIds: states.map(({ instanceId }) => instanceId) };
    }
    return this.leaving.instanceIds;
  }

  override receive(peer: PeerIdentity, payload: unknown): void {
    const parsed = reportSchema.safeParse(payload);
    if (parsed.success) this.reports.set(peer.memberId, { ...parsed.data, incarnation: peer.incarnation });
    else this.reports.delete(peer.memberId);
  }

  override forget(peer: PeerIdentity): void {
    this.reports.delete(peer.memberId);
  }

  /**
   * Whether nothing runs on the instance of the entry any more: every member
   * says so, or the longest permitted work has ended. `allAccounted` is false
   * while a fenced member may have work running that nobody reports.
   */
  isQuiet(entry: UnavailableInstance, allAccounted: boolean): boolean {
    if (entry.revision === null) return false;
    if (this.waitedMs(entry, entry.revision) >= FENCED_WORK_LIMIT_MS) return true;
    if (!allAccounted || !this.isLocallyQuiet(entry, entry.revision)) return false;
    const { membership } = this.options;
    const selfId = membership.self()?.memberId;
    return membership
      .registered()
      .filter(({ memberId }) => memberId !== selfId)
      .every((member) => this.isReportedQuiet(member, entry));
  }

  private isLocallyQuiet(entry: UnavailableInstance, revision: number): boolean {
    const { fleet, counts } = this.options;
    return fleet().revision >= revision && counts.inFlight(entry.instanceId) === 0;
  }

  private isReportedQuiet(member: PeerIdentity, entry: UnavailableInstance): boolean {
    const report = this.reports.get(member.memberId);
    if (report?.incarnation !== member.incarnation) return false;
    return report.revision >= (entry.revision ?? 0) && (report.inFlight[entry.instanceId] ?? 0) === 0;
  }

  private waitedMs(entry: UnavailableInstance, revision: number): number {
    const key = `${entry.instanceId}/${revision}`;
    const nowMs = this.options.clock.monotonicMs();
    const sinceMs = this.firstSeenMs.get(key) ?? nowMs;
    this.firstSeenMs.set(key, sinceMs);
    return nowMs - sinceMs;
  }
}
