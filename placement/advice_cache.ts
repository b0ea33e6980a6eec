/** Asks for the permissions that a queue's policy demands, and keeps those that are valid. */
import type { Clock } from '../kernel/clock';
import type { AdviceRule } from '../scheduling/fleet_rules';
import { AdviceUnavailableError, type PlacementAdvice, type StepId } from '../scheduling/placement_advice';
import type { Counters } from '../telemetry/counters';

/** Workers of one question; the targets of jobs allow for one question on this many. */
const MAX_WORKERS_PER_REQUEST = 30;

/** Questions under way; the service answers one after the other and refuses beyond 32. */
const MAX_CONCURRENT_REQUESTS = 8;

/** Tickets are not used in their last part, in milliseconds: a start takes a transaction and an order. */
const EXPIRY_MARGIN_MS = 400;

/** Added to the time that an answer should take, in milliseconds. */
const RESPONSE_SLACK_MS = 1_500;

/** Pause before a refused question is asked again, in milliseconds. */
const RETRY_MS = 300;

/** One answer for a step. */
interface CachedResponse {
  /** Workers that were asked about. */
  readonly workerIds: ReadonlySet<string>;
  readonly tickets: ReadonlyMap<string, string>;
  readonly untilMs: number;
}

export interface AdviceCacheOptions {
  readonly clock: Clock;
  readonly advice: PlacementAdvice | null;
  readonly counters: Counters;
  /** Called when an answer has arrived. */
  readonly onResponse: () => void;
}

export class AdviceCache {
  private readonly responses = new Map<string, readonly CachedResponse[]>();
  private readonly stepsUnderRequest = new Set<string>();

  constructor(private readonly options: AdviceCacheOptions) {}

  /**
   * Tickets of a step that can still be used, by worker. Asks about workers
   * that no valid answer covers; called again while the step waits, so that in
   * the end all are asked about.
   */
  tickets(step: StepId, rule: AdviceRule, workerIds: readonly string[]): ReadonlyMap<string, string> {
    const key = stepKey(step);
    const nowMs = this.options.clock.monotonicMs();
    const valid = (this.responses.get(key) ?? []).filter(({ untilMs }) => nowMs < untilMs);
    if (valid.length > 0) this.responses.set(key, valid);
    else this.responses.delete(key);
    const open = workerIds.filter((workerId) => !valid.some((answer) => answer.workerIds.has(workerId)));
    void this.request(key, step, rule, open.slice(0, MAX_WORKERS_PER_REQUEST));
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

  private async request(
    key: string,
    step: StepId,
    rule: AdviceRule,
    workerIds: readonly string[],
  ): Promise<void> {
    const { advice, clock, counters, onResponse: onAnswer } = this.options;
    if (advice === null || workerIds.length === 0) return;
    if (this.stepsUnderRequest.has(key) || this.stepsUnderRequest.size >= MAX_CONCURRENT_REQUESTS) return;
    this.stepsUnderRequest.add(key);
    const sentAtMs = clock.monotonicMs();
    const expectedMs = rule.decideMs + rule.perWorkerMs * workerIds.length;
    try {
      const answer = await advice.requestTickets(
        step,
        workerIds,
        expectedMs * MAX_CONCURRENT_REQUESTS + RESPONSE_SLACK_MS,
      );
      counters.increment('advice.answered');
      // The validity counts from the answer, which left at the earliest when the question was decided.
      const validMs = answer.validMs > 0 ? answer.validMs : rule.validMs;
      const { tickets } = answer;
      const untilMs = sentAtMs + expectedMs + validMs - EXPIRY_MARGIN_MS;
      const known = this.responses.get(key) ?? [];
      this.responses.set(key, [...known, { workerIds: new Set(workerIds), tickets, untilMs }]);
    } catch (error) {
      if (!(error instanceof AdviceUnavailableError)) throw error;
      counters.increment('advice.unavailable');
      await clock.delay(RETRY_MS);
    } finally {
      this.stepsUnderRequest.delete(key);
    }
    onAnswer();
  }
}

function stepKey({ jobId, occurrence, step }: StepId): string {
  return `${jobId}.${occurrence}.${step}`;
}
