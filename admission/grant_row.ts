/** Row `limit/<teamId>`: a team's upper limit and the part of it that each member may use. */
import { z } from 'zod';

export const grantRowSchema = z.object({
  limit: z.int().min(0),
  /** Number of the ticket that set the limit; a higher number is newer. */
  limitTicket: z.int().min(0),
  grants: z
    .array(z.object({ memberId: z.string(), incarnation: z.string(), amount: z.int().min(0) }).readonly())
    .readonly(),
});

export type GrantRow = Readonly<z.infer<typeof grantRowSchema>>;

export type Grant = GrantRow['grants'][number];

/** A team's limit as the configuration in use states it. */
export interface ConfiguredLimit {
  readonly limit: number;
  /** Number of the ticket that last set or removed the team. */
  readonly ticket: number;
}

export function limitKey(teamId: string): string {
  return `limit/${teamId}`;
}

/** Sum of all grants in a row. */
export function sumOfGrants(row: GrantRow): number {
  return row.grants.reduce((sum, grant) => sum + grant.amount, 0);
}

/** What a row grants to one incarnation. */
export function grantOf(row: GrantRow | null, incarnation: string): number {
  return row?.grants.find((grant) => grant.incarnation === incarnation)?.amount ?? 0;
}
