/** What one attempt at one target is given and how it may end, independent of the HTTP client. */
import type { HttpHeaders, TargetResponse } from './dispatcher';

/** Where an attempt goes. */
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
  /** The head of the answer must have arrived by then, on the local monotonic clock. */
  readonly deadlineAtMs: number;
  /** The whole answer must have arrived by then, on the local monotonic clock. */
  readonly bodyDeadlineAtMs: number;
  readonly signal: AbortSignal;
  /** Runs in the turn that hands over the first byte; what it throws keeps the request from being sent. */
  readonly beforeSend: () => void;
}

/** Why an attempt ended without an answer; the reason of its counter. */
export type AttemptFailure =
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

/** `may_have_run` if any byte may have been handed to a connection and no answer of the target says otherwise. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly answer: TargetResponse }
  | {
      readonly kind: 'failed';
      readonly outcome: 'not_run' | 'may_have_run';
      readonly reason: AttemptFailure;
      readonly cause: unknown;
    };

/** Makes single attempts; knows nothing of retries or routing. */
export abstract class AttemptTransport {
  /** Resolves with the head of the answer or with the failure; never rejects. */
  abstract attempt(target: AttemptTarget, request: AttemptRequest): Promise<AttemptResult>;

  /** Closes connections to addresses other than those of `targets` once their requests have ended. */
  abstract retainOnly(targets: readonly AttemptTarget[]): void;

  /** Closes all connections once their requests have ended. */
  abstract close(): Promise<void>;
}
