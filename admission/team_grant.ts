/** The grant of one team on this member: the amount held, the amount in use and the next table call. */
import { CLOCK_RATE_MARGIN, FENCE_WAIT_MS } from '../config/freshness';
import { MAX_WORK_MS, type IncarnationState } from '../membership/membership';
import type { Row } from '../platform/table_service';
import {
  currentAmount,
  planGrant,
  proportionalShare,
  usableAmount,
  type GrantHolder,
} from './grant_decision';
import { PeakNeedTracker, wantedAmount } from './grant_demand';
import { grantOf, grantRowSchema, sumOfGrants, type ConfiguredLimit, type GrantRow } from './grant_row';

/** Longest time in milliseconds for which work admitted under an earlier limit may still run. */
const EARLIER_WORK_MS = FENCE_WAIT_MS + MAX_WORK_MS * (1 + CLOCK_RATE_MARGIN);

/** Membership, configuration and time on which a decision about a grant depends. */
export interface GrantContext {
  readonly nowMs: number;
  readonly self: GrantHolder;
  readonly formerIncarnations: ReadonlySet<string>;
  readonly configured: ConfiguredLimit;
  /** See `WantedAmountInputs.limitShare`; computed on demand. */
  readonly limitShare: () => number;
  readonly standing: (memberId: string, incarnation: string) => IncarnationState;
}

/** A table call to make. The write applies only to the row version `conditionVersion`, `null` for a missing row. */
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

/** Decides on the next table call for a grant; `GrantManager` makes the calls. */
export class TeamGrant {
  private row: GrantRow | null = null;
  private version: number | null = null;
  private readAtMs = Number.NEGATIVE_INFINITY;
  private overLimitSinceMs: number | null = null;
  private runningWork = 0;
  private neededAmount = 0;
  private readonly peakNeedTracker = new PeakNeedTracker();
  /** Upper bound of the usable amount while the outcome of a write is unknown. */
  private usableBound = Number.POSITIVE_INFINITY;
  /**
   * The write whose outcome is unknown; it may still take effect while the row has
   * the required `version`. `isRepeated` shows that the outcome of an earlier write
   * was still unknown when this one was sent.
   */
  private unresolvedWrite: { readonly version: number | null; readonly isRepeated: boolean } | null = null;
  private isReturnRequested = false;

  /** Returns the running work of this process, including work that earlier incarnations of it started. */
  running(): number {
    return this.runningWork;
  }

  recordStart(): void {
    this.runningWork += 1;
  }

  recordEnd(): void {
    this.runningWork -= 1;
  }

  setNeed(nowMs: number, need: number): void {
    this.neededAmount = need;
    this.peakNeedTracker.observe(nowMs, Math.max(need, this.runningWork));
  }

  /** Makes the next step return the amount that is not needed. */
  requestReturn(): void {
    this.isReturnRequested = true;
  }

  /** Returns the amount that the row as last read grants to `incarnation`. */
  held(incarnation: string): number {
    return grantOf(this.row, incarnation);
  }

  /** Returns the row as last read. */
  lastRow(): GrantRow | null {
    return this.row;
  }

  /** Returns the amount of work that may run now. */
  usable(context: Pick<GrantContext, 'nowMs' | 'self' | 'configured'>): number {
    const held = this.held(context.self.incarnation);
    const overLimitSinceMs = this.overLimitSinceMs ?? context.nowMs;
    const earlierWorkEnded = context.nowMs - overLimitSinceMs > EARLIER_WORK_MS;
    const usable = usableAmount({ row: this.row, held, configured: context.configured, earlierWorkEnded });
    return Math.min(usable, this.usableBound);
  }

  /** Whether the member needs more than it may use, while the row as last read grants the whole limit. */
  lacksCapacity(context: GrantContext): boolean {
    if (this.row === null || this.neededAmount <= this.usable(context)) return false;
    return (
      sumOfGrants(this.row) >= this.row.limit &&
      Math.min(this.neededAmount, context.limitShare()) > this.usable(context)
    );
  }

  /**
   * Returns the next table call, `null` if there is nothing to do. While the member
   * lacks capacity, the row is read again when it is older than `rereadAfterMs`.
   */
  nextStep(context: GrantContext, rereadAfterMs: number): GrantStep | null {
    if (this.unresolvedWrite !== null && this.readAtMs === Number.NEGATIVE_INFINITY) return { kind: 'read' };
    const amountToHold = this.computeAmountToHold(context);
    const plan = planGrant({ ...context, row: this.row, want: amountToHold });
    const held = this.held(context.self.incarnation);
    const mayBeOutdated = context.nowMs - this.readAtMs >= rereadAfterMs;
    const isMissing = this.neededAmount > 0 && (plan.amount < amountToHold || this.isOverLimit());
    const isUseful = plan.changed && (plan.amount !== held || this.needsUpdate(context, amountToHold));
    if (isUseful || this.unresolvedWrite !== null) {
      const reason = plan.amount > held ? 'raise' : plan.amount < held ? 'return' : 'limit';
      return { kind: 'write', conditionVersion: this.version, row: plan.row, amount: plan.amount, reason };
    }
    this.isReturnRequested = false;
    return isMissing && mayBeOutdated ? { kind: 'read' } : null;
  }

  /**
   * Records that a write is about to be sent. Until its outcome is known, only
   * the lower of the amounts before and after it may be used.
   */
  recordSending(step: WriteStep, incarnation: string): void {
    this.usableBound = Math.min(this.usableBound, this.held(incarnation), step.amount);
    this.unresolvedWrite = { version: step.conditionVersion, isRepeated: this.unresolvedWrite !== null };
  }

  /** Records that the write took effect. */
  recordCommitted(step: WriteStep, version: number, nowMs: number): void {
    this.isReturnRequested = false;
    this.applyRow(step.row, version, nowMs);
  }

  /** Records that the write was not applied. An earlier one that requires the same version may still be applied. */
  recordNotApplied(): void {
    if (this.unresolvedWrite?.isRepeated !== true) this.clearUnresolvedWrite();
  }

  /** Records that no response to the write arrived; the row has to be read before the next step. */
  recordOutcomeUnknown(): void {
    this.readAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Records the row as read at `nowMs`; `undefined` if it does not exist. */
  recordRow(row: Row | undefined, nowMs: number): void {
    const value = row === undefined ? null : grantRowSchema.parse(row.value);
    this.applyRow(value, row?.version ?? null, nowMs);
  }

  private applyRow(row: GrantRow | null, version: number | null, nowMs: number): void {
    if (row?.limitTicket !== this.row?.limitTicket) this.overLimitSinceMs = null;
    this.row = row;
    this.version = version;
    this.readAtMs = nowMs;
    if (this.unresolvedWrite !== null && this.unresolvedWrite.version !== version)
      this.clearUnresolvedWrite();
    if (!this.isOverLimit()) this.overLimitSinceMs = null;
    else this.overLimitSinceMs ??= nowMs;
  }

  private clearUnresolvedWrite(): void {
    this.unresolvedWrite = null;
    this.usableBound = Number.POSITIVE_INFINITY;
  }

  /** Whether the row has an older limit than the configuration or lists earlier incarnations of this process. */
  private needsUpdate(context: GrantContext, amountToHold: number): boolean {
    if (this.row === null) return amountToHold > 0;
    const isUsed = amountToHold > 0 || this.held(context.self.incarnation) > 0;
    if (isUsed && context.configured.ticket > this.row.limitTicket) return true;
    return this.row.grants.some(({ incarnation }) => context.formerIncarnations.has(incarnation));
  }

  private computeAmountToHold(context: GrantContext): number {
    const held = this.held(context.self.incarnation);
    if (this.row !== null && this.isOverLimit()) {
      // Work that earlier incarnations of this process started still runs under their grants.
      const current = currentAmount({ ...context, row: this.row });
      return Math.min(current, Math.max(this.runningWork, proportionalShare(this.row, current)));
    }
    return wantedAmount({
      held,
      running: this.runningWork,
      need: this.neededAmount,
      peakNeed: this.peakNeedTracker.value(context.nowMs),
      limitShare: context.limitShare(),
      returnNow: this.isReturnRequested,
    });
  }

  private isOverLimit(): boolean {
    return this.row !== null && sumOfGrants(this.row) > this.row.limit;
  }
}
