/** Inputs and results of one attempt at one target, independent of the HTTP client. */
import type { HttpHeaders, TargetResponse } from './dispatcher';

export interface AttemptTarget {
  readonly instanceId: string;
  readonly host: string;
  readonly port: number;
  readonly connections: number;
}

export interface AttemptRequest {
  /** Unique id, which the target may echo in its response. A response with another id is rejected. */
  readonly attemptId: string;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Buffer | null;
  /** Deadline for the head of the response, in milliseconds on the local monotonic clock. */
  readonly deadlineAtMs: number;
  /** Deadline for the whole response, in milliseconds on the local monotonic clock. */
  readonly bodyDeadlineAtMs: number;
  readonly signal: AbortSignal;
  /**
   * Called in the event-loop turn that passes the first byte to a connection; an
   * error thrown here prevents the request from being sent.
   */
  readonly beforeSend: () => void;
}

/** Why an attempt ended without a response; also the reason under which it is counted. */
export type FailureReason =
  | 'refused'
  | 'connect_timeout'
  | 'connect_failed'
  | 'deadline_before_send'
  | 'cancelled_before_send'
  | 'not_permitted'
  | 'rejected_by_target'
  | 'deadline'
  | 'cancelled'
  | 'reset'
  | 'cut'
  | 'mismatch'
  | 'unverifiable';

/**
 * Result of one attempt. A failed one may have run if any byte may have been sent,
 * unless the target responded that it did not run the request.
 */
export type AttemptResult =
  | { readonly kind: 'responded'; readonly response: TargetResponse }
  | {
      readonly kind: 'failed';
      readonly outcome: 'not_run' | 'may_have_run';
      readonly reason: FailureReason;
      readonly cause: unknown;
    };

/** Makes single attempts, without retries or routing. */
export abstract class AttemptTransport {
  /** Resolves with the head of the response or with the failure; never rejects. */
  abstract attempt(target: AttemptTarget, request: AttemptRequest): Promise<AttemptResult>;

  /** Closes the connections to all addresses other than those of `targets` once their requests have ended. */
  abstract retainOnly(targets: readonly AttemptTarget[]): void;

  /** Closes all connections once their requests have ended. */
  abstract close(): Promise<void>;
}
