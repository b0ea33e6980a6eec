/**
 * Exchange of running and waiting counts per pool and team. A message carries
 * what has changed since the previous one to the same peer; a receiver that
 * missed a message asks for all counts.
 */
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import type { Membership } from '../membership/membership';
import { ExchangeSection, type PeerIdentity } from '../peers/exchange';
import type { Counters } from '../telemetry/counters';
import type { TeamCounts, WorkCount } from './slot_shares';

/** Longest list in one message, so that a message stays well under the 64 KiB of a line. */
const MOST_COUNTS_PER_MESSAGE = 500;

/** A message without changes is left out, but for one in this time: its number shows the peer what it has missed. */
const REPEAT_MS = 5_000;

const payloadSchema = z.object({
  sequence: z.int().min(0),
  /** The counts replace all earlier ones. */
  full: z.boolean(),
  /** The sender missed a message of the receiver. */
  resync: z.boolean(),
  counts: z
    .array(z.tuple([z.string().max(63), z.string().max(63), z.int().min(0), z.int().min(0)]))
    .max(MOST_COUNTS_PER_MESSAGE),
});

type CountsByName = ReadonlyMap<string, WorkCount>;

/** Counts of all pools on one member. */
export type PoolCounts = ReadonlyMap<string, TeamCounts>;

interface Sent {
  readonly sequence: number;
  /** Local monotonic time of the last message, in milliseconds. */
  readonly atMs: number;
  readonly counts: CountsByName;
}

interface Received extends Omit<Sent, 'atMs'> {
  readonly memberId: string;
  readonly inSync: boolean;
  /** Kept in step with `counts`. */
  readonly byPool: PoolCounts;
}

export interface DemandSectionOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  readonly counters: Counters;
  /** The counts of this member now. */
  readonly own: () => PoolCounts;
  /** Called after the counts of a peer have changed. */
  readonly onChanged: () => void;
}

export class DemandSection extends ExchangeSection {
  override readonly name = 'demand';
  private readonly sent = new Map<string, Sent>();
  private readonly received = new Map<string, Received>();
  private lastOwn: PoolCounts = new Map();

  constructor(private readonly options: DemandSectionOptions) {
    super();
  }

  override compose(peer: PeerIdentity): unknown {
    this.lastOwn = this.options.own();
    const own = flatten(this.lastOwn);
    const previous = this.sent.get(peer.incarnation);
    const changed = changedCounts(previous?.counts ?? new Map(), own).slice(0, MOST_COUNTS_PER_MESSAGE);
    const resync = this.received.get(peer.incarnation)?.inSync === false;
    if (previous !== undefined && changed.length === 0 && !resync && !this.isDue(previous)) return undefined;
    const sequence = (previous?.sequence ?? 0) + 1;
    const atMs = this.options.clock.monotonicMs();
    this.sent.set(peer.incarnation, {
      sequence,
      atMs,
      counts: patched(previous?.counts ?? new Map(), changed),
    });
    const counts = changed.map(([name, count]) => [...splitName(name), count.running, count.waiting]);
    return { sequence, full: previous === undefined, resync, counts };
  }

  private isDue({ atMs }: Sent): boolean {
    return this.options.clock.monotonicMs() - atMs >= REPEAT_MS;
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
      ([poolId, teamId, running, waiting]) => [joinName(poolId, teamId), { running, waiting }] as const,
    );
    const next = patched(full ? new Map() : (previous?.counts ?? new Map()), changed);
    const { memberId } = peer;
    this.received.set(peer.incarnation, { memberId, sequence, inSync, counts: next, byPool: grouped(next) });
    this.options.onChanged();
  }

  /** A silent peer may still run its work: its last counts stay until it is no longer live. */
  override forget(peer: PeerIdentity): void {
    this.sent.delete(peer.incarnation);
    const received = this.received.get(peer.incarnation);
    if (received) this.received.set(peer.incarnation, { ...received, inSync: false });
    this.dropEnded();
  }

  /** Drops the counts of peers that were fenced or have left. */
  dropEnded(): void {
    for (const [incarnation, { memberId }] of this.received) {
      if (this.options.membership.incarnationState(memberId, incarnation) === 'live') continue;
      this.received.delete(incarnation);
      this.sent.delete(incarnation);
    }
  }

  /** The counts of this member as peers know them. */
  published(): PoolCounts {
    return this.lastOwn;
  }

  /** Last counts of every live peer. */
  peers(): ReadonlyMap<string, PoolCounts> {
    return new Map([...this.received.values()].map(({ memberId, byPool }) => [memberId, byPool]));
  }
}

function joinName(poolId: string, teamId: string): string {
  return `${poolId}/${teamId}`;
}

function splitName(name: string): readonly [string, string] {
  const slash = name.indexOf('/');
  return [name.slice(0, slash), name.slice(slash + 1)];
}

function flatten(pools: PoolCounts): CountsByName {
  return new Map(
    [...pools].flatMap(([poolId, teams]) =>
      [...teams].map(([teamId, count]) => [joinName(poolId, teamId), count] as const),
    ),
  );
}

function grouped(counts: CountsByName): PoolCounts {
  const pools = new Map<string, Map<string, WorkCount>>();
  for (const [name, count] of counts) {
    const [poolId, teamId] = splitName(name);
    pools.set(poolId, (pools.get(poolId) ?? new Map<string, WorkCount>()).set(teamId, count));
  }
  return pools;
}

/** Counts that differ; those that are gone are zero. */
function changedCounts(
  previous: CountsByName,
  current: CountsByName,
): readonly (readonly [string, WorkCount])[] {
  const gone = [...previous.keys()].filter((name) => !current.has(name));
  const zeros = gone.map((name) => [name, { running: 0, waiting: 0 }] as const);
  const changed = [...current].filter(([name, count]) => {
    const before = previous.get(name);
    return before?.running !== count.running || before.waiting !== count.waiting;
  });
  return [...zeros, ...changed];
}

function patched(counts: CountsByName, changed: readonly (readonly [string, WorkCount])[]): CountsByName {
  const next = new Map(counts);
  for (const [name, count] of changed) {
    if (count.running === 0 && count.waiting === 0) next.delete(name);
    else next.set(name, count);
  }
  return next;
}
