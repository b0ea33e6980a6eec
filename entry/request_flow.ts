/** Processes a request from authorization to the target's response, independent of the front end. */
import { randomUUID } from 'node:crypto';
import { Readable } from 'node:stream';
import type { Admission, AdmissionGate } from '../admission/admission_gate';
import { authorize } from '../admission/authorize';
import type { ConfigurationService } from '../config/configuration_service';
import { fingerprintOf } from '../dispatch/claim_record';
import type { ClaimResult, Claims, HeldClaim } from '../dispatch/claims';
import type { DispatchRequest, Dispatcher, HttpHeaders, TargetResponse } from '../dispatch/dispatcher';
import { capability } from '../kernel/capability';
import type { Clock } from '../kernel/clock';
import { MAX_WORK_MS } from '../membership/membership';
import type { Priority, Queue } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { InProgressCounter } from './in_progress_counter';
import { recordResponse } from './response_recorder';

export const REQUEST_FLOW = capability<RequestFlow>('entry.request_flow');

/** Methods that RFC 9110, section 9.2.2, defines as idempotent. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE']);

/**
 * Time after a request's deadline for which its target may still work on it before
 * it notices the deadline, in milliseconds.
 */
const TARGET_DEADLINE_SLACK_MS = 250;

/** Maximum time for which a request waits until the newest configuration is loaded, in milliseconds. */
const FRESHNESS_WAIT_MS = 500;

/** Maximum number of times that a request is dispatched while newer configurations keep arriving. */
const MAX_DISPATCH_ATTEMPTS = 3;

/** Header on a response that was recorded for an earlier request with the same idempotency key. */
const REPLAYED_HEADER = 'endivestand-replayed';

/** A request as a front end has decoded it. */
export interface CallerRequest {
  readonly queueId: string;
  readonly key: string | null;
  readonly method: string;
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body: Buffer | null;
  readonly idempotencyKey: string | null;
  /** How long the caller waits, in milliseconds; `null` stands for the queue's deadline. */
  readonly deadlineMs: number | null;
  readonly priority: Priority | null;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

export interface CallerResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  /** Emits an error if the response is incomplete: the front end must not end it as if it were complete. */
  readonly body: Readable;
}

export interface RequestFlowOptions {
  readonly clock: Clock;
  readonly configuration: Pick<ConfigurationService, 'fleet' | 'isFresh' | 'untilFresh'>;
  readonly admission: AdmissionGate;
  readonly dispatcher: Dispatcher;
  readonly claims: Claims;
}

/** A request with the values that were derived from it on arrival. */
interface AcceptedRequest {
  readonly request: CallerRequest;
  readonly requestId: string;
  readonly queue: Queue;
  readonly teamId: string | null;
  readonly isIdempotent: boolean;
  readonly deadlineAtMs: number;
  readonly bodyDeadlineAtMs: number;
}

/**
 * Authorizes, admits and dispatches requests.
 *
 * @example
 * ```ts
 * const { body } = await flow.handle(request);
 * pipeline(body, outgoing, () => undefined);
 * ```
 */
export class RequestFlow {
  private isClosed = false;
  private readonly inProgress = new InProgressCounter();

  constructor(private readonly options: RequestFlowOptions) {}

  /** Processes a request. Rejects with `RequestError`, whose outcome states whether the request may have run. */
  async handle(request: CallerRequest): Promise<CallerResponse> {
    if (this.isClosed)
      throw new RequestError(RESULT_CODES.shuttingDown, { outcome: 'not_run', retryAfterS: 0 });
    const endRequest = this.inProgress.begin();
    try {
      await this.options.configuration.untilFresh(FRESHNESS_WAIT_MS);
      const accepted = this.accept(request);
      const response = await this.run(accepted);
      this.enforceBodyDeadline(accepted, response.body);
      response.body.once('close', endRequest);
      return response;
    } catch (error) {
      endRequest();
      throw error;
    }
  }

  /**
   * Rejects new requests and resolves once those in flight have ended: their
   * callers have read the responses, and nothing can be running at a target.
   */
  close(): Promise<void> {
    this.isClosed = true;
    return this.inProgress.whenIdle();
  }

  private accept(request: CallerRequest): AcceptedRequest {
    const { clock, configuration } = this.options;
    this.requireFresh();
    const { queue, teamId } = authorize(configuration.fleet(), request.queueId, request.key);
    const nowMs = clock.monotonicMs();
    const isIdempotent = queue.idempotent || IDEMPOTENT_METHODS.has(request.method);
    const deadlineAtMs = nowMs + Math.min(request.deadlineMs ?? queue.deadlineMs, queue.deadlineMs);
    const bodyDeadlineAtMs = nowMs + MAX_WORK_MS;
    return { request, requestId: randomUUID(), queue, teamId, isIdempotent, deadlineAtMs, bodyDeadlineAtMs };
  }

  private async run(accepted: AcceptedRequest): Promise<CallerResponse> {
    const { requestId, teamId, queue, deadlineAtMs, request } = accepted;
    const priority = request.priority ?? queue.priority;
    const { signal } = request;
    const admitted = await this.options.admission.admit({
      requestId,
      teamId,
      queue,
      priority,
      deadlineAtMs,
      signal,
    });
    const endDispatch = this.inProgress.begin();
    const admission: Admission = {
      release: () => {
        admitted.release();
        endDispatch();
      },
    };
    const { idempotencyKey } = request;
    if (accepted.isIdempotent || idempotencyKey === null) return this.dispatch(accepted, admission, signal);
    return this.dispatchClaimed(accepted, admission, idempotencyKey);
  }

  private async dispatchClaimed(
    accepted: AcceptedRequest,
    admission: Admission,
    idempotencyKey: string,
  ): Promise<CallerResponse> {
    const result = await this.claim(accepted, idempotencyKey).catch((error: unknown) => {
      admission.release();
      throw error;
    });
    if (result.kind === 'replay') {
      admission.release();
      const { status, headers, body } = result.response;
      return { status, headers: { ...headers, [REPLAYED_HEADER]: 'true' }, body: Readable.from([body]) };
    }
    const { claim } = result;
    try {
      // The caller's signal is not passed on: the request completes without it, so that its response can be recorded.
      const response = await this.dispatch(accepted, admission, new AbortController().signal);
      return { ...response, body: recordResponse(response, claim) };
    } catch (error) {
      settleClaim(claim, error);
      throw error;
    }
  }

  private claim(accepted: AcceptedRequest, idempotencyKey: string): Promise<ClaimResult> {
    const { request, teamId, deadlineAtMs } = accepted;
    const { signal } = request;
    const fingerprint = fingerprintOf(request);
    return this.options.claims.claim({ teamId, idempotencyKey, fingerprint, deadlineAtMs, signal });
  }

  private async dispatch(
    accepted: AcceptedRequest,
    admission: Admission,
    signal: AbortSignal,
  ): Promise<TargetResponse> {
    try {
      const response = await this.dispatchWhenFresh(accepted, signal);
      void response.ended.then((responseEnd) => {
        this.release(admission, accepted, responseEnd !== 'complete');
      });
      return response;
    } catch (error) {
      this.release(admission, accepted, !(error instanceof RequestError) || error.outcome !== 'not_run');
      throw error;
    }
  }

  /**
   * Dispatches a request. Tries again if a newer configuration arrives after the
   * check and before the first byte is sent, so that the request is only delayed.
   */
  private async dispatchWhenFresh(accepted: AcceptedRequest, signal: AbortSignal): Promise<TargetResponse> {
    for (let attempt = 1; ; attempt += 1) {
      await this.options.configuration.untilFresh(FRESHNESS_WAIT_MS);
      // The configuration may have changed while the request waited.
      this.requireStillAllowed(accepted);
      try {
        return await this.options.dispatcher.dispatch(this.toDispatchRequest(accepted, signal));
      } catch (error) {
        if (attempt >= MAX_DISPATCH_ATTEMPTS || !isStaleBeforeSend(error)) throw error;
      }
    }
  }

  /**
   * Releases an admission. A request that may still be running at a target counts
   * against the team's limit until the deadline that was sent to the target.
   */
  private release(admission: Admission, accepted: AcceptedRequest, mayStillRun: boolean): void {
    const { clock } = this.options;
    const remainingMs = accepted.deadlineAtMs + TARGET_DEADLINE_SLACK_MS - clock.monotonicMs();
    if (!mayStillRun || remainingMs <= 0) admission.release();
    else
      clock.schedule(remainingMs, () => {
        admission.release();
      });
  }

  /**
   * Destroys a response body that is not read by its deadline, so that a slow caller
   * cannot keep the instance from stopping.
   */
  private enforceBodyDeadline(accepted: AcceptedRequest, body: Readable): void {
    const { clock } = this.options;
    const timer = clock.schedule(Math.max(0, accepted.bodyDeadlineAtMs - clock.monotonicMs()), () => {
      body.destroy(new Error('The response was not read in time.'));
    });
    body.once('close', () => {
      timer.cancel();
    });
  }

  private toDispatchRequest(accepted: AcceptedRequest, signal: AbortSignal): DispatchRequest {
    const { request, requestId, queue, isIdempotent, deadlineAtMs, bodyDeadlineAtMs } = accepted;
    const { method, path, headers, body } = request;
    const beforeSend = (): void => {
      this.requireStillAllowed(accepted);
    };
    return {
      requestId,
      poolId: queue.poolId,
      method,
      path,
      headers,
      body,
      isIdempotent,
      deadlineAtMs,
      bodyDeadlineAtMs,
      signal,
      beforeSend,
    };
  }

  /** Throws unless the request may be sent in this event-loop turn. */
  private requireStillAllowed({ request }: AcceptedRequest): void {
    if (request.signal.aborted) throw new RequestError(RESULT_CODES.callerGone, { outcome: 'not_run' });
    this.requireFresh();
    authorize(this.options.configuration.fleet(), request.queueId, request.key);
  }

  private requireFresh(): void {
    if (this.options.configuration.isFresh()) return;
    throw new RequestError(RESULT_CODES.staleConfiguration, { outcome: 'not_run', retryAfterS: 1 });
  }
}

function settleClaim(claim: HeldClaim, error: unknown): void {
  if (error instanceof RequestError && error.outcome === 'not_run') claim.release();
  else claim.markOutcomeUnknown();
}

function isStaleBeforeSend(error: unknown): boolean {
  return (
    error instanceof RequestError &&
    error.result === RESULT_CODES.staleConfiguration &&
    error.outcome === 'not_run'
  );
}
