/** Permissions of a queue's policy to run a step on certain workers. */

export interface StepId {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

export interface Advice {
  /** Ticket by worker; workers that are not named may not run the step. */
  readonly tickets: ReadonlyMap<string, string>;
  readonly validMs: number;
}

/** The service did not answer in time, or has too much to do. */
export class AdviceUnavailableError extends Error {
  override readonly name = 'AdviceUnavailableError';
}

export abstract class PlacementAdvice {
  /** Throws {@link AdviceUnavailableError}. */
  abstract requestTickets(step: StepId, workerIds: readonly string[], timeoutMs: number): Promise<Advice>;
}

/** Most workers that one question may name. */
export const MAX_ADVISED_WORKERS = 100;
