/**
 * Requests the permissions (tickets) that a queue's policy requires to run a step on a
 * worker, and caches the valid ones.
 */
import type { Clock } from '../kernel/clock';
import type { AdviceRule } from '../scheduling/fleet_rules';
import { AdviceUnavailableError, type PlacementAdvice, type StepId } from '../scheduling/placement_advice';
import type { Counters } from '../telemetry/counters';

/**
 * Maximum number of workers in one request. The latency targets of jobs leave time for
 * one request of this size.
 */
const MAX_WORKERS_PER_REQUEST = 30;

/** Maximum number of requests in flight. The service handles one at a time and rejects requests beyond 32. */
const MAX_CONCURRENT_REQUESTS = 8;

/**
 * A ticket is no longer used once less than this time, in milliseconds, is left before
 * it expires, because a start takes a transaction and a command.
 */
const EXPIRY_MARGIN_MS = 400;

/** Added to the expected response time to get the timeout, in milliseconds. */
const RESPONSE_SLACK_MS = 1_500;

/** Pause before a failed request is repeated, in milliseconds. */
const RETRY_MS = 300;

/** One response for a step. */
interface CachedResponse {
  /** Workers that the request named, without those that have been discarded since. */
  readonly workerIds: ReadonlySet<string>;
  readonly tickets: ReadonlyMap<string, string>;
  /** Monotonic time until which the tickets are used, in milliseconds. */
  readonly untilMs: number;
}

export interface AdviceCacheOptions {
  readonly clock: Clock;
  readonly advice: PlacementAdvice | null;
  readonly counters: Counters;
  /** Called after each request, when a response has arrived or the pause after a failure is over. */
  readonly onResponse: () => void;
}

export class AdviceCache {
  private readonly responses = new Map<string, readonly CachedResponse[]>();
  private readonly stepsInFlight = new Set<string>();

  constructor(private readonly options: AdviceCacheOptions) {}

  /**
   * Usable tickets of a step, by worker. Also sends a request for some of the
   * workers that no valid response covers. Planning passes call it repeatedly
   * while the step waits, so that requests cover all workers in the end.
   */
  tickets(step: StepId, rule: AdviceRule, workerIds: readonly string[]): ReadonlyMap<string, string> {
    const key = stepKey(step);
    const nowMs = this.options.clock.monotonicMs();
    const valid = (this.responses.get(key) ?? []).filter(({ untilMs }) => nowMs < untilMs);
    if (valid.length > 0) this.responses.set(key, valid);
    else this.responses.delete(key);
    const uncovered = workerIds.filter(
      (workerId) => !valid.some((response) => response.workerIds.has(workerId)),
    );
    void this.request(key, step, rule, uncovered.slice(0, MAX_WORKERS_PER_REQUEST));
    return new Map(valid.flatMap(({ tickets }) => [...tickets]));
  }

  /** The ticket for a step on a worker; `null` if there is none. */
  ticket(step: StepId, workerId: string): string | null {
    for (const { tickets } of this.responses.get(stepKey(step)) ?? []) {
      const ticket = tickets.get(workerId);
      if (ticket !== undefined) return ticket;
    }
    return null;
  }

  /**
   * Discards the tickets for a worker, which are valid during one incarnation of it only;
   * the worker is asked about again.
   */
  discardWorker(workerId: string): void {
    for (const [key, responses] of this.responses)
      if (responses.some(({ workerIds }) => workerIds.has(workerId)))
        this.responses.set(
          key,
          responses.map((response) => without(response, workerId)),
        );
  }

  private async request(
    key: string,
    step: StepId,
    rule: AdviceRule,
    workerIds: readonly string[],
  ): Promise<void> {
    const { advice, clock, counters, onResponse } = this.options;
    if (advice === null || workerIds.length === 0) return;
    if (this.stepsInFlight.has(key) || this.stepsInFlight.size >= MAX_CONCURRENT_REQUESTS) return;
    this.stepsInFlight.add(key);
    const sentAtMs = clock.monotonicMs();
    const expectedMs = rule.decideMs + rule.perWorkerMs * workerIds.length;
    try {
      const response = await advice.requestTickets(
        step,
        workerIds,
        expectedMs * MAX_CONCURRENT_REQUESTS + RESPONSE_SLACK_MS,
      );
      counters.increment('advice.answered');
      // The validity counts from the response, which the service sends at the earliest
      // `expectedMs` after the request.
      const validMs = response.validMs > 0 ? response.validMs : rule.validMs;
      const { tickets } = response;
      const untilMs = sentAtMs + expectedMs + validMs - EXPIRY_MARGIN_MS;
      const cached = this.responses.get(key) ?? [];
      this.responses.set(key, [...cached, { workerIds: new Set(workerIds), tickets, untilMs }]);
    } catch (error) {
      if (!(error instanceof AdviceUnavailableError)) throw error;
      counters.increment('advice.unavailable');
      await clock.delay(RETRY_MS);
    } finally {
      this.stepsInFlight.delete(key);
    }
    onResponse();
  }
}

function without({ workerIds, tickets, untilMs }: CachedResponse, workerId: string): CachedResponse {
  return {
    workerIds: new Set([...workerIds].filter((id) => id !== workerId)),
    tickets: new Map([...tickets].filter(([id]) => id !== workerId)),
    untilMs,
  };
}

function stepKey({ jobId, occurrence, step }: StepId): string {
  return `${jobId}.${occurrence}.${step}`;
}
