/** Calls between the processes of the system, as JSON-RPC 2.0. */
import { z } from 'zod';

export const SUBMIT = 'jobs.submit';
export const STATE = 'jobs.state';
export const CANCEL = 'jobs.cancel';
export const PENDING = 'jobs.pending';
export const MAY_TAKE_OVER = 'placement.may_take_over';
export const TAKE_OVER = 'placement.take_over';

/** What a process says about a call that it has carried out for another one. */
const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), value: z.unknown() }),
  /** The store did not take it: nothing was done. */
  z.object({ kind: z.literal('unavailable') }),
  /** It may have been done. */
  z.object({ kind: z.literal('unknown') }),
]);

export type RelayOutcome = z.infer<typeof outcomeSchema>;

/** Throws `ZodError`. */
export function decodeOutcome(value: unknown): RelayOutcome {
  return outcomeSchema.parse(value);
}

export const jobIdSchema = z.object({ jobId: z.string() });
export const queueIdSchema = z.object({ queueId: z.string() });
export const epochSchema = z.object({ epoch: z.int().min(1) });
/** The job is checked by the process that took the call, and encoded as its row. */
export const submitSchema = z.object({ job: z.string(), patienceMs: z.number() });
