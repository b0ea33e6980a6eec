/** Determines when no entry instance has work running on an instance any more. */
import { z } from 'zod';
import type { InFlightWork } from '../dispatch/dispatcher';
import type { Clock } from '../kernel/clock';
import { FENCED_WORK_LIMIT_MS } from '../membership/fenced_incarnations';
import type { Membership } from '../membership/membership';
import type { FleetConfiguration } from '../model/fleet';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { UnavailableInstance } from './availability_budget';

const reportSchema = z.object({
  /** Revision of the configuration in use when the work was counted. */
  revision: z.int(),
  /** Number of attempts and tasks in progress on each instance that does not serve; zeros are omitted. */
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
 * Exchanges how much work is in progress on instances that do not serve. A member
 * that has loaded the revision of a drain starts no more work there, so its later
 * counts can only fall.
 */
export class InFlightTracker extends ExchangeSection {
  override readonly name = 'maintenance';
  private readonly reports = new Map<string, Report>();
  private readonly firstSeenAtMs = new Map<string, number>();
  private notServing: {
    readonly configuration: FleetConfiguration;
    readonly instanceIds: readonly string[];
  } | null = null;

  constructor(private readonly options: InFlightTrackerOptions) {
    super();
  }

  /** Omits the section while every instance serves, because no member then waits for a report. */
  override compose(): unknown {
    const { counts, fleet } = this.options;
    const configuration = fleet();
    const instanceIds = this.instancesNotServing(configuration);
    if (instanceIds.length === 0) return undefined;
    const busy = instanceIds
      .filter((instanceId) => counts.inFlight(instanceId) > 0)
      .map((instanceId) => [instanceId, counts.inFlight(instanceId)] as const);
    return { revision: configuration.revision, inFlight: Object.fromEntries(busy) };
  }

  /** Cached for each configuration, because every exchange with every peer needs it. */
  private instancesNotServing(configuration: FleetConfiguration): readonly string[] {
    if (this.notServing?.configuration !== configuration) {
      const states = [...configuration.instanceStates.values()].filter(({ state }) => state !== 'serving');
      this.notServing = { configuration, instanceIds: states.map(({ instanceId }) => instanceId) };
    }
    return this.notServing.instanceIds;
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
   * reports so, or even the longest permitted work must have ended by now.
   * `isAllWorkReported` is false while a fenced member may have work running
   * that no member reports.
   */
  isIdle(entry: UnavailableInstance, isAllWorkReported: boolean): boolean {
    if (entry.revision === null) return false;
    if (this.waitedMs(entry, entry.revision) >= FENCED_WORK_LIMIT_MS) return true;
    if (!isAllWorkReported || !this.isIdleLocally(entry, entry.revision)) return false;
    const { membership } = this.options;
    const selfId = membership.self()?.memberId;
    return membership
      .registered()
      .filter(({ memberId }) => memberId !== selfId)
      .every((member) => this.isReportedIdle(member, entry));
  }

  private isIdleLocally(entry: UnavailableInstance, revision: number): boolean {
    const { fleet, counts } = this.options;
    return fleet().revision >= revision && counts.inFlight(entry.instanceId) === 0;
  }

  private isReportedIdle(member: PeerIdentity, entry: UnavailableInstance): boolean {
    const report = this.reports.get(member.memberId);
    if (report?.incarnation !== member.incarnation) return false;
    return report.revision >= (entry.revision ?? 0) && (report.inFlight[entry.instanceId] ?? 0) === 0;
  }

  /** Time since this instance first saw the entry with this revision, in milliseconds. */
  private waitedMs(entry: UnavailableInstance, revision: number): number {
    const key = `${entry.instanceId}/${revision}`;
    const nowMs = this.options.clock.monotonicMs();
    const firstSeenAtMs = this.firstSeenAtMs.get(key) ?? nowMs;
    this.firstSeenAtMs.set(key, firstSeenAtMs);
    return nowMs - firstSeenAtMs;
  }
}
