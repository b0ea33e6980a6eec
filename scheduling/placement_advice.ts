/** The placement advice service, which issues permissions (tickets) to run a step on certain workers. */

export interface StepId {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

export interface Advice {
  /** Tickets by worker; workers without a ticket may not run the step. */
  readonly tickets: ReadonlyMap<string, string>;
  /** How long the tickets are valid, in milliseconds; 0 if the response does not contain it. */
  readonly validMs: number;
}

/** The service did not respond in time or is overloaded. */
export class AdviceUnavailableError extends Error {
  override readonly name = 'AdviceUnavailableError';
}

export abstract class PlacementAdvice {
  /** Throws {@link AdviceUnavailableError}. */
  abstract requestTickets(step: StepId, workerIds: readonly string[], timeoutMs: number): Promise<Advice>;
}

/** Maximum number of workers that one request may name. */
export const MAX_ADVISED_WORKERS = 100;
