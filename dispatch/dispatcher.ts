/** Interfaces for the dispatch of admitted requests to targets. */
import type { Readable } from 'node:stream';
import { capability } from '../kernel/capability';

/** HTTP headers; names are in lower case. */
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
  readonly isIdempotent: boolean;
  /** Deadline for the head of the response, in milliseconds on the local monotonic clock. */
  readonly deadlineAtMs: number;
  /** Deadline for the whole response, in milliseconds on the local monotonic clock. */
  readonly bodyDeadlineAtMs: number;
  readonly signal: AbortSignal;
  /**
   * Called in the event-loop turn that passes the first byte of an attempt to a
   * connection. It throws `RequestError` to prevent that.
   */
  readonly beforeSend: () => void;
}

/**
 * How a response ended. `complete`: the target sent all of it. `cut`: the target
 * ended it early. `abandoned`: the reader abandoned it or its deadline passed.
 * After the last two, work may continue at the target.
 */
export type ResponseEnd = 'complete' | 'cut' | 'abandoned';

/** The response of a target. A body that ends early emits `error` and never `end`. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Readable;
  readonly instanceId: string;
  /** Resolves when the target has ended the response, which may be before the caller has read all of it. */
  readonly ended: Promise<ResponseEnd>;
}

/** Chooses targets, makes attempts and retries requests that did not run or are idempotent. */
export abstract class Dispatcher {
  /** Resolves with the head of the response. Rejects with a `RequestError` whose outcome combines all attempts. */
  abstract dispatch(request: DispatchRequest): Promise<TargetResponse>;
}

/** Counts the work of this entry instance that runs or may run at targets. */
export abstract class InFlightWork {
  /** Returns the number of open attempts and of closed ones whose work may still run at the target. */
  abstract inFlight(instanceId: string): number;
}

export const IN_FLIGHT_WORK = capability<InFlightWork>('dispatch.in_flight_work');

export const DISPATCHER = capability<Dispatcher>('dispatch.dispatcher');
