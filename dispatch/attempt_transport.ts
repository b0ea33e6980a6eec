/** Inputs and results of one attempt at one target, independent of the HTTP client. */
import type { HttpHeaders, TargetResponse } from './dispatcher';

export interface AttemptTarget {
  readonly instanceId: string;
  readonly host: string;
  readonly port: number;
  readonly connections: number;
}

export interface AttemptRequest {
  /** Unique; a target that echoes an attempt id must echo this one. */
  readonly attemptId: string;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Buffer | null;
  /** Deadline of the head of the response, on the local monotonic clock. */
  readonly deadlineAtMs: number;
  /** Deadline of the whole response, on the local monotonic clock. */
  readonly bodyDeadlineAtMs: number;
  readonly signal: AbortSignal;
  /** Called in the event-loop turn that passes on the first byte; an error thrown here prevents sending. */
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

/** `may_have_run` if any byte may have been sent, unless the target responded that the request did not run. */
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
