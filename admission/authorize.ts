/** Identifies the team of a request and checks whether it may use the queue. */
import type { FleetConfiguration, Queue } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { keyIndexOf } from './key_index';

/** The queue and the team of a request; the team is `null` for a request without a key on a queue open to all. */
export interface Authorization {
  readonly queue: Queue;
  readonly teamId: string | null;
}

/**
 * Checks the key of a request against the configuration. Throws `RequestError`, outcome `not_run`.
 *
 * @example
 * ```ts
 * const { queue, teamId } = authorize(fleet, 'quotes', keyFromHeader);
 * ```
 */
export function authorize(fleet: FleetConfiguration, queueId: string, key: string | null): Authorization {
  const queue = fleet.queues.get(queueId);
  if (queue === undefined) throw rejection('unknownQueue');
  if (key === null) {
    if (queue.openToAll) return { queue, teamId: null };
    throw rejection('missingKey');
  }
  const teamKey = keyIndexOf(fleet.keys).find(key);
  if (teamKey === undefined) throw rejection('unknownKey');
  const allowed = queue.openToAll || queue.teamIds.length === 0 || queue.teamIds.includes(teamKey.teamId);
  if (!allowed) throw rejection('queueNotAllowed');
  return { queue, teamId: teamKey.teamId };
}

function rejection(name: 'unknownQueue' | 'missingKey' | 'unknownKey' | 'queueNotAllowed'): RequestError {
  return new RequestError(RESULT_CODES[name], { outcome: 'not_run' });
}
