/** Distributes the placement roles of the pools over the entry instances. */
import { createHash } from 'node:crypto';

/**
 * Rank of a member for a pool, 0 for the preferred placement leader. Each
 * member computes the same ranks from the same list, and a member that joins
 * or leaves changes the ranks for few pools (rendezvous hashing).
 *
 * @example
 * ```ts
 * placementRank('billing', 'entry-2', ['entry-1', 'entry-2', 'entry-3']);
 * ```
 */
export function placementRank(poolId: string, memberId: string, memberIds: readonly string[]): number {
  const own = weight(poolId, memberId);
  return memberIds.filter((other) => weight(poolId, other) > own).length;
}

function weight(poolId: string, memberId: string): string {
  return createHash('sha256').update(`${poolId}\n${memberId}`, 'utf8').digest('hex');
}
