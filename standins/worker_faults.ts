/** What goes wrong at a target stand-in. */
import { z } from 'zod';

/** Number of coming requests that are affected; -1 affects all until the faults are set again. */
const affected = z.int().min(-1).default(0);

export const workerFaultsSchema = z.strictObject({
  /** Answers 500 after running the request. */
  fail: affected,
  /** Answers 503 after running the request. */
  failAfterRun: affected,
  /** Answers 503 with `endivestand-not-run: true` without running the request. */
  rejectNotRun: affected,
  /** Resets the connection after running the request. */
  reset: affected,
  /** Ends the connection in the middle of the answer. */
  cut: affected,
  /** Echoes the attempt id of another request. */
  crossAttemptIds: affected,
  /** Further delay of every answer after the request ran, in milliseconds. */
  lateMs: z.int().min(0).default(0),
  /** Size of the payload in every answer. */
  answerBytes: z.int().min(0).default(0),
  /** Number of parts in which the payload is streamed; 0 sends it with its length in one piece. */
  parts: z.int().min(0).default(0),
  /** Pause between two parts, in milliseconds. */
  partDelayMs: z.int().min(0).default(0),
});

export type WorkerFaults = Readonly<z.infer<typeof workerFaultsSchema>>;
export type CountedFault = 'fail' | 'failAfterRun' | 'rejectNotRun' | 'reset' | 'cut' | 'crossAttemptIds';

/** The faults after one request met `fault`. */
export function consumeFault(faults: WorkerFaults, fault: CountedFault): WorkerFaults {
  const left = faults[fault];
  return left > 0 ? { ...faults, [fault]: left - 1 } : faults;
}
