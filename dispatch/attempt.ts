/** One attempt at one target over an undici dispatcher. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { Clock, Timer } from '../kernel/clock';
import type { Counters } from '../telemetry/counters';
import { ResponseBody } from './response_body';
import { ATTEMPT_ID_HEADER, framingOf, hasOtherAttemptId, isNotRunResponse } from './response_check';
import { AttemptAbortedError, classifyFailure } from './attempt_failure';
import type { FailureReason, AttemptRequest, AttemptResult } from './attempt_transport';
import type { ResponseEnd, HttpHeaders } from './dispatcher';

export interface AttemptOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly instanceId: string;
  readonly request: AttemptRequest;
}

/**
 * One attempt, from before its first byte to the end of its response.
 *
 * undici calls `onRequestStart` in the same event-loop turn in which it passes
 * the first byte to a connection. An error thrown there prevents the request
 * from being sent and keeps the connection open, so an attempt that fails until
 * the end of that call did not run.
 *
 * @example
 * ```ts
 * const result = await new Attempt({ clock, counters, instanceId, request }).run(pool);
 * ```
 */
export class Attempt implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | null = null;
  private isSent = false;
  private isSettled = false;
  private body: ResponseBody | null = null;
  private receivedBytes = 0;
  private expectedBytes: number | null = null;
  private hasEnded = false;
  private isCutByTarget = false;
  private timer: Timer | null = null;
  private settle: (result: AttemptResult) => void = () => undefined;
  private resolveEnded: (end: ResponseEnd) => void = () => undefined;
  private readonly onAbort = (): void => {
    this.abandon('cancelled');
  };

  constructor(private readonly options: AttemptOptions) {}

  /** Starts the attempt; resolves with the head of the response or with the failure. */
  run(dispatcher: Dispatcher): Promise<AttemptResult> {
    const { request } = this.options;
    return new Promise((resolve) => {
      this.settle = resolve;
      if (request.signal.aborted) {
        this.abandon('cancelled');
        return;
      }
      request.signal.addEventListener('abort', this.onAbort, { once: true });
      this.armTimer(request.deadlineAtMs, 'deadline');
      try {
        dispatcher.dispatch(this.dispatchOptions(), this);
      } catch (error) {
        this.fail(classifyFailure(error, this.isSent), error);
      }
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A second start would send the request twice.
    if (this.isSettled || this.isSent) throw new AttemptAbortedError('The attempt has already ended.');
    const { clock, request } = this.options;
    if (clock.monotonicMs() >= request.deadlineAtMs) {
      this.abandon('deadline');
      throw new AttemptAbortedError('The deadline passed before the request was sent.');
    }
    try {
      request.beforeSend();
    } catch (error) {
      this.fail('not_permitted', error);
      throw error;
    }
    this.controller = controller;
    this.isSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    incomingHeaders: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    const { request, counters } = this.options;
    if (this.isSettled) {
      counters.increment('attempts.late_answer_dropped');
      controller.abort(new AttemptAbortedError('The response arrived after the attempt had ended.'));
      return;
    }
    const headers = definedHeaders(incomingHeaders);
    const framing = framingOf(request.method, status, headers);
    if (hasOtherAttemptId(headers, request.attemptId)) this.rejectResponse(controller, 'mismatch');
    else if (framing.kind === 'unverifiable') this.rejectResponse(controller, 'unverifiable');
    else if (isNotRunResponse(status, headers))
      this.fail('rejected_by_target', headers['retry-after'], 'not_run');
    else this.startResponse(controller, status, headers, framing.lengthBytes);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // There is no `body` for a rejection. Its response is read to the end so that the connection stays usable.
    if (this.body === null) return;
    this.receivedBytes += chunk.byteLength;
    if (this.expectedBytes !== null && this.receivedBytes > this.expectedBytes) {
      controller.abort(new AttemptAbortedError('The response is longer than its content-length.'));
      return;
    }
    this.body.append(chunk);
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    this.stopWatching();
    if (this.body === null) return;
    if (this.expectedBytes !== null && this.receivedBytes !== this.expectedBytes) {
      controller.abort(new AttemptAbortedError('The response is shorter than its content-length.'));
      this.cutResponse(new AttemptAbortedError('The response is shorter than its content-length.'));
      return;
    }
    this.hasEnded = true;
    this.body.push(null);
    this.resolveEnded('complete');
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.body !== null) this.cutResponse(error);
    else this.fail(classifyFailure(error, this.isSent), error);
  }

  private startResponse(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpHeaders,
    lengthBytes: number | null,
  ): void {
    const { instanceId, request } = this.options;
    const ended = new Promise<ResponseEnd>((resolve) => {
      this.resolveEnded = resolve;
    });
    this.expectedBytes = lengthBytes;
    this.isSettled = true;
    const body = new ResponseBody({
      controller,
      onDestroyed: () => {
        this.onBodyDestroyed(controller);
      },
    });
    // The reader also gets the error. Without this listener, an error in an unread response would end the process.
    body.on('error', () => undefined);
    this.body = body;
    this.timer?.cancel();
    this.armTimer(request.bodyDeadlineAtMs, 'deadline');
    this.settle({ kind: 'responded', response: { status, headers, body, instanceId, ended } });
  }

  /** Fails the attempt and closes its connection, which may assign later responses to the wrong requests. */
  private rejectResponse(controller: Dispatcher.DispatchController, reason: FailureReason): void {
    const error = new AttemptAbortedError(`The response was rejected (${reason}).`);
    this.fail(reason, error);
    controller.abort(error);
  }

  private abandon(reason: 'deadline' | 'cancelled'): void {
    const error = new AttemptAbortedError(`The attempt was abandoned (${reason}).`);
    if (this.body !== null) {
      this.body.destroy(error);
      return;
    }
    this.fail(this.isSent ? reason : `${reason}_before_send`, error);
    this.controller?.abort(error);
  }

  private cutResponse(error: Error): void {
    if (this.hasEnded) return;
    this.isCutByTarget = true;
    this.body?.destroy(error);
  }

  private onBodyDestroyed(controller: Dispatcher.DispatchController): void {
    this.stopWatching();
    if (this.hasEnded) return;
    this.hasEnded = true;
    controller.abort(new AttemptAbortedError('The response was abandoned.'));
    const end = this.isCutByTarget ? 'cut' : 'abandoned';
    this.options.counters.increment('attempts.answer_incomplete', end);
    this.resolveEnded(end);
  }

  private fail(
    reason: FailureReason,
    cause: unknown,
    outcome: 'not_run' | 'may_have_run' = this.isSent ? 'may_have_run' : 'not_run',
  ): void {
    if (this.isSettled) return;
    this.isSettled = true;
    // The timer stays while a rejection is still being read, so that a stalled connection is closed.
    if (reason !== 'rejected_by_target') this.stopWatching();
    this.settle({ kind: 'failed', outcome, reason, cause });
  }

  private armTimer(atMs: number, reason: 'deadline'): void {
    const { clock } = this.options;
    this.timer = clock.schedule(Math.max(0, atMs - clock.monotonicMs()), () => {
      this.abandon(reason);
    });
  }

  private stopWatching(): void {
    this.timer?.cancel();
    this.options.request.signal.removeEventListener('abort', this.onAbort);
  }

  private dispatchOptions(): Dispatcher.DispatchOptions {
    const { clock, request } = this.options;
    const remainingMs = Math.max(1, Math.ceil(request.deadlineAtMs - clock.monotonicMs()));
    return {
      method: request.method,
      path: request.path,
      headers: {
        ...mutableHeaders(request.headers),
        [ATTEMPT_ID_HEADER]: request.attemptId,
        'endivestand-request-id': request.requestId,
        'endivestand-deadline-ms': String(remainingMs),
      },
      body: request.body,
      // The attempt has its own timers, on the clock of the kernel.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }
}

function mutableHeaders(headers: HttpHeaders): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, typeof value === 'string' ? value : [...value]]),
  );
}

function definedHeaders(headers: IncomingHttpHeaders): HttpHeaders {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) => (value === undefined ? [] : [[name, value]])),
  );
}
