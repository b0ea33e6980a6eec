/** One team's grant on this member: what it holds, what it uses and which table call comes next. */
import { CLOCK_RATE_MARGIN, FENCE_WAIT_MS } from '../config/freshness';
import { MAX_WORK_MS, type IncarnationState } from '../membership/membership';
import type { Row } from '../platform/table_service';
import { currentAmount, planGrant, proportionalPart, usableAmount, type GrantHolder } from './grant_decision';
import { NeedPeak, wantedAmount } from './grant_demand';
import { grantOf, grantRowSchema, sumOfGrants, type ConfiguredLimit, type GrantRow } from './grant_row';

/** Longest time that work admitted under an earlier limit may go on, in milliseconds. */
const EARLIER_WORK_MS = FENCE_WAIT_MS + MAX_WORK_MS * (1 + CLOCK_RATE_MARGIN);

/** What a member knows from outside when it decides on a grant. */
export interface GrantSurroundings {
  readonly nowMs: number;
  readonly self: GrantHolder;
  readonly formerIncarnations: ReadonlySet<string>;
  readonly configured: ConfiguredLimit;
  /** See `WantInputs.part`; computed on demand. */
  readonly part: () => number;
  readonly standing: (memberId: string, incarnation: string) => IncarnationState;
}

/** A table call to make; `conditionVersion` is the version that the row must have. */
export type GrantStep =
  | { readonly kind: 'read' }
  | {
      readonly kind: 'write';
      readonly conditionVersion: number | null;
      readonly row: GrantRow;
      readonly amount: number;
      readonly reason: 'raise' | 'return' | 'limit';
    };

type WriteStep = Extract<GrantStep, { kind: 'write' }>;

/** Owner of the state; {@link GrantKeeper} carries out its steps. */
export class TeamGrant {
  private row: GrantRow | null = null;
  private version: number | null = null;
  private seenAtMs = Number.NEGATIVE_INFINITY;
  private overLimitSinceMs: number | null = null;
  private runningWork = 0;
  private needed = 0;
  private readonly peak = new NeedPeak();
  /** Upper bound while a write that lowers the grant is under way or its outcome is unknown. */
  private lowered = Number.POSITIVE_INFINITY;
  /** Version that a write of unknown outcome requires; the write may still take effect while the row has it. */
  private unresolved: { readonly version: number | null; readonly isRepeated: boolean } | null = null;
  private returnRequested = false;

  /** Running work of this process, whatever its incarnation was at the start. */
  running(): number {
    return this.runningWork;
  }

  started(): void {
    this.runningWork += 1;
  }

  ended(): void {
    this.runningWork -= 1;
  }

  setNeed(nowMs: number, need: number): void {
    this.needed = need;
    this.peak.observe(nowMs, Math.max(need, this.runningWork));
  }

  /** Asks for the return of what is not needed. */
  requestReturn(): void {
    this.returnRequested = true;
  }

  held(incarnation: string): number {
    return grantOf(this.row, incarnation);
  }

  /** The row as last seen. */
  knownRow(): GrantRow | null {
    return this.row;
  }

  /** How much work may run now. */
  usable(around: Pick<GrantSurroundings, 'nowMs' | 'self' | 'configured'>): number {
    const held = this.held(around.self.incarnation);
    const sinceMs = this.overLimitSinceMs ?? around.nowMs;
    const earlierWorkEnded = around.nowMs - sinceMs > EARLIER_WORK_MS;
    const usable = usableAmount({ row: this.row, held, configured: around.configured, earlierWorkEnded });
    return Math.min(usable, this.lowered);
  }

  /** Whether the member needs more than it may use and the row as last seen has nothing left. */
  isShort(around: GrantSurroundings): boolean {
    if (this.row === null || this.needed <= this.usable(around)) return false;
    return (
      sumOfGrants(this.row) >= this.row.limit && Math.min(this.needed, around.part()) > this.usable(around)
    );
  }

  /** The next table call, or `null` if there is nothing to do. */
  nextStep(around: GrantSurroundings, rereadAfterMs: number): GrantStep | null {
    if (this.unresolved !== null && this.seenAtMs === Number.NEGATIVE_INFINITY) return { kind: 'read' };
    const want = this.want(around);
    const plan = planGrant({ ...around, row: this.row, want });
    const held = this.held(around.self.incarnation);
    const mayBeOutdated = around.nowMs - this.seenAtMs >= rereadAfterMs;
    const isMissing = this.needed > 0 && (plan.amount < want || this.isOverLimit());
    const isUseful = plan.changed && (plan.amount !== held || this.needsUpdate(around, want));
    if (isUseful || this.unresolved !== null) {
      const reason = plan.amount > held ? 'raise' : plan.amount < held ? 'return' : 'limit';
      return { kind: 'write', conditionVersion: this.version, row: plan.row, amount: plan.amount, reason };
    }
    this.returnRequested = false;
    return isMissing && mayBeOutdated ? { kind: 'read' } : null;
  }

  /** Must be called before a write is sent: from then on the lower of both amounts applies. */
  sending(step: WriteStep, incarnation: string): void {
    this.lowered = Math.min(this.lowered, this.held(incarnation), step.amount);
    this.unresolved = { version: step.conditionVersion, isRepeated: this.unresolved !== null };
  }

  /** The write took effect. */
  committed(step: WriteStep, version: number, nowMs: number): void {
    this.returnRequested = false;
    this.learn(step.row, version, nowMs);
  }

  /** The write surely had no effect; an earlier one on the same version may still have one. */
  notApplied(): void {
    if (this.unresolved?.isRepeated !== true) this.resolve();
  }

  /** No answer arrived: the row has to be read before the next step. */
  outcomeUnknown(): void {
    this.seenAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Takes in the row as read at `nowMs`; `undefined` if it does not exist. */
  seen(row: Row | undefined, nowMs: number): void {
    const value = row === undefined ? null : grantRowSchema.parse(row.value);
    this.learn(value, row?.version ?? null, nowMs);
  }

  private learn(row: GrantRow | null, version: number | null, nowMs: number): void {
    if (row?.limitTicket !== this.row?.limitTicket) this.overLimitSinceMs = null;
    this.row = row;
    this.version = version;
    this.seenAtMs = nowMs;
    if (this.unresolved !== null && this.unresolved.version !== version) this.resolve();
    if (!this.isOverLimit()) this.overLimitSinceMs = null;
    else this.overLimitSinceMs ??= nowMs;
  }

  private resolve(): void {
    this.unresolved = null;
    this.lowered = Number.POSITIVE_INFINITY;
  }

  /** Whether the row lacks the configured limit, or still names earlier incarnations of this process. */
  private needsUpdate(around: GrantSurroundings, want: number): boolean {
    if (this.row === null) return want > 0;
    const isUsed = want > 0 || this.held(around.self.incarnation) > 0;
    if (isUsed && around.configured.ticket > this.row.limitTicket) return true;
    return this.row.grants.some(({ incarnation }) => around.formerIncarnations.has(incarnation));
  }

  private want(around: GrantSurroundings): number {
    const held = this.held(around.self.incarnation);
    if (this.row !== null && this.isOverLimit()) {
      // Work of earlier incarnations of this process still runs under their grants.
      const current = currentAmount({ ...around, row: this.row });
      return Math.min(current, Math.max(this.runningWork, proportionalPart(this.row, current)));
    }
    return wantedAmount({
      held,
      running: this.runningWork,
      need: this.needed,
      peakNeed: this.peak.value(around.nowMs),
      part: around.part(),
      returnNow: this.returnRequested,
    });
  }

  private isOverLimit(): boolean {
    return this.row !== null && sumOfGrants(this.row) > this.row.limit;
  }
}
