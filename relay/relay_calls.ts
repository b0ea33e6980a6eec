/** Methods, parameters and results of the JSON-RPC 2.0 calls between scheduler processes. */
import { z } from 'zod';

export const JOB_SUBMIT_METHOD = 'jobs.submit';
export const JOB_STATE_METHOD = 'jobs.state';
export const JOB_CANCEL_METHOD = 'jobs.cancel';
export const PENDING_JOBS_METHOD = 'jobs.pending';
/** Asks whether the process could become the placement leader. */
export const MAY_TAKE_OVER = 'placement.may_take_over';
/**
 * Asks whether the process rules out that there has been a later placement leader than the
 * one that asks: it has been running since that one renewed its lease, knows of no later one,
 * and does not reach the store, so that others probably do not either.
 */
export const RULE_OUT_LATER_LEADER = 'placement.rule_out_later_leader';
/** Requests that the process become the placement leader. */
export const TAKE_OVER = 'placement.take_over';

/** Result of a call that was made on behalf of another process. */
const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), value: z.unknown() }),
  /** The store was unavailable; the call was not applied. */
  z.object({ kind: z.literal('unavailable') }),
  /** The call may have been applied. */
  z.object({ kind: z.literal('unknown') }),
]);

export type RelayOutcome = z.infer<typeof outcomeSchema>;

/** Decodes the outcome of a call; returns `null` if the value is not a valid outcome. */
export function decodeOutcome(value: unknown): RelayOutcome | null {
  return outcomeSchema.safeParse(value).data ?? null;
}

export const jobIdSchema = z.object({ jobId: z.string() });
export const queueIdSchema = z.object({ queueId: z.string() });
export const epochSchema = z.object({ epoch: z.int().min(1) });
/** `sinceMs`: time since the leader of `epoch` last renewed its lease, in milliseconds. */
export const laterLeaderSchema = z.object({ epoch: z.int().min(1), sinceMs: z.number().min(0) });
/**
 * Parameters of a submission. The job is encoded as its row; the process that
 * received it from the caller has validated it. `patienceMs` is the time for which
 * that process waits, in milliseconds.
 */
export const submitSchema = z.object({ job: z.string(), patienceMs: z.number() });
