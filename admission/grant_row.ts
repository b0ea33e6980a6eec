/** Table row `limit/<teamId>`: the upper limit of a team and the amount of it that is granted to each member. */
import { z } from 'zod';

export const grantRowSchema = z.object({
  limit: z.int().min(0),
  /** Number of the ticket (configuration change) that set the limit; a higher number is newer. */
  limitTicket: z.int().min(0),
  grants: z
    .array(z.object({ memberId: z.string(), incarnation: z.string(), amount: z.int().min(0) }).readonly())
    .readonly(),
});

export type GrantRow = Readonly<z.infer<typeof grantRowSchema>>;

export type Grant = GrantRow['grants'][number];

/** The limit of a team in the configuration in use. */
export interface ConfiguredLimit {
  readonly limit: number;
  /** Number of the ticket that last set or removed the team. */
  readonly ticket: number;
}

export function limitKey(teamId: string): string {
  return `limit/${teamId}`;
}

/** Returns the sum of all grants in a row. */
export function sumOfGrants(row: GrantRow): number {
  return row.grants.reduce((sum, grant) => sum + grant.amount, 0);
}

/** Returns the amount that a row grants to one incarnation. */
export function grantOf(row: GrantRow | null, incarnation: string): number {
  return row?.grants.find((grant) => grant.incarnation === incarnation)?.amount ?? 0;
}
