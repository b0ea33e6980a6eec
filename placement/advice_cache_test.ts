/** Guards against steps that never start because the policy was asked about too few workers. */
import { settlePromises, VirtualClock } from '../kernel/virtual_clock';
import { AdviceUnavailableError, PlacementAdvice, type Advice } from '../scheduling/placement_advice';
import { MemoryCounters } from '../telemetry/counters';
import { AdviceCache } from './advice_cache';

const STEP = { jobId: 'a', occurrence: 0, step: 0 };
const RULE = { decideMs: 10, perWorkerMs: 1, validMs: 5_000 };
const WORKERS = Array.from({ length: 70 }, (_, index) => `w${index}`);

/** Allows one worker only. */
class OneAllowed extends PlacementAdvice {
  readonly questions: (readonly string[])[] = [];
  isDown = false;

  constructor(private readonly allowed: string) {
    super();
  }

  override requestTickets(_step: unknown, workerIds: readonly string[]): Promise<Advice> {
    this.questions.push(workerIds);
    if (this.isDown) return Promise.reject(new AdviceUnavailableError('The service is away.'));
    const tickets = new Map(workerIds.filter((id) => id === this.allowed).map((id) => [id, `ticket-${id}`]));
    return Promise.resolve({ tickets, validMs: 0 });
  }
}

function bookWith(advice: PlacementAdvice) {
  const clock = new VirtualClock();
  const book = new AdviceCache({
    clock,
    advice,
    counters: new MemoryCounters(),
    onResponse: () => undefined,
  });
  const ask = async (): Promise<ReadonlyMap<string, string>> => {
    book.tickets(STEP, RULE, WORKERS);
    await settlePromises();
    return book.tickets(STEP, RULE, []);
  };
  return { clock, book, ask };
}

describe('AdviceBook', () => {
  test('asks about all workers of a large pool, some at a time', async () => {
    const advice = new OneAllowed('w65');
    const { book, ask } = bookWith(advice);
    expect((await ask()).size).toBe(0);
    await ask();
    expect(await ask()).toEqual(new Map([['w65', 'ticket-w65']]));
    expect(book.ticket(STEP, 'w65')).toBe('ticket-w65');
    expect(new Set(advice.questions.flat()).size).toBe(WORKERS.length);
  });

  test('uses no ticket beyond its validity and asks again', async () => {
    const advice = new OneAllowed('w1');
    const { clock, ask } = bookWith(advice);
    expect((await ask()).size).toBe(1);
    clock.advance(RULE.validMs + 1_000);
    const before = advice.questions.length;
    expect((await ask()).size).toBe(1);
    expect(advice.questions.length).toBeGreaterThan(before);
  });

  test('asks again after the service was away', async () => {
    const advice = new OneAllowed('w1');
    advice.isDown = true;
    const { clock, ask } = bookWith(advice);
    expect((await ask()).size).toBe(0);
    advice.isDown = false;
    await clock.advanceAsync(1_000);
    expect((await ask()).size).toBe(1);
  });
});
