/** The way of one request from authorization to the target's answer, independent of the front end. */
import { randomUUID } from 'node:crypto';
import type { Readable } from 'node:stream';
import { capability } from '../kernel/capability';
import { authorize } from '../admission/authorize';
import type { Admission, AdmissionGate } from '../admission/admission_gate';
import type { ConfigurationService } from '../config/configuration_service';
import type { DispatchRequest, Dispatcher, Headers, TargetAnswer } from '../dispatch/dispatcher';
import type { Clock } from '../kernel/clock';
import type { Priority, Queue } from '../model/fleet';
import { Refusal } from '../model/refusal';
import { RESULT_CODES } from '../model/result_code';

export const REQUEST_FLOW = capability<RequestFlow>('entry.request_flow');

/** Methods that may be repeated without further effect (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE']);

/** A request as a front end has decoded it. */
export interface CallerRequest {
  readonly queueId: string;
  readonly key: string | null;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Buffer | null;
  readonly idempotencyKey: string | null;
  /** Time the caller is willing to wait, in milliseconds; `null` takes the queue's. */
  readonly deadlineMs: number | null;
  readonly priority: Priority | null;
  readonly signal: AbortSignal;
}

export interface CallerAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Readable;
}

export interface RequestFlowOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationService;
  readonly admission: AdmissionGate;
  readonly dispatcher: Dispatcher;
}

export class RequestFlow {
  private inFlight = 0;
  private closed = false;
  private readonly idleWaiters: (() => void)[] = [];

  constructor(private readonly options: RequestFlowOptions) {}

  /** Runs a request. Rejects with `Refusal` and the true outcome. */
  async handle(request: CallerRequest): Promise<CallerAnswer> {
    if (this.closed) throw new Refusal(RESULT_CODES.shuttingDown, { outcome: 'not_run', retryAfterS: 0 });
    this.inFlight += 1;
    try {
      const answer = await this.run(request);
      answer.body.once('close', () => {
        this.ended();
      });
      return answer;
    } catch (error) {
      this.ended();
      throw error;
    }
  }

  /** Refuses new requests and resolves once those in flight have ended. */
  close(): Promise<void> {
    this.closed = true;
    if (this.inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.push(resolve);
    });
  }

  private async run(request: CallerRequest): Promise<TargetAnswer> {
    const { clock, configuration, admission } = this.options;
    this.requireFresh();
    const { queue, teamId } = authorize(configuration.fleet(), request.queueId, request.key);
    const requestId = randomUUID();
    const deadlineMs = Math.min(request.deadlineMs ?? queue.deadlineMs, queue.deadlineMs);
    const deadlineAtMs = clock.monotonicMs() + deadlineMs;
    const priority = request.priority ?? queue.priority;
    const { signal } = request;
    const admitted = await admission.admit({ requestId, teamId, queue, priority, deadlineAtMs, signal });
    return this.dispatchAdmitted(admitted, request, this.toDispatch(request, requestId, queue, deadlineAtMs));
  }

  private async dispatchAdmitted(
    admitted: Admission,
    request: CallerRequest,
    dispatch: DispatchRequest,
  ): Promise<TargetAnswer> {
    try {
      // The configuration may have changed while the request waited: the key and the evidence are checked again.
      this.requireFresh();
      authorize(this.options.configuration.fleet(), request.queueId, request.key);
      const answer = await this.options.dispatcher.dispatch(dispatch);
      answer.body.once('close', () => {
        admitted.release();
      });
      return answer;
    } catch (error) {
      admitted.release();
      throw error;
    }
  }

  private toDispatch(
    request: CallerRequest,
    requestId: string,
    queue: Queue,
    deadlineAtMs: number,
  ): DispatchRequest {
    return {
      requestId,
      poolId: queue.poolId,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      idempotent: queue.idempotent || IDEMPOTENT_METHODS.has(request.method),
      deadlineAtMs,
      signal: request.signal,
    };
  }

  private requireFresh(): void {
    if (this.options.configuration.isFresh()) return;
    throw new Refusal(RESULT_CODES.staleConfiguration, { outcome: 'not_run', retryAfterS: 1 });
  }

  private ended(): void {
    this.inFlight -= 1;
    if (this.inFlight > 0) return;
    for (const resolve of this.idleWaiters.splice(0)) resolve();
  }
}
