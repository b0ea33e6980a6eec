/** Faults that a target stand-in injects. */
import { z } from 'zod';

/** Number of requests from now on that are affected; -1 affects all until the faults are set again. */
const affectedRequests = z.int().min(-1).default(0);

export const workerFaultsSchema = z.strictObject({
  /** Responds with status 500 after running the request. */
  fail: affectedRequests,
  /** Responds with status 503 after running the request. */
  failAfterRun: affectedRequests,
  /** Responds with status 503 and `endivestand-not-run: true` without running the request. */
  rejectNotRun: affectedRequests,
  /** Resets the connection after running the request. */
  reset: affectedRequests,
  /** Closes the connection in the middle of the response. */
  cut: affectedRequests,
  /** Returns the attempt id of the previous request instead of this one's. */
  crossAttemptIds: affectedRequests,
  /** Additional delay of every response after the request has run, in milliseconds. */
  lateMs: z.int().min(0).default(0),
  /** Size of the payload in every response, in bytes. */
  answerBytes: z.int().min(0).default(0),
  /** Number of parts in which the response is streamed; 0 sends it in one piece with `content-length`. */
  parts: z.int().min(0).default(0),
  /** Delay between two parts, in milliseconds. */
  partDelayMs: z.int().min(0).default(0),
});

export type WorkerFaults = Readonly<z.infer<typeof workerFaultsSchema>>;
export type CountedFault = 'fail' | 'failAfterRun' | 'rejectNotRun' | 'reset' | 'cut' | 'crossAttemptIds';

/** The faults after `fault` has affected one request. */
export function consumeFault(faults: WorkerFaults, fault: CountedFault): WorkerFaults {
  const remaining = faults[fault];
  return remaining > 0 ? { ...faults, [fault]: remaining - 1 } : faults;
}
