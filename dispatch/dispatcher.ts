/** Sending admitted requests to targets. */
import type { Readable } from 'node:stream';
import { capability } from '../kernel/capability';

/** Header names in lower case. */
export type Headers = Readonly<Record<string, string | readonly string[]>>;

/** An admitted request. */
export interface DispatchRequest {
  readonly requestId: string;
  readonly poolId: string;
  readonly method: string;
  /** Path and query as the target sees them. */
  readonly path: string;
  readonly headers: Headers;
  readonly body: Buffer | null;
  readonly idempotent: boolean;
  /** On the local monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** The answer of a target; a body that ends early emits an error, never a regular end. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Readable;
  readonly instanceId: string;
}

/** Picks targets, makes attempts and retries those that surely did not run. */
export abstract class Dispatcher {
  /** Resolves with the head of the answer. Rejects with `Refusal` and the true outcome. */
  abstract dispatch(request: DispatchRequest): Promise<TargetAnswer>;
}

export const DISPATCHER = capability<Dispatcher>('dispatch.dispatcher');
