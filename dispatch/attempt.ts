/** One attempt at one target over an undici dispatcher. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { Clock, Timer } from '../kernel/clock';
import type { Counters } from '../telemetry/counters';
import { AnswerBody } from './answer_body';
import { ATTEMPT_ID_HEADER, frameOf, isMismatched, saysNotRun } from './answer_check';
import { AnswerCutError, classifyFailure } from './attempt_failure';
import type { AttemptFailure, AttemptRequest, AttemptResult } from './attempt_transport';
import type { ResponseEnd, HttpHeaders } from './dispatcher';

export interface AttemptOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly instanceId: string;
  readonly request: AttemptRequest;
}

/**
 * Follows an attempt from before its first byte to the end of its answer.
 *
 * undici calls `onRequestStart` in the same turn in which it hands the first
 * byte to a connection. What is thrown there keeps the request off the wire
 * and the connection open, so that everything up to then surely did not run.
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
  private body: AnswerBody | null = null;
  private receivedBytes = 0;
  private expectedBytes: number | null = null;
  private hasEnded = false;
  private isCutByTarget = false;
  private timer: Timer | null = null;
  private settle: (result: AttemptResult) => void = () => undefined;
  private endAnswer: (end: ResponseEnd) => void = () => undefined;
  private readonly onAbort = (): void => {
    this.abandon('cancelled');
  };

  constructor(private readonly options: AttemptOptions) {}

  /** Starts the attempt; resolves with the head of the answer or with the failure. */
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
    // A second start would send the request again.
    if (this.isSettled || this.isSent) throw new AnswerCutError('The attempt has already ended.');
    const { clock, request } = this.options;
    if (clock.monotonicMs() >= request.deadlineAtMs) {
      this.abandon('deadline');
      throw new AnswerCutError('The deadline passed before the request was sent.');
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
    incoming: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    const { request, counters } = this.options;
    if (this.isSettled) {
      counters.increment('attempts.late_answer_dropped');
      controller.abort(new AnswerCutError('The answer came too late.'));
      return;
    }
    const headers = definedHeaders(incoming);
    const frame = frameOf(request.method, status, headers);
    if (isMismatched(headers, request.attemptId)) this.reject(controller, 'mismatch');
    else if (frame.kind === 'unverifiable') this.reject(controller, 'unverifiable');
    else if (saysNotRun(status, headers)) this.fail('rejected_by_target', headers['retry-after'], 'not_run');
    else this.answer(controller, status, headers, frame.lengthBytes);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // Without a body the answer was a rejection; its rest is read so that the connection stays usable.
    if (this.body === null) return;
    this.receivedBytes += chunk.byteLength;
    if (this.expectedBytes !== null && this.receivedBytes > this.expectedBytes) {
      controller.abort(new AnswerCutError('The answer is longer than stated.'));
      return;
    }
    this.body.append(chunk);
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    this.stopWatching();
    if (this.body === null) return;
    if (this.expectedBytes !== null && this.receivedBytes !== this.expectedBytes) {
      controller.abort(new AnswerCutError('The answer is shorter than stated.'));
      this.cut(new AnswerCutError('The answer is shorter than stated.'));
      return;
    }
    this.hasEnded = true;
    this.body.push(null);
    this.endAnswer('complete');
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.body !== null) this.cut(error);
    else this.fail(classifyFailure(error, this.isSent), error);
  }

  private answer(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HttpHeaders,
    lengthBytes: number | null,
  ): void {
    const { instanceId, request } = this.options;
    const ended = new Promise<ResponseEnd>((resolve) => {
      this.endAnswer = resolve;
    });
    this.expectedBytes = lengthBytes;
    this.isSettled = true;
    const body = new AnswerBody({
      controller,
      onDestroyed: () => {
        this.bodyDestroyed(controller);
      },
    });
    // The error also reaches the reader; without a listener an answer that nobody reads would end the process.
    body.on('error', () => undefined);
    this.body = body;
    this.timer?.cancel();
    this.armTimer(request.bodyDeadlineAtMs, 'deadline');
    this.settle({ kind: 'answered', answer: { status, headers, body, instanceId, ended } });
  }

  /** The connection can no longer be trusted to carry the answers of its requests. */
  private reject(controller: Dispatcher.DispatchController, reason: AttemptFailure): void {
    const error = new AnswerCutError(`The answer was rejected (${reason}).`);
    this.fail(reason, error);
    controller.abort(error);
  }

  private abandon(reason: 'deadline' | 'cancelled'): void {
    const error = new AnswerCutError(`The attempt was given up (${reason}).`);
    if (this.body !== null) {
      this.body.destroy(error);
      return;
    }
    this.fail(this.isSent ? reason : `${reason}_before_send`, error);
    this.controller?.abort(error);
  }

  private cut(error: Error): void {
    if (this.hasEnded) return;
    this.isCutByTarget = true;
    this.body?.destroy(error);
  }

  private bodyDestroyed(controller: Dispatcher.DispatchController): void {
    this.stopWatching();
    if (this.hasEnded) return;
    this.hasEnded = true;
    controller.abort(new AnswerCutError('The answer was given up.'));
    const end = this.isCutByTarget ? 'cut' : 'abandoned';
    this.options.counters.increment('attempts.answer_incomplete', end);
    this.endAnswer(end);
  }

  private fail(
    reason: AttemptFailure,
    cause: unknown,
    outcome: 'not_run' | 'may_have_run' = this.isSent ? 'may_have_run' : 'not_run',
  ): void {
    if (this.isSettled) return;
    this.isSettled = true;
    // A rejection that is still being read keeps its timer, so that a stuck connection is not kept.
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
    const leftMs = Math.max(1, Math.ceil(request.deadlineAtMs - clock.monotonicMs()));
    return {
      method: request.method,
      path: request.path,
      headers: {
        ...mutableHeaders(request.headers),
        [ATTEMPT_ID_HEADER]: request.attemptId,
        'endivestand-request-id': request.requestId,
        'endivestand-deadline-ms': String(leftMs),
      },
      body: request.body,
      // Deadlines are measured on the kernel's clock.
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
