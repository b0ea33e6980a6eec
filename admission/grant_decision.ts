/**
 * Rules for the grants, which divide the upper limit of a team among members. The
 * functions are pure and make no table calls, so that each rule can be tested on
 * its own.
 */
import type { IncarnationState } from '../membership/membership';
import { grantOf, sumOfGrants, type ConfiguredLimit, type Grant, type GrantRow } from './grant_row';

/** The incarnation to which an amount is granted. */
export interface GrantHolder {
  readonly memberId: string;
  readonly incarnation: string;
}

export interface GrantInputs {
  /** The row as last read, `null` if it does not exist. */
  readonly row: GrantRow | null;
  readonly self: GrantHolder;
  /** Earlier incarnations of this process, whose running work this process counts as its own. */
  readonly formerIncarnations: ReadonlySet<string>;
  readonly configured: ConfiguredLimit;
  /** The amount that the member should hold; never below its running work. */
  readonly want: number;
  readonly standing: (memberId: string, incarnation: string) => IncarnationState;
}

export interface GrantPlan {
  readonly row: GrantRow;
  /** The amount that the row grants to `GrantInputs.self`. */
  readonly amount: number;
  /** Whether the row differs from the one last read. */
  readonly changed: boolean;
}

/**
 * Computes the next row. A grant is raised only while the sum of grants stays
 * within the limit.
 * Grants of ended incarnations are dropped; those of incarnations that are being
 * fenced still count, since their work may be running.
 *
 * @example
 * ```ts
 * const plan = planGrant({ row, self, formerIncarnations: new Set(), configured, want: 4, standing });
 * if (plan.changed) await table.transact(conditionalWrite(plan.row));
 * ```
 */
export function planGrant(inputs: GrantInputs): GrantPlan {
  const { row, self, configured, want } = inputs;
  const isNewer = row === null || configured.ticket > row.limitTicket;
  const limit = isNewer ? configured.limit : row.limit;
  const limitTicket = isNewer ? configured.ticket : row.limitTicket;
  const others = (row?.grants ?? []).filter((grant) => isHeldByOther(grant, inputs));
  const sumOfOthers = others.reduce((sum, grant) => sum + grant.amount, 0);
  const current = currentAmount(inputs);
  const amount = want <= current ? want : Math.max(current, Math.min(want, limit - sumOfOthers));
  const own = amount > 0 ? [{ ...self, amount }] : [];
  const next: GrantRow = { limit, limitTicket, grants: [...others, ...own] };
  return { row: next, amount, changed: row === null || !isSameRow(row, next) };
}

/**
 * Returns how much of its grant a member may use now.
 *
 * A changed limit must be in the row before any of it is used, since until then
 * a member may raise its grant under the old limit. While the sum of grants exceeds a lowered limit,
 * nothing is admitted, since the running work of other members may fill the
 * whole limit. Once all work from before the change has ended, each member may
 * use its proportional share.
 */
export function usableAmount(inputs: {
  readonly row: GrantRow | null;
  readonly held: number;
  readonly configured: ConfiguredLimit;
  /** Whether all work from before the limit was lowered has ended. */
  readonly earlierWorkEnded: boolean;
}): number {
  const { row, held, configured, earlierWorkEnded } = inputs;
  if (row === null || configured.ticket > row.limitTicket) return 0;
  const sum = sumOfGrants(row);
  if (sum <= row.limit) return held;
  return earlierWorkEnded ? proportionalShare(row, held) : 0;
}

/** Returns `held`, reduced in proportion if the sum of grants exceeds the limit. */
export function proportionalShare(row: GrantRow, held: number): number {
  const sum = sumOfGrants(row);
  return sum <= row.limit ? held : Math.floor((held * row.limit) / sum);
}

function isHeldByOther(grant: Grant, inputs: GrantInputs): boolean {
  if (grant.incarnation === inputs.self.incarnation) return false;
  if (inputs.formerIncarnations.has(grant.incarnation)) return false;
  return inputs.standing(grant.memberId, grant.incarnation) !== 'ended';
}

/** Returns the amount granted to this incarnation and to earlier ones of this process. */
export function currentAmount(inputs: Pick<GrantInputs, 'row' | 'self' | 'formerIncarnations'>): number {
  const incarnations = [inputs.self.incarnation, ...inputs.formerIncarnations];
  return incarnations.reduce((sum, incarnation) => sum + grantOf(inputs.row, incarnation), 0);
}

function isSameRow(a: GrantRow, b: GrantRow): boolean {
  if (a.limit !== b.limit || a.limitTicket !== b.limitTicket || a.grants.length !== b.grants.length)
    return false;
  return b.grants.every((grant) => grantOf(a, grant.incarnation) === grant.amount);
}
