/** Decides whose request it is and whether it may use the queue. */
import type { FleetConfiguration, Queue } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { keyIndexOf } from './key_index';

/** The queue and the team for which the request runs; `null` on a queue open to all, without a key. */
export interface Authorization {
  readonly queue: Queue;
  readonly teamId: string | null;
}

/**
 * Checks a key against the configuration. Throws `RequestError`, outcome `not_run`.
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
  const teamKey = keyIndexOf(fleet.keys).find(key);
  if (teamKey === undefined) throw refuse('unknownKey');
  const allowed = queue.openToAll || queue.teamIds.length === 0 || queue.teamIds.includes(teamKey.teamId);
  if (!allowed) throw refuse('queueNotAllowed');
  return { queue, teamId: teamKey.teamId };
}

function refuse(name: 'unknownQueue' | 'missingKey' | 'unknownKey' | 'queueNotAllowed'): RequestError {
  return new RequestError(RESULT_CODES[name], { outcome: 'not_run' });
}
