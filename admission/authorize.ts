/** Decides whose request it is and whether it may use the queue. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { FleetConfiguration, Queue, TeamKey } from '../model/fleet';
import { Refusal } from '../model/refusal';
import { RESULT_CODES } from '../model/result_code';

/** The queue and the team for which the request runs; `null` on a queue open to all, without a key. */
export interface Authorization {
  readonly queue: Queue;
  readonly teamId: string | null;
}

/** SHA-256 of a key in lower-case hexadecimal, as kept in the configuration. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}

/**
 * Checks a key against the configuration. Throws `Refusal`, outcome `not_run`.
 *
 * @example
 * ```ts
 * const { queue, teamId } = authorize(fleet, 'quotes', keyFromHeader);
 * ```
 */
export function authorize(fleet: FleetConfiguration, queueId: string, key: string | null): Authorization {
  const queue = fleet.queues.get(queueId);
  if (queue === undefined) throw refuse('unknownQueue');
  if (key === null) {
    if (queue.openToAll) return { queue, teamId: null };
    throw refuse('missingKey');
  }
  const teamKey = findKey(fleet, key);
  if (teamKey === undefined) throw refuse('unknownKey');
  const allowed = queue.openToAll || queue.teamIds.length === 0 || queue.teamIds.includes(teamKey.teamId);
  if (!allowed) throw refuse('queueNotAllowed');
  return { queue, teamId: teamKey.teamId };
}

/** Compares against every key, each in constant time, so that timing does not tell which one came close. */
function findKey(fleet: FleetConfiguration, key: string): TeamKey | undefined {
  const presented = Buffer.from(hashKey(key), 'hex');
  let found: TeamKey | undefined;
  for (const teamKey of fleet.keys.values()) {
    if (timingSafeEqual(Buffer.from(teamKey.keyHashHex, 'hex'), presented)) found = teamKey;
  }
  return found;
}

function refuse(name: 'unknownQueue' | 'missingKey' | 'unknownKey' | 'queueNotAllowed'): Refusal {
  return new Refusal(RESULT_CODES[name], { outcome: 'not_run' });
}
