/** Keeps this member's grants in line with its work: makes the table calls and asks peers for idle grants. */
import { z } from 'zod';
import type { Clock, Timer } from '../kernel/clock';
import type { EventLoop } from '../kernel/event_loop';
import type { Membership } from '../membership/membership';
import type { PeerExchange } from '../peers/exchange';
import { TableUnavailableError, type TableService } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import type { GrantHolder } from './grant_decision';
import { limitKey, type ConfiguredLimit } from './grant_row';
import { TeamGrant, type GrantStep, type GrantSurroundings } from './team_grant';

export const RETURN_GRANTS_METHOD = 'peer.return_grants';

const TICK_MS = 100;

/** Interval at which a member that is short reads the row again and asks its peers, in milliseconds. */
const SHORTAGE_RETRY_MS = 500;

const CONFLICT_RETRY_MS = 10;

/** Conflicts end soon: a member that waits longer than its rivals would never get its turn. */
const LONGEST_CONFLICT_RETRY_MS = 80;
const FAILURE_RETRY_MS = 200;
const LONGEST_RETRY_MS = 2_000;

/** Peers asked at once for a team, those with the largest grants first. */
const PEERS_ASKED = 3;

/** Attempts to hand a grant back on stop; others reclaim it after the fence if all fail. */
const HAND_BACK_ATTEMPTS = 5;

const returnParamsSchema = z.object({ teamId: z.string().max(63) });

export interface GrantKeeperOptions {
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly table: TableService;
  readonly counters: Counters;
  readonly membership: Membership;
  readonly exchange: PeerExchange;
  /**
   * Whether the configuration and the membership in use are known to be
   * current. A row must not be written on an older view: it could drop the
   * grant of a member that joined meanwhile.
   */
  readonly isFresh: () => boolean;
  readonly configuredLimit: (teamId: string) => ConfiguredLimit;
  /** This member's part of the limit while the members together need more; otherwise `Infinity`. */
  readonly part: (teamId: string) => number;
  /** A team may run more work than before. */
  readonly onGained: () => void;
  /** Uniform in [0, 1); spreads retries. */
  readonly random: () => number;
}

interface Entry {
  readonly grant: TeamGrant;
  busy: Promise<void> | null;
  retryAtMs: number;
  failures: number;
  isTableFailing: boolean;
  askedAtMs: number;
}

/**
 * Owner of all grants of this process.
 *
 * @example
 * ```ts
 * keeper.setNeed('desk-one', 3);
 * if (keeper.canStart('desk-one')) keeper.started('desk-one');
 * ```
 */
export class GrantKeeper {
  private readonly entries = new Map<string, Entry>();
  private formerIncarnations: ReadonlySet<string> = new Set();
  private incarnation: string | null = null;
  private timer: Timer | null = null;
  private closing = false;

  constructor(private readonly options: GrantKeeperOptions) {}

  start(): void {
    this.options.exchange.handle(RETURN_GRANTS_METHOD, (_peer, params) => this.returnOnRequest(params));
    this.scheduleTick();
  }

  /** Hands all grants back that no work uses; best effort. */
  async stop(): Promise<void> {
    this.closing = true;
    this.timer?.cancel();
    await Promise.all([...this.entries.keys()].map((teamId) => this.handBack(teamId)));
  }

  /** Tells how much work of a team is running or could run if it were granted. */
  setNeed(teamId: string, need: number): void {
    const known = this.entries.get(teamId);
    if (known === undefined && need === 0) return;
    this.entry(teamId).grant.setNeed(this.options.clock.monotonicMs(), need);
    void this.work(teamId);
  }

  canStart(teamId: string): boolean {
    const self = this.self();
    if (self === null) return false;
    const { grant } = this.entry(teamId);
    return grant.running() < grant.usable(this.surroundings(teamId, self));
  }

  /** Whether a team has no grant here and the table does not answer, so that waiting is in vain. */
  isOutOfReach(teamId: string): boolean {
    const self = this.self();
    const entry = this.entries.get(teamId);
    if (self === null || entry === undefined) return false;
    return entry.isTableFailing && entry.grant.held(self.incarnation) === 0;
  }

  started(teamId: string): void {
    this.entry(teamId).grant.started();
  }

  ended(teamId: string): void {
    this.entry(teamId).grant.ended();
    void this.work(teamId);
  }

  /** Running work and the grant held, per team. */
  snapshot(): ReadonlyMap<string, { readonly running: number; readonly held: number }> {
    const incarnation = this.self()?.incarnation ?? '';
    const describe = ({ grant }: Entry) => ({ running: grant.running(), held: grant.held(incarnation) });
    return new Map([...this.entries].map(([teamId, entry]) => [teamId, describe(entry)]));
  }

  private entry(teamId: string): Entry {
    const known = this.entries.get(teamId);
    if (known) return known;
    const entry: Entry = {
      grant: new TeamGrant(),
      busy: null,
      retryAtMs: 0,
      failures: 0,
      isTableFailing: false,
      askedAtMs: Number.NEGATIVE_INFINITY,
    };
    this.entries.set(teamId, entry);
    return entry;
  }

  /** The registered incarnation. After a change, the running work counts against the new one's grants. */
  private self(): GrantHolder | null {
    const self = this.options.membership.self();
    // Until a member is active, others may not know it and would drop its grants.
    if (self?.status !== 'active') return null;
    if (self.incarnation !== this.incarnation) {
      if (this.incarnation !== null) {
        this.formerIncarnations = new Set([...this.formerIncarnations, this.incarnation]);
      }
      this.incarnation = self.incarnation;
    }
    return self;
  }

  private surroundings(teamId: string, self: GrantHolder): GrantSurroundings {
    const { clock, membership, configuredLimit, part } = this.options;
    return {
      nowMs: clock.monotonicMs(),
      self: { memberId: self.memberId, incarnation: self.incarnation },
      formerIncarnations: this.formerIncarnations,
      configured: configuredLimit(teamId),
      part: () => (this.closing ? 0 : part(teamId)),
      standing: (memberId, incarnation) => membership.incarnationState(memberId, incarnation),
    };
  }

  private scheduleTick(): void {
    if (this.closing) return;
    this.timer = this.options.clock.schedule(TICK_MS, () => {
      this.options.loop.post(() => {
        for (const teamId of this.entries.keys()) void this.work(teamId);
        this.scheduleTick();
      });
    });
  }

  /** Makes the next table call of a team, if one is due. */
  private work(teamId: string, isUrgent = false): Promise<void> {
    const entry = this.entry(teamId);
    if (entry.busy !== null) return entry.busy;
    const self = this.self();
    const nowMs = this.options.clock.monotonicMs();
    if (self === null || !this.options.isFresh() || (!isUrgent && nowMs < entry.retryAtMs))
      return Promise.resolve();
    const around = this.surroundings(teamId, self);
    const step = entry.grant.nextStep(around, isUrgent ? 0 : SHORTAGE_RETRY_MS * this.spread());
    this.askPeers(teamId, entry, around);
    if (step === null) return Promise.resolve();
    entry.busy = this.carryOut(teamId, entry, step, self.incarnation).finally(() => {
      entry.busy = null;
    });
    return entry.busy;
  }

  private async carryOut(teamId: string, entry: Entry, step: GrantStep, incarnation: string): Promise<void> {
    try {
      if (step.kind === 'read') await this.read(teamId, entry);
      else await this.write(teamId, entry, step, incarnation);
      entry.isTableFailing = false;
    } catch (error) {
      entry.isTableFailing = true;
      this.retryLater(entry, FAILURE_RETRY_MS, LONGEST_RETRY_MS);
      const reason = error instanceof TableUnavailableError ? 'table_unavailable' : 'outcome_unknown';
      this.options.counters.increment('grants.retry', reason);
      if (step.kind === 'write') {
        if (reason === 'table_unavailable') entry.grant.notApplied();
        else entry.grant.outcomeUnknown();
      }
    }
    this.options.loop.post(this.options.onGained);
  }

  private async read(teamId: string, entry: Entry): Promise<void> {
    this.options.counters.increment('grants.read');
    const [row] = await this.options.table.read({ keys: [limitKey(teamId)] });
    entry.grant.seen(row, this.options.clock.monotonicMs());
  }

  private async write(
    teamId: string,
    entry: Entry,
    step: Extract<GrantStep, { kind: 'write' }>,
    incarnation: string,
  ): Promise<void> {
    const { counters, table, clock } = this.options;
    const key = limitKey(teamId);
    entry.grant.sending(step, incarnation);
    counters.increment('grants.write', step.reason);
    const result = await table.transact({
      conditions: [{ key, version: step.conditionVersion }],
      writes: [{ key, value: step.row }],
    });
    const nowMs = clock.monotonicMs();
    if (result.kind === 'committed') {
      entry.failures = 0;
      entry.grant.committed(step, result.versions.get(key) ?? 0, nowMs);
      return;
    }
    counters.increment('grants.retry', 'conflict');
    entry.grant.seen(
      result.rows.find((row) => row.key === key),
      nowMs,
    );
    this.retryLater(entry, CONFLICT_RETRY_MS, LONGEST_CONFLICT_RETRY_MS);
  }

  private retryLater(entry: Entry, firstMs: number, longestMs: number): void {
    const delayMs = Math.min(longestMs, firstMs * 2 ** entry.failures) * this.spread();
    entry.failures = Math.min(entry.failures + 1, 10);
    entry.retryAtMs = this.options.clock.monotonicMs() + delayMs;
  }

  /** Between 0.5 and 1.5. */
  private spread(): number {
    return 0.5 + this.options.random();
  }

  private askPeers(teamId: string, entry: Entry, around: GrantSurroundings): void {
    if (this.closing || !entry.grant.isShort(around)) return;
    if (around.nowMs - entry.askedAtMs < SHORTAGE_RETRY_MS) return;
    const holders = (entry.grant.knownRow()?.grants ?? [])
      .filter(({ memberId, incarnation }) => around.standing(memberId, incarnation) === 'live')
      .filter(({ memberId }) => memberId !== around.self.memberId)
      .toSorted((a, b) => b.amount - a.amount)
      .slice(0, PEERS_ASKED);
    if (holders.length === 0) return;
    entry.askedAtMs = around.nowMs;
    for (const { memberId } of holders) void this.ask(teamId, memberId);
  }

  private async ask(teamId: string, memberId: string): Promise<void> {
    try {
      const answer = await this.options.exchange.call(memberId, RETURN_GRANTS_METHOD, { teamId });
      const { returned } = z.object({ returned: z.int().min(0) }).parse(answer);
      if (returned > 0) await this.work(teamId, true);
    } catch {
      this.options.counters.increment('grants.ask_failed');
    }
  }

  private async returnOnRequest(params: unknown): Promise<{ readonly returned: number }> {
    const { teamId } = returnParamsSchema.parse(params);
    const entry = this.entries.get(teamId);
    const incarnation = this.self()?.incarnation;
    if (entry === undefined || incarnation === undefined) return { returned: 0 };
    const before = entry.grant.held(incarnation);
    entry.grant.requestReturn();
    await this.work(teamId, true);
    return { returned: Math.max(0, before - entry.grant.held(incarnation)) };
  }

  private async handBack(teamId: string): Promise<void> {
    const entry = this.entry(teamId);
    for (let attempt = 0; attempt < HAND_BACK_ATTEMPTS; attempt += 1) {
      entry.grant.setNeed(this.options.clock.monotonicMs(), 0);
      entry.grant.requestReturn();
      await this.work(teamId, true);
      const held = entry.grant.held(this.self()?.incarnation ?? '');
      if (held <= entry.grant.running()) return;
      if (entry.isTableFailing) break;
    }
    this.options.counters.increment('grants.hand_back_failed');
  }
}
