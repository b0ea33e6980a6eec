/**
 * Rules of the grants within a team's upper limit. Synchronous and without
 * knowledge of the table, so that every rule can be checked by itself.
 */
import type { IncarnationState } from '../membership/membership';
import { grantOf, sumOfGrants, type ConfiguredLimit, type Grant, type GrantRow } from './grant_row';

/** The incarnation that asks. */
export interface GrantHolder {
  readonly memberId: string;
  readonly incarnation: string;
}

export interface GrantInputs {
  /** The row as last seen, `null` if it does not exist. */
  readonly row: GrantRow | null;
  readonly self: GrantHolder;
  /** Earlier incarnations of this process; what they started is counted by this process. */
  readonly formerIncarnations: ReadonlySet<string>;
  readonly configured: ConfiguredLimit;
  /** Amount wanted, never below the running work. */
  readonly want: number;
  readonly standing: (memberId: string, incarnation: string) => IncarnationState;
}

export interface GrantPlan {
  readonly row: GrantRow;
  /** What the row grants to the asking incarnation. */
  readonly amount: number;
  /** Whether the row differs from the one last seen. */
  readonly changed: boolean;
}

/**
 * Computes the next row. The sum of grants never rises above the limit; grants
 * of ended incarnations are dropped, those of fencing ones still count.
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
  return { row: next, amount, changed: row === null || !sameRow(row, next) };
}

/**
 * How much of its grant a member may use now.
 *
 * A change of the limit must be seen in the row first: only then can no member
 * raise a grant under the old limit any more. While the sum of grants exceeds
 * a lowered limit, nothing is admitted, since the running work of others may
 * fill the whole limit; after the longest work has ended, each member's
 * proportional part is safe.
 */
export function usableAmount(inputs: {
  readonly row: GrantRow | null;
  readonly held: number;
  readonly configured: ConfiguredLimit;
  /** All work from before the limit was lowered has ended. */
  readonly earlierWorkEnded: boolean;
}): number {
  const { row, held, configured, earlierWorkEnded } = inputs;
  if (row === null || configured.ticket > row.limitTicket) return 0;
  const sum = sumOfGrants(row);
  if (sum <= row.limit) return held;
  return earlierWorkEnded ? proportionalPart(row, held) : 0;
}

/** A holder's part of a limit that is lower than the sum of grants. */
export function proportionalPart(row: GrantRow, held: number): number {
  const sum = sumOfGrants(row);
  return sum <= row.limit ? held : Math.floor((held * row.limit) / sum);
}

function isHeldByOther(grant: Grant, inputs: GrantInputs): boolean {
  if (grant.incarnation === inputs.self.incarnation) return false;
  if (inputs.formerIncarnations.has(grant.incarnation)) return false;
  return inputs.standing(grant.memberId, grant.incarnation) !== 'ended';
}

/** The own grant and what earlier incarnations of this process still hold. */
export function currentAmount(inputs: Pick<GrantInputs, 'row' | 'self' | 'formerIncarnations'>): number {
  const incarnations = [inputs.self.incarnation, ...inputs.formerIncarnations];
  return incarnations.reduce((sum, incarnation) => sum + grantOf(inputs.row, incarnation), 0);
}

function sameRow(a: GrantRow, b: GrantRow): boolean {
  if (a.limit !== b.limit || a.limitTicket !== b.limitTicket || a.grants.length !== b.grants.length)
    return false;
  return b.grants.every((grant) => grantOf(a, grant.incarnation) === grant.amount);
}
