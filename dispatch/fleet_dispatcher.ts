/** Dispatches requests to the targets of the fleet, with retries. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../kernel/clock';
import type { Instance } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES, type Outcome } from '../model/result_code';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { requestErrorFor, withOutcome } from './attempt_error';
import type { FailureReason, AttemptResult, AttemptTransport } from './attempt_transport';
import { Dispatcher, type ResponseEnd, type DispatchRequest, type TargetResponse } from './dispatcher';
import type { DrainingTargetTracker } from './draining_target_tracker';
import { RetryBudget, decideRetry } from './retry_policy';
import type { Random } from './routing';
import type { TargetSelector } from './target_selector';
import { TargetWaitQueue } from './target_wait_queue';

/** Failures that do not count against the health of the target; `refused` marks it as draining instead. */
const FAILURES_NOT_CAUSED_BY_TARGET: ReadonlySet<FailureReason> = new Set([
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

/** A request and the attempts made for it so far. */
interface RequestProgress {
  readonly request: DispatchRequest;
  readonly triedInstanceIds: ReadonlySet<string>;
  readonly attempts: number;
  /** `not_run` if none of these attempts ran, otherwise `may_have_run`. */
  readonly outcome: Outcome;
}

export class FleetDispatcher extends Dispatcher {
  private readonly retryBudget = new RetryBudget();
  private readonly waitQueue: TargetWaitQueue;

  constructor(private readonly options: FleetDispatcherOptions) {
    super();
    this.waitQueue = new TargetWaitQueue(options.clock);
  }

  override async dispatch(request: DispatchRequest): Promise<TargetResponse> {
    this.retryBudget.recordRequest();
    let progress: RequestProgress = { request, triedInstanceIds: new Set(), attempts: 0, outcome: 'not_run' };
    for (;;) {
      const instance = await this.acquireTarget(progress);
      const result = await this.attemptAt(instance, request);
      progress = afterAttempt(progress, instance, result);
      if (result.kind === 'responded' && result.response.status !== 503) return result.response;
      const delayMs = this.retryDelayMs(progress, result);
      if (delayMs === null) {
        if (result.kind === 'responded') return result.response;
        throw requestErrorFor(result, progress.outcome);
      }
      if (result.kind === 'responded') result.response.body.destroy();
      await this.options.clock.delay(delayMs);
    }
  }

  private async acquireTarget(progress: RequestProgress): Promise<Instance> {
    const { clock, targets } = this.options;
    const { poolId, isIdempotent, deadlineAtMs, signal } = progress.request;
    for (;;) {
      const nowMs = clock.monotonicMs();
      if (signal.aborted) throw rejection('callerGone', progress.outcome);
      if (nowMs >= deadlineAtMs) throw rejection('deadlineExceeded', progress.outcome);
      const choice = targets.choose(
        { poolId, triedInstanceIds: progress.triedInstanceIds, isIdempotent },
        nowMs,
      );
      if (choice.kind === 'none') throw rejection('noTarget', progress.outcome);
      if (choice.kind === 'target') {
        targets.recordAttemptStart(choice.instance.instanceId, nowMs);
        return choice.instance;
      }
      this.options.counters.increment('dispatch.waited');
      await this.waitQueue.wait(poolId, deadlineAtMs, signal);
    }
  }

  private async attemptAt(instance: Instance, request: DispatchRequest): Promise<AttemptResult> {
    const { transport, counters, logger } = this.options;
    const result = await transport.attempt(instance, { ...request, attemptId: randomUUID() });
    if (result.kind === 'responded') {
      void result.response.ended.then((end) => {
        this.onResponseEnded(instance, request, result.response.status, end);
      });
      return result;
    }
    const { outcome, reason } = result;
    counters.increment('attempts.failed', reason);
    logger.info(LOG_EVENTS.attemptFailed, { instanceId: instance.instanceId, reason, outcome });
    if (reason === 'refused') this.recordRefusedConnection(instance);
    this.onAttemptEnded(instance, request, outcome === 'may_have_run');
    if (!FAILURES_NOT_CAUSED_BY_TARGET.has(reason)) this.recordResult(instance, false);
    return result;
  }

  private onResponseEnded(
    instance: Instance,
    request: DispatchRequest,
    status: number,
    end: ResponseEnd,
  ): void {
    this.onAttemptEnded(instance, request, end !== 'complete');
    if (end !== 'abandoned') this.recordResult(instance, end === 'complete' && status < 500);
  }

  /**
   * Frees the connection and wakes a waiting request. Work that may still run at the
   * target is counted until its deadline has passed.
   */
  private onAttemptEnded(instance: Instance, request: DispatchRequest, mayStillRun: boolean): void {
    const { clock, targets } = this.options;
    targets.recordAttemptEnd(instance.instanceId);
    if (mayStillRun) {
      targets.adjustPossiblyRunning(instance.instanceId, 1);
      clock.schedule(Math.max(0, request.deadlineAtMs - clock.monotonicMs()), () => {
        targets.adjustPossiblyRunning(instance.instanceId, -1);
      });
    }
    this.waitQueue.wakeOne(request.poolId);
  }

  private recordResult(instance: Instance, isSuccess: boolean): void {
    const { clock, targets, counters, logger } = this.options;
    if (!targets.recordResult(instance, isSuccess, clock.monotonicMs())) return;
    counters.increment('targets.ejected');
    logger.warn(LOG_EVENTS.targetEjected, { instanceId: instance.instanceId });
  }

  private recordRefusedConnection(instance: Instance): void {
    const { clock, drainingTracker, counters, logger } = this.options;
    drainingTracker.recordRefusedConnection(instance.instanceId, clock.monotonicMs());
    counters.increment('targets.marked_leaving', 'refused');
    logger.warn(LOG_EVENTS.targetConnectionRefused, { instanceId: instance.instanceId });
  }

  /** Returns the delay before the next attempt, `null` if the request is not retried. */
  private retryDelayMs(progress: RequestProgress, result: AttemptResult): number | null {
    const { clock, counters, random } = this.options;
    const reason = result.kind === 'responded' ? 'status' : result.reason;
    const decision = decideRetry({
      outcome: result.kind === 'responded' ? 'may_have_run' : result.outcome,
      reason,
      isIdempotent: progress.request.isIdempotent,
      attempts: progress.attempts,
      nowMs: clock.monotonicMs(),
      deadlineAtMs: progress.request.deadlineAtMs,
      isBudgetAvailable: this.retryBudget.isAvailable(),
      random: random(),
    });
    if (decision.kind === 'stop') {
      counters.increment('retries.not_made', decision.reason);
      return null;
    }
    this.retryBudget.spend();
    counters.increment('retries', reason);
    return decision.delayMs;
  }
}

function afterAttempt(progress: RequestProgress, instance: Instance, result: AttemptResult): RequestProgress {
  const isNotRun = result.kind === 'failed' && result.outcome === 'not_run';
  return {
    ...progress,
    triedInstanceIds: new Set([...progress.triedInstanceIds, instance.instanceId]),
    attempts: progress.attempts + 1,
    outcome: isNotRun ? progress.outcome : 'may_have_run',
  };
}

function rejection(name: 'callerGone' | 'deadlineExceeded' | 'noTarget', outcome: Outcome): RequestError {
  const retryAfterS = name === 'noTarget' ? { retryAfterS: 1 } : {};
  return withOutcome(new RequestError(RESULT_CODES[name], { outcome: 'not_run', ...retryAfterS }), outcome);
}
