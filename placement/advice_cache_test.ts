/** Guards against steps that never start because requests named too few workers, and against expired tickets. */
import { settlePromises, VirtualClock } from '../kernel/virtual_clock';
import { AdviceUnavailableError, PlacementAdvice, type Advice } from '../scheduling/placement_advice';
import { MemoryCounters } from '../telemetry/counters';
import { AdviceCache } from './advice_cache';

const STEP = { jobId: 'a', occurrence: 0, step: 0 };
const RULE = { decideMs: 10, perWorkerMs: 1, validMs: 5_000 };
const WORKERS = Array.from({ length: 70 }, (_, index) => `w${index}`);

/** Issues a ticket for one worker only. */
class SingleWorkerAdvice extends PlacementAdvice {
  readonly requestedWorkerIds: (readonly string[])[] = [];
  isDown = false;

  constructor(private readonly allowed: string) {
    super();
  }

  override requestTickets(_step: unknown, workerIds: readonly string[]): Promise<Advice> {
    this.requestedWorkerIds.push(workerIds);
    if (this.isDown) return Promise.reject(new AdviceUnavailableError('The service is unavailable.'));
    const tickets = new Map(workerIds.filter((id) => id === this.allowed).map((id) => [id, `ticket-${id}`]));
    return Promise.resolve({ tickets, validMs: 0 });
  }
}

function cacheWith(advice: PlacementAdvice) {
  const clock = new VirtualClock();
  const cache = new AdviceCache({
    clock,
    advice,
    counters: new MemoryCounters(),
    onResponse: () => undefined,
  });
  const requestTickets = async (): Promise<ReadonlyMap<string, string>> => {
    cache.tickets(STEP, RULE, WORKERS);
    await settlePromises();
    return cache.tickets(STEP, RULE, []);
  };
  return { clock, cache, requestTickets };
}

describe('AdviceCache', () => {
  test('requests tickets for all workers of a large pool, some at a time', async () => {
    const advice = new SingleWorkerAdvice('w65');
    const { cache, requestTickets } = cacheWith(advice);
    expect((await requestTickets()).size).toBe(0);
    await requestTickets();
    expect(await requestTickets()).toEqual(new Map([['w65', 'ticket-w65']]));
    expect(cache.ticket(STEP, 'w65')).toBe('ticket-w65');
    expect(new Set(advice.requestedWorkerIds.flat()).size).toBe(WORKERS.length);
  });

  test('does not use expired tickets and requests new ones', async () => {
    const advice = new SingleWorkerAdvice('w1');
    const { clock, requestTickets } = cacheWith(advice);
    expect((await requestTickets()).size).toBe(1);
    clock.advance(RULE.validMs + 1_000);
    const before = advice.requestedWorkerIds.length;
    expect((await requestTickets()).size).toBe(1);
    expect(advice.requestedWorkerIds.length).toBeGreaterThan(before);
  });

  test('repeats the request after the service was unavailable', async () => {
    const advice = new SingleWorkerAdvice('w1');
    advice.isDown = true;
    const { clock, requestTickets } = cacheWith(advice);
    expect((await requestTickets()).size).toBe(0);
    advice.isDown = false;
    await clock.advanceAsync(1_000);
    expect((await requestTickets()).size).toBe(1);
  });
});
