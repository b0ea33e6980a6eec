/**
 * Exchanges the counts of running and waiting work per pool and team between
 * members (entry instances). A message carries the changes since the previous
 * message to the same peer; a receiver that missed a message requests all counts.
 */
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import type { Membership } from '../membership/membership';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { Counters } from '../telemetry/counters';
import type { TeamCounts, WorkCount } from './slot_shares';

/** Maximum number of counts per message, which keeps an exchange message well below its limit of 64 KiB. */
const MAX_COUNTS_PER_MESSAGE = 500;

/**
 * Interval in milliseconds at which a message is sent even without changes, so
 * that its sequence number shows a peer that it missed a message.
 */
const REPEAT_INTERVAL_MS = 5_000;

const payloadSchema = z.object({
  sequence: z.int().min(0),
  /** Whether the counts replace all earlier ones. */
  full: z.boolean(),
  /** Whether the sender missed a message of the receiver and requests all counts. */
  resync: z.boolean(),
  counts: z
    .array(z.tuple([z.string().max(63), z.string().max(63), z.int().min(0), z.int().min(0)]))
    .max(MAX_COUNTS_PER_MESSAGE),
});

/** Counts by pool and team, see {@link joinKey}. */
type CountsByKey = ReadonlyMap<string, WorkCount>;

/** Running and waiting work per pool and team, on one member. */
export type PoolCounts = ReadonlyMap<string, TeamCounts>;

/** What a peer knows of this member after the last message to it. */
interface Sent {
  readonly sequence: number;
  /** Local monotonic time in milliseconds at which the last message was composed. */
  readonly atMs: number;
  readonly counts: CountsByKey;
}

/** What this member knows of a peer after the last message from it. */
interface Received extends Omit<Sent, 'atMs'> {
  readonly memberId: string;
  /** Whether no message has been missed since the last one with all counts. */
  readonly inSync: boolean;
  /** The same counts as `counts`, by pool. */
  readonly byPool: PoolCounts;
}

export interface DemandSectionOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly counters: Counters;
  /** Returns the current counts of this member. */
  readonly ownCounts: () => PoolCounts;
  /** Called after the counts of a peer have changed. */
  readonly onPeerCountsChanged: () => void;
}

export class DemandSection extends ExchangeSection {
  override readonly name = 'demand';
  private readonly sent = new Map<string, Sent>();
  private readonly received = new Map<string, Received>();
  private lastPublished: PoolCounts = new Map();

  constructor(private readonly options: DemandSectionOptions) {
    super();
  }

  override compose(peer: PeerIdentity): unknown {
    this.lastPublished = this.options.ownCounts();
    const current = flatten(this.lastPublished);
    const previous = this.sent.get(peer.incarnation);
    const changed = changedCounts(previous?.counts ?? new Map(), current).slice(0, MAX_COUNTS_PER_MESSAGE);
    const resync = this.received.get(peer.incarnation)?.inSync === false;
    if (previous !== undefined && changed.length === 0 && !resync && !this.isDue(previous)) return undefined;
    const sequence = (previous?.sequence ?? 0) + 1;
    const atMs = this.options.clock.monotonicMs();
    this.sent.set(peer.incarnation, {
      sequence,
      atMs,
      counts: applyChanges(previous?.counts ?? new Map(), changed),
    });
    const counts = changed.map(([key, count]) => [...splitKey(key), count.running, count.waiting]);
    return { sequence, full: previous === undefined, resync, counts };
  }

  private isDue({ atMs }: Sent): boolean {
    return this.options.clock.monotonicMs() - atMs >= REPEAT_INTERVAL_MS;
  }

  override receive(peer: PeerIdentity, payload: unknown): void {
    const parsed = payloadSchema.safeParse(payload);
    if (!parsed.success) {
      this.options.counters.increment('exchange.section_rejected', this.name);
      return;
    }
    const { sequence, full, resync, counts } = parsed.data;
    if (resync) this.sent.delete(peer.incarnation);
    const previous = this.received.get(peer.incarnation);
    const inSync = full || (previous?.inSync === true && sequence === previous.sequence + 1);
    if (!inSync) this.options.counters.increment('exchange.resync', this.name);
    const changed = counts.map(
      ([poolId, teamId, running, waiting]) => [joinKey(poolId, teamId), { running, waiting }] as const,
    );
    const next = applyChanges(full ? new Map() : (previous?.counts ?? new Map()), changed);
    const { memberId } = peer;
    this.received.set(peer.incarnation, {
      memberId,
      sequence,
      inSync,
      counts: next,
      byPool: groupByPool(next),
    });
    this.options.onPeerCountsChanged();
  }

  /** Retains the last counts of an unreachable peer while it is live, since its work may still run. */
  override forget(peer: PeerIdentity): void {
    this.sent.delete(peer.incarnation);
    const received = this.received.get(peer.incarnation);
    if (received) this.received.set(peer.incarnation, { ...received, inSync: false });
    this.dropEnded();
  }

  /** Drops the counts of peers that have been fenced or have left. */
  dropEnded(): void {
    for (const [incarnation, { memberId }] of this.received) {
      if (this.options.membership.incarnationState(memberId, incarnation) === 'live') continue;
      this.received.delete(incarnation);
      this.sent.delete(incarnation);
    }
  }

  /** Returns the counts of this member as last sent to its peers. */
  published(): PoolCounts {
    return this.lastPublished;
  }

  /** Returns the last reported counts of every live peer, by member id. */
  peers(): ReadonlyMap<string, PoolCounts> {
    return new Map([...this.received.values()].map(({ memberId, byPool }) => [memberId, byPool]));
  }
}

function joinKey(poolId: string, teamId: string): string {
  return `${poolId}/${teamId}`;
}

function splitKey(key: string): readonly [string, string] {
  const slash = key.indexOf('/');
  return [key.slice(0, slash), key.slice(slash + 1)];
}

function flatten(pools: PoolCounts): CountsByKey {
  return new Map(
    [...pools].flatMap(([poolId, teams]) =>
      [...teams].map(([teamId, count]) => [joinKey(poolId, teamId), count] as const),
    ),
  );
}

function groupByPool(counts: CountsByKey): PoolCounts {
  const pools = new Map<string, Map<string, WorkCount>>();
  for (const [key, count] of counts) {
    const [poolId, teamId] = splitKey(key);
    pools.set(poolId, (pools.get(poolId) ?? new Map<string, WorkCount>()).set(teamId, count));
  }
  return pools;
}

/** Returns the counts that differ from `previous`, with zeros for those that are no longer present. */
function changedCounts(
  previous: CountsByKey,
  current: CountsByKey,
): readonly (readonly [string, WorkCount])[] {
  const removed = [...previous.keys()].filter((key) => !current.has(key));
  const zeros = removed.map((key) => [key, { running: 0, waiting: 0 }] as const);
  const changed = [...current].filter(([key, count]) => {
    const before = previous.get(key);
    return before?.running !== count.running || before.waiting !== count.waiting;
  });
  return [...zeros, ...changed];
}

function applyChanges(counts: CountsByKey, changed: readonly (readonly [string, WorkCount])[]): CountsByKey {
  const next = new Map(counts);
  for (const [key, count] of changed) {
    if (count.running === 0 && count.waiting === 0) next.delete(key);
    else next.set(key, count);
  }
  return next;
}
