/**
 * Adjusts the grants of this member, its parts of the upper limits of teams, to its
 * work: makes the table calls and asks peers to return idle grants.
 */
import { z } from 'zod';
import type { Clock, Timer } from '../kernel/clock';
import type { EventLoop } from '../kernel/event_loop';
import type { Membership } from '../membership/membership';
import type { PeerExchange } from '../peers/exchange';
import { TableUnavailableError, type TableService } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import type { GrantHolder } from './grant_decision';
import { limitKey, type ConfiguredLimit } from './grant_row';
import { TeamGrant, type GrantStep, type GrantContext } from './team_grant';

export const RETURN_GRANTS_METHOD = 'peer.return_grants';

const TICK_INTERVAL_MS = 100;

/** Interval in milliseconds at which a member that lacks capacity re-reads the row and asks its peers. */
const SHORTAGE_RETRY_MS = 500;

const BASE_CONFLICT_RETRY_MS = 10;

/** Short, because a member that backs off for longer than the competing writers would lose every conflict. */
const MAX_CONFLICT_RETRY_MS = 80;
const BASE_FAILURE_RETRY_MS = 200;
const MAX_FAILURE_RETRY_MS = 2_000;

/** Maximum number of peers asked at once to return idle grants of a team, those with the largest grants first. */
const MAX_PEERS_ASKED = 3;

/**
 * Maximum number of attempts to return a grant on stop. If all fail, other members
 * drop the grant once this member has been fenced.
 */
const MAX_RETURN_ATTEMPTS = 5;

const returnParamsSchema = z.object({ teamId: z.string().max(63) });

export interface GrantManagerOptions {
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly table: TableService;
  readonly counters: Counters;
  readonly membership: Membership;
  readonly exchange: PeerExchange;
  /**
   * Whether the configuration and the membership in use are known to be
   * current. A row written on the basis of older ones could drop the grant of
   * a member that has joined since.
   */
  readonly isFresh: () => boolean;
  readonly configuredLimit: (teamId: string) => ConfiguredLimit;
  /**
   * Returns the share of the limit that this member may hold while the members
   * together need more than the limit, otherwise `Infinity`.
   */
  readonly limitShare: (teamId: string) => number;
  /** Called after a table call, when a team may be able to run more work than before. */
  readonly onCapacityGained: () => void;
  /** Returns a uniform number in [0, 1), which spreads retries. */
  readonly random: () => number;
}

interface TeamEntry {
  readonly grant: TeamGrant;
  pendingStep: Promise<void> | null;
  retryAtMs: number;
  failures: number;
  isTableFailing: boolean;
  lastAskedPeersAtMs: number;
}

/**
 * Manages the grants of all teams on this member.
 *
 * @example
 * ```ts
 * grants.setNeed('desk-one', 3);
 * if (grants.canStart('desk-one')) grants.started('desk-one');
 * ```
 */
export class GrantManager {
  private readonly entries = new Map<string, TeamEntry>();
  private formerIncarnations: ReadonlySet<string> = new Set();
  private incarnation: string | null = null;
  private timer: Timer | null = null;
  private isClosing = false;

  constructor(private readonly options: GrantManagerOptions) {}

  start(): void {
    this.options.exchange.handle(RETURN_GRANTS_METHOD, (_peer, params) => this.handleReturnRequest(params));
    this.scheduleTick();
  }

  /** Returns the unused part of all grants, unless the table is unavailable. */
  async stop(): Promise<void> {
    this.isClosing = true;
    this.timer?.cancel();
    await Promise.all([...this.entries.keys()].map((teamId) => this.returnUnused(teamId)));
  }

  /** Sets how much work of a team is running or could run if the team had a sufficient grant. */
  setNeed(teamId: string, need: number): void {
    const known = this.entries.get(teamId);
    if (known === undefined && need === 0) return;
    this.entry(teamId).grant.setNeed(this.options.clock.monotonicMs(), need);
    void this.runNextStep(teamId);
  }

  /** Whether the grant of a team allows one more unit of work. */
  canStart(teamId: string): boolean {
    const self = this.self();
    if (self === null) return false;
    const { grant } = this.entry(teamId);
    return grant.running() < grant.usable(this.grantContext(teamId, self));
  }

  /** Whether a team has no grant here and the table is unavailable, so that waiting work could not start. */
  isLimitUnavailable(teamId: string): boolean {
    const self = this.self();
    const entry = this.entries.get(teamId);
    if (self === null || entry === undefined) return false;
    return entry.isTableFailing && entry.grant.held(self.incarnation) === 0;
  }

  started(teamId: string): void {
    this.entry(teamId).grant.recordStart();
  }

  ended(teamId: string): void {
    this.entry(teamId).grant.recordEnd();
    void this.runNextStep(teamId);
  }

  /** Returns the running work and the amount granted, per team. */
  snapshot(): ReadonlyMap<string, { readonly running: number; readonly held: number }> {
    const incarnation = this.self()?.incarnation ?? '';
    const describe = ({ grant }: TeamEntry) => ({ running: grant.running(), held: grant.held(incarnation) });
    return new Map([...this.entries].map(([teamId, entry]) => [teamId, describe(entry)]));
  }

  private entry(teamId: string): TeamEntry {
    const known = this.entries.get(teamId);
    if (known) return known;
    const entry: TeamEntry = {
      grant: new TeamGrant(),
      pendingStep: null,
      retryAtMs: 0,
      failures: 0,
      isTableFailing: false,
      lastAskedPeersAtMs: Number.NEGATIVE_INFINITY,
    };
    this.entries.set(teamId, entry);
    return entry;
  }

  /**
   * Returns the registered incarnation, `null` unless it is active. Also collects
   * the earlier incarnations of this process, whose work counts against its grants.
   */
  private self(): GrantHolder | null {
    const self = this.options.membership.self();
    // While this member is not active, members that do not know it yet would drop its grants.
    if (self?.status !== 'active') return null;
    if (self.incarnation !== this.incarnation) {
      if (this.incarnation !== null) {
        this.formerIncarnations = new Set([...this.formerIncarnations, this.incarnation]);
      }
      this.incarnation = self.incarnation;
    }
    return self;
  }

  private grantContext(teamId: string, self: GrantHolder): GrantContext {
    const { clock, membership, configuredLimit, limitShare } = this.options;
    return {
      nowMs: clock.monotonicMs(),
      self: { memberId: self.memberId, incarnation: self.incarnation },
      formerIncarnations: this.formerIncarnations,
      configured: configuredLimit(teamId),
      limitShare: () => (this.isClosing ? 0 : limitShare(teamId)),
      standing: (memberId, incarnation) => membership.incarnationState(memberId, incarnation),
    };
  }

  private scheduleTick(): void {
    if (this.isClosing) return;
    this.timer = this.options.clock.schedule(TICK_INTERVAL_MS, () => {
      this.options.loop.post(() => {
        for (const teamId of this.entries.keys()) void this.runNextStep(teamId);
        this.scheduleTick();
      });
    });
  }

  /**
   * Makes the next table call for a team, if one is due, and asks peers for
   * capacity if the team lacks it. With `isUrgent`, the retry delay does not apply.
   */
  private runNextStep(teamId: string, isUrgent = false): Promise<void> {
    const entry = this.entry(teamId);
    if (entry.pendingStep !== null) return entry.pendingStep;
    const self = this.self();
    const nowMs = this.options.clock.monotonicMs();
    if (self === null || !this.options.isFresh() || (!isUrgent && nowMs < entry.retryAtMs))
      return Promise.resolve();
    const context = this.grantContext(teamId, self);
    const step = entry.grant.nextStep(context, isUrgent ? 0 : SHORTAGE_RETRY_MS * this.jitter());
    this.askPeers(teamId, entry, context);
    if (step === null) return Promise.resolve();
    entry.pendingStep = this.runStep(teamId, entry, step, self.incarnation).finally(() => {
      entry.pendingStep = null;
    });
    return entry.pendingStep;
  }

  private async runStep(
    teamId: string,
    entry: TeamEntry,
    step: GrantStep,
    incarnation: string,
  ): Promise<void> {
    try {
      if (step.kind === 'read') await this.read(teamId, entry);
      else await this.write(teamId, entry, step, incarnation);
      entry.isTableFailing = false;
    } catch (error) {
      entry.isTableFailing = true;
      this.retryLater(entry, BASE_FAILURE_RETRY_MS, MAX_FAILURE_RETRY_MS);
      const reason = error instanceof TableUnavailableError ? 'table_unavailable' : 'outcome_unknown';
      this.options.counters.increment('grants.retry', reason);
      if (step.kind === 'write') {
        if (reason === 'table_unavailable') entry.grant.recordNotApplied();
        else entry.grant.recordOutcomeUnknown();
      }
    }
    this.options.loop.post(this.options.onCapacityGained);
  }

  private async read(teamId: string, entry: TeamEntry): Promise<void> {
    this.options.counters.increment('grants.read');
    const [row] = await this.options.table.read({ keys: [limitKey(teamId)] });
    entry.grant.recordRow(row, this.options.clock.monotonicMs());
  }

  private async write(
    teamId: string,
    entry: TeamEntry,
    step: Extract<GrantStep, { kind: 'write' }>,
    incarnation: string,
  ): Promise<void> {
    const { counters, table, clock } = this.options;
    const key = limitKey(teamId);
    entry.grant.recordSending(step, incarnation);
    counters.increment('grants.write', step.reason);
    const result = await table.transact({
      conditions: [{ key, version: step.conditionVersion }],
      writes: [{ key, value: step.row }],
    });
    const nowMs = clock.monotonicMs();
    if (result.kind === 'committed') {
      entry.failures = 0;
      entry.grant.recordCommitted(step, result.versions.get(key) ?? 0, nowMs);
      return;
    }
    counters.increment('grants.retry', 'conflict');
    entry.grant.recordRow(
      result.rows.find((row) => row.key === key),
      nowMs,
    );
    this.retryLater(entry, BASE_CONFLICT_RETRY_MS, MAX_CONFLICT_RETRY_MS);
  }

  private retryLater(entry: TeamEntry, firstMs: number, maxMs: number): void {
    const delayMs = Math.min(maxMs, firstMs * 2 ** entry.failures) * this.jitter();
    entry.failures = Math.min(entry.failures + 1, 10);
    entry.retryAtMs = this.options.clock.monotonicMs() + delayMs;
  }

  /** Returns a random factor in [0.5, 1.5). */
  private jitter(): number {
    return 0.5 + this.options.random();
  }

  private askPeers(teamId: string, entry: TeamEntry, context: GrantContext): void {
    if (this.isClosing || !entry.grant.lacksCapacity(context)) return;
    if (context.nowMs - entry.lastAskedPeersAtMs < SHORTAGE_RETRY_MS) return;
    const holders = (entry.grant.lastRow()?.grants ?? [])
      .filter(({ memberId, incarnation }) => context.standing(memberId, incarnation) === 'live')
      .filter(({ memberId }) => memberId !== context.self.memberId)
      .toSorted((a, b) => b.amount - a.amount)
      .slice(0, MAX_PEERS_ASKED);
    if (holders.length === 0) return;
    entry.lastAskedPeersAtMs = context.nowMs;
    for (const { memberId } of holders) void this.requestReturnFromPeer(teamId, memberId);
  }

  private async requestReturnFromPeer(teamId: string, memberId: string): Promise<void> {
    try {
      const response = await this.options.exchange.call(memberId, RETURN_GRANTS_METHOD, { teamId });
      const { returned } = z.object({ returned: z.int().min(0) }).parse(response);
      if (returned > 0) await this.runNextStep(teamId, true);
    } catch {
      this.options.counters.increment('grants.ask_failed');
    }
  }

  private async handleReturnRequest(params: unknown): Promise<{ readonly returned: number }> {
    const { teamId } = returnParamsSchema.parse(params);
    const entry = this.entries.get(teamId);
    const incarnation = this.self()?.incarnation;
    if (entry === undefined || incarnation === undefined) return { returned: 0 };
    const before = entry.grant.held(incarnation);
    entry.grant.requestReturn();
    await this.runNextStep(teamId, true);
    return { returned: Math.max(0, before - entry.grant.held(incarnation)) };
  }

  private async returnUnused(teamId: string): Promise<void> {
    const entry = this.entry(teamId);
    for (let attempt = 0; attempt < MAX_RETURN_ATTEMPTS; attempt += 1) {
      entry.grant.setNeed(this.options.clock.monotonicMs(), 0);
      entry.grant.requestReturn();
      await this.runNextStep(teamId, true);
      const held = entry.grant.held(this.self()?.incarnation ?? '');
      if (held <= entry.grant.running()) return;
      if (entry.isTableFailing) break;
    }
    this.options.counters.increment('grants.hand_back_failed');
  }
}
