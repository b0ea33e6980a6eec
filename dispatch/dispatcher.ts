/** Sending admitted requests to targets. */
import type { Readable } from 'node:stream';
import { capability } from '../kernel/capability';

/** Header names in lower case. */
export type HttpHeaders = Readonly<Record<string, string | readonly string[]>>;

/** An admitted request. */
export interface DispatchRequest {
  readonly requestId: string;
  readonly poolId: string;
  readonly method: string;
  /** Path and query as the target sees them. */
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Buffer | null;
  readonly idempotent: boolean;
  /** The head of the answer must have arrived by then, on the local monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** The whole answer must have arrived by then, on the local monotonic clock, in milliseconds. */
  readonly bodyDeadlineAtMs: number;
  readonly signal: AbortSignal;
  /**
   * Runs in the turn that hands the first byte of an attempt to a connection;
   * throws `RequestError` to prevent it.
   */
  readonly beforeSend: () => void;
}

/**
 * `complete`: the target has sent its whole answer. `cut`: the target ended it
 * early. `abandoned`: the reader gave it up or it took too long. After the
 * last two, work may go on at the target.
 */
export type ResponseEnd = 'complete' | 'cut' | 'abandoned';

/** The answer of a target; a body that ends early emits an error, never a regular end. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Readable;
  readonly instanceId: string;
  /** Resolves when the target's side of the answer has ended, which may be before the caller has read it. */
  readonly ended: Promise<ResponseEnd>;
}

/** Picks targets, makes attempts and retries those that surely did not run. */
export abstract class Dispatcher {
  /** Resolves with the head of the answer. Rejects with `RequestError` and the true outcome. */
  abstract dispatch(request: DispatchRequest): Promise<TargetResponse>;
}

/** Work of this entry instance that runs or may run at targets. */
export abstract class InFlightWork {
  /** Attempts that are open, and those that may go on at the target although their connection is gone. */
  abstract inFlight(instanceId: string): number;
}

export const IN_FLIGHT_WORK = capability<InFlightWork>('dispatch.in_flight_work');

export const DISPATCHER = capability<Dispatcher>('dispatch.dispatcher');
