/** The way of one request from authorization to the target's answer, independent of the front end. */
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
import { Activity } from './activity';
import { recordAnswer } from './answer_recorder';

export const REQUEST_FLOW = capability<RequestFlow>('entry.request_flow');

/** Methods that may be repeated without further effect (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE']);

/** A target may notice the deadline it was told this much later, in milliseconds. */
const DEADLINE_SLACK_MS = 250;

/** Longest wait for a configuration that is being loaded, in milliseconds. */
const FRESHNESS_WAIT_MS = 500;

/** Times that a request is dispatched when newer heads keep arriving. */
const FRESHNESS_ATTEMPTS = 3;

/** Header on an answer that was recorded for an earlier request with the same key. */
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
  /** Time the caller is willing to wait, in milliseconds; `null` takes the queue's. */
  readonly deadlineMs: number | null;
  readonly priority: Priority | null;
  /** Aborted when the caller is gone. */
  readonly signal: AbortSignal;
}

export interface CallerAnswer {
  readonly status: number;
  readonly headers: HttpHeaders;
  /** Emits an error if the answer is incomplete: the front end must not end it regularly then. */
  readonly body: Readable;
}

export interface RequestFlowOptions {
  readonly clock: Clock;
  readonly configuration: Pick<ConfigurationService, 'fleet' | 'isFresh' | 'untilFresh'>;
  readonly admission: AdmissionGate;
  readonly dispatcher: Dispatcher;
  readonly claims: Claims;
}

/** A request with what was derived from it on arrival. */
interface Work {
  readonly request: CallerRequest;
  readonly requestId: string;
  readonly queue: Queue;
  readonly teamId: string | null;
  readonly idempotent: boolean;
  readonly deadlineAtMs: number;
  readonly bodyDeadlineAtMs: number;
}

/**
 * Takes requests from authorization to the answer.
 *
 * @example
 * ```ts
 * const answer = await flow.handle(request);
 * pipeline(answer.body, response, () => undefined);
 * ```
 */
export class RequestFlow {
  private isClosed = false;
  private readonly activity = new Activity();

  constructor(private readonly options: RequestFlowOptions) {}

  /** Runs a request. Rejects with `RequestError` and the true outcome. */
  async handle(request: CallerRequest): Promise<CallerAnswer> {
    if (this.isClosed)
      throw new RequestError(RESULT_CODES.shuttingDown, { outcome: 'not_run', retryAfterS: 0 });
    const end = this.activity.begin();
    try {
      await this.options.configuration.untilFresh(FRESHNESS_WAIT_MS);
      const work = this.accept(request);
      const answer = await this.run(work);
      this.limitTime(work, answer.body);
      answer.body.once('close', end);
      return answer;
    } catch (error) {
      end();
      throw error;
    }
  }

  /**
   * Refuses new requests and resolves once those in flight have ended: their
   * callers have read the answers, and nothing can be running at a target.
   */
  close(): Promise<void> {
    this.isClosed = true;
    return this.activity.idle();
  }

  private accept(request: CallerRequest): Work {
    const { clock, configuration } = this.options;
    this.requireFresh();
    const { queue, teamId } = authorize(configuration.fleet(), request.queueId, request.key);
    const nowMs = clock.monotonicMs();
    const idempotent = queue.idempotent || IDEMPOTENT_METHODS.has(request.method);
    const deadlineAtMs = nowMs + Math.min(request.deadlineMs ?? queue.deadlineMs, queue.deadlineMs);
    const bodyDeadlineAtMs = nowMs + MAX_WORK_MS;
    return { request, requestId: randomUUID(), queue, teamId, idempotent, deadlineAtMs, bodyDeadlineAtMs };
  }

  private async run(work: Work): Promise<CallerAnswer> {
    const { requestId, teamId, queue, deadlineAtMs, request } = work;
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
    const end = this.activity.begin();
    const admission: Admission = {
      release: () => {
        admitted.release();
        end();
      },
    };
    const { idempotencyKey } = request;
    if (work.idempotent || idempotencyKey === null) return this.dispatch(work, admission, signal);
    return this.dispatchClaimed(work, admission, idempotencyKey);
  }

  private async dispatchClaimed(
    work: Work,
    admission: Admission,
    idempotencyKey: string,
  ): Promise<CallerAnswer> {
    const result = await this.claim(work, idempotencyKey).catch((error: unknown) => {
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
      // A request that has begun is followed to its end, so that its answer can be recorded.
      const answer = await this.dispatch(work, admission, new AbortController().signal);
      return { ...answer, body: recordAnswer(answer, claim) };
    } catch (error) {
      settleClaim(claim, error);
      throw error;
    }
  }

  private claim(work: Work, idempotencyKey: string): Promise<ClaimResult> {
    const { request, teamId, deadlineAtMs } = work;
    const { signal } = request;
    const fingerprint = fingerprintOf(request);
    return this.options.claims.claim({ teamId, idempotencyKey, fingerprint, deadlineAtMs, signal });
  }

  private async dispatch(work: Work, admission: Admission, signal: AbortSignal): Promise<TargetResponse> {
    try {
      const answer = await this.dispatchWhenFresh(work, signal);
      void answer.ended.then((end) => {
        this.release(admission, work, end !== 'complete');
      });
      return answer;
    } catch (error) {
      this.release(admission, work, !(error instanceof RequestError) || error.outcome !== 'not_run');
      throw error;
    }
  }

  /** A newer head that arrives between the check and the first byte only delays the request. */
  private async dispatchWhenFresh(work: Work, signal: AbortSignal): Promise<TargetResponse> {
    for (let attempt = 1; ; attempt += 1) {
      await this.options.configuration.untilFresh(FRESHNESS_WAIT_MS);
      // The configuration may have changed while the request waited.
      this.requirePermission(work);
      try {
        return await this.options.dispatcher.dispatch(this.toDispatch(work, signal));
      } catch (error) {
        if (attempt >= FRESHNESS_ATTEMPTS || !isStaleBeforeSend(error)) throw error;
      }
    }
  }

  /** Work that may go on at a target occupies the team's limit until the deadline that the target was told. */
  private release(admission: Admission, work: Work, mayGoOn: boolean): void {
    const { clock } = this.options;
    const leftMs = work.deadlineAtMs + DEADLINE_SLACK_MS - clock.monotonicMs();
    if (!mayGoOn || leftMs <= 0) admission.release();
    else
      clock.schedule(leftMs, () => {
        admission.release();
      });
  }

  /** A caller that does not take its answer must not keep the instance from stopping. */
  private limitTime(work: Work, body: Readable): void {
    const { clock } = this.options;
    const timer = clock.schedule(Math.max(0, work.bodyDeadlineAtMs - clock.monotonicMs()), () => {
      body.destroy(new Error('The answer was not taken in time.'));
    });
    body.once('close', () => {
      timer.cancel();
    });
  }

  private toDispatch(work: Work, signal: AbortSignal): DispatchRequest {
    const { request, requestId, queue, idempotent, deadlineAtMs, bodyDeadlineAtMs } = work;
    const { method, path, headers, body } = request;
    const beforeSend = (): void => {
      this.requirePermission(work);
    };
    return {
      requestId,
      poolId: queue.poolId,
      method,
      path,
      headers,
      body,
      idempotent,
      deadlineAtMs,
      bodyDeadlineAtMs,
      signal,
      beforeSend,
    };
  }

  /** Whether the request may still be sent, as of this turn. */
  private requirePermission({ request }: Work): void {
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
