/** Dispatches requests to the targets of the fleet, with retries. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../kernel/clock';
import type { Instance } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES, type Outcome } from '../model/result_code';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { refusalFor, withOutcome } from './attempt_refusal';
import type { AttemptFailure, AttemptResult, AttemptTransport } from './attempt_transport';
import { Dispatcher, type ResponseEnd, type DispatchRequest, type TargetResponse } from './dispatcher';
import type { DrainingTargetTracker } from './draining_target_tracker';
import { RetryBudget, decideRetry } from './retry_policy';
import type { Random } from './routing';
import type { TargetSelector } from './target_selector';
import { TargetWaiters } from './target_waiters';

/** Failures that say nothing about the target, or that only mark it as leaving. */
const FAILURES_NOT_OF_TARGET: ReadonlySet<AttemptFailure> = new Set([
  'refused',
  'deadline_before_send',
  'cancelled_before_send',
  'cancelled',
  'not_permitted',
]);

export interface FleetDispatcherOptions {
  readonly clock: Clock;
  readonly transport: AttemptTransport;
  readonly targets: TargetSelector;
  readonly drainingTracker: DrainingTargetTracker;
  readonly counters: Counters;
  readonly logger: Logger;
  readonly random: Random;
}

/** One request on its way through its attempts. */
interface Course {
  readonly request: DispatchRequest;
  readonly tried: ReadonlySet<string>;
  readonly attempts: number;
  /** Outcome of the attempts so far. */
  readonly outcome: Outcome;
}

export class FleetDispatcher extends Dispatcher {
  private readonly budget = new RetryBudget();
  private readonly waiters: TargetWaiters;

  constructor(private readonly options: FleetDispatcherOptions) {
    super();
    this.waiters = new TargetWaiters(options.clock);
  }

  override async dispatch(request: DispatchRequest): Promise<TargetResponse> {
    this.budget.addRequest();
    let course: Course = { request, tried: new Set(), attempts: 0, outcome: 'not_run' };
    for (;;) {
      const instance = await this.acquire(course);
      const result = await this.attemptAt(instance, request);
      course = follow(course, instance, result);
      if (result.kind === 'answered' && result.answer.status !== 503) return result.answer;
      const delayMs = this.retryDelayMs(course, result);
      if (delayMs === null) {
        if (result.kind === 'answered') return result.answer;
        throw refusalFor(result, course.outcome);
      }
      if (result.kind === 'answered') result.answer.body.destroy();
      await this.options.clock.delay(delayMs);
    }
  }

  private async acquire(course: Course): Promise<Instance> {
    const { clock, targets } = this.options;
    const { poolId, idempotent: isIdempotent, deadlineAtMs, signal } = course.request;
    for (;;) {
      const nowMs = clock.monotonicMs();
      if (signal.aborted) throw refuse('callerGone', course.outcome);
      if (nowMs >= deadlineAtMs) throw refuse('deadlineExceeded', course.outcome);
      const choice = targets.choose({ poolId, tried: course.tried, isIdempotent }, nowMs);
      if (choice.kind === 'none') throw refuse('noTarget', course.outcome);
      if (choice.kind === 'target') {
        targets.started(choice.instance.instanceId, nowMs);
        return choice.instance;
      }
      this.options.counters.increment('dispatch.waited');
      await this.waiters.wait(poolId, deadlineAtMs, signal);
    }
  }

  private async attemptAt(instance: Instance, request: DispatchRequest): Promise<AttemptResult> {
    const { transport, counters, logger } = this.options;
    const result = await transport.attempt(instance, { ...request, attemptId: randomUUID() });
    if (result.kind === 'answered') {
      void result.answer.ended.then((end) => {
        this.answerEnded(instance, request, result.answer.status, end);
      });
      return result;
    }
    const { outcome, reason } = result;
    counters.increment('attempts.failed', reason);
    logger.info(LOG_EVENTS.attemptFailed, { instanceId: instance.instanceId, reason, outcome });
    if (reason === 'refused') this.markRefused(instance);
    this.attemptEnded(instance, request, outcome === 'may_have_run');
    if (!FAILURES_NOT_OF_TARGET.has(reason)) this.record(instance, false);
    return result;
  }

  private answerEnded(instance: Instance, request: DispatchRequest, status: number, end: ResponseEnd): void {
    this.attemptEnded(instance, request, end !== 'complete');
    if (end !== 'abandoned') this.record(instance, end === 'complete' && status < 500);
  }

  /** Frees the connection; work that may go on at the target is counted until its deadline has passed. */
  private attemptEnded(instance: Instance, request: DispatchRequest, mayGoOn: boolean): void {
    const { clock, targets } = this.options;
    targets.finished(instance.instanceId);
    if (mayGoOn) {
      targets.adjustUncertain(instance.instanceId, 1);
      clock.schedule(Math.max(0, request.deadlineAtMs - clock.monotonicMs()), () => {
        targets.adjustUncertain(instance.instanceId, -1);
      });
    }
    this.waiters.wakeOne(request.poolId);
  }

  private record(instance: Instance, isSuccess: boolean): void {
    const { clock, targets, counters, logger } = this.options;
    if (!targets.recordResult(instance, isSuccess, clock.monotonicMs())) return;
    counters.increment('targets.ejected');
    logger.warn(LOG_EVENTS.targetEjected, { instanceId: instance.instanceId });
  }

  private markRefused(instance: Instance): void {
    const { clock, drainingTracker, counters, logger } = this.options;
    drainingTracker.recordRefusedConnection(instance.instanceId, clock.monotonicMs());
    counters.increment('targets.marked_leaving', 'refused');
    logger.warn(LOG_EVENTS.targetConnectionRefused, { instanceId: instance.instanceId });
  }

  /** Delay before the next attempt, `null` if there is none. */
  private retryDelayMs(course: Course, result: AttemptResult): number | null {
    const { clock, counters, random } = this.options;
    const reason = result.kind === 'answered' ? 'status' : result.reason;
    const decision = decideRetry({
      outcome: result.kind === 'answered' ? 'may_have_run' : result.outcome,
      reason,
      isIdempotent: course.request.idempotent,
      attempts: course.attempts,
      nowMs: clock.monotonicMs(),
      deadlineAtMs: course.request.deadlineAtMs,
      isBudgetAvailable: this.budget.isAvailable(),
      random: random(),
    });
    if (decision.kind === 'stop') {
      counters.increment('retries.not_made', decision.because);
      return null;
    }
    this.budget.spend();
    counters.increment('retries', reason);
    return decision.delayMs;
  }
}

function follow(course: Course, instance: Instance, result: AttemptResult): Course {
  const isNotRun = result.kind === 'failed' && result.outcome === 'not_run';
  return {
    ...course,
    tried: new Set([...course.tried, instance.instanceId]),
    attempts: course.attempts + 1,
    outcome: isNotRun ? course.outcome : 'may_have_run',
  };
}

function refuse(name: 'callerGone' | 'deadlineExceeded' | 'noTarget', outcome: Outcome): RequestError {
  const retryAfterS = name === 'noTarget' ? { retryAfterS: 1 } : {};
  return withOutcome(new RequestError(RESULT_CODES[name], { outcome: 'not_run', ...retryAfterS }), outcome);
}
