/** The head row, which identifies the current configuration and membership. */
import { z } from 'zod';

export const HEAD_KEY = 'head';

/**
 * Revision of the configuration and epoch of the membership. The transaction that
 * changes the configuration or the membership also raises its counter here.
 */
export const headSchema = z.object({ revision: z.int().min(0), membershipEpoch: z.int().min(0) });

export type Head = Readonly<z.infer<typeof headSchema>>;

/** The head before the first write. */
export const INITIAL_HEAD: Head = { revision: 0, membershipEpoch: 0 };

/** Whether `a` is at least as new as `b` in both counters. */
export function coversHead(a: Head, b: Head): boolean {
  return a.revision >= b.revision && a.membershipEpoch >= b.membershipEpoch;
}
