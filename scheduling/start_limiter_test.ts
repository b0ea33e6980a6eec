/** Guards against a burst in which a busy leader delays every task instead of letting some of them wait. */
import { AdaptiveStartLimiter, type StartLimiter } from './start_limiter';

class Unlimited extends AdaptiveStartLimiter {
  override available(): number {
    return Infinity;
  }
}

const PROCESSORS = 1.2;
/** Time within which urgent work has to start. */
const URGENT_START_MS = 3_000;
const STEP_MS = 10;
/** Starts per second that the modelled process carries. */
const CAPACITY_PER_SECOND = 600;
/** Time after which the figures count. */
const SETTLED_MS = 2_000;
/** Number of times that a start passes the event loop. */
const PASSES = 10;

interface Played {
  readonly startedPerSecond: number;
  /** Median time that the process takes for a start, after the limiter has settled. */
  readonly handlingMs: number;
}

/**
 * Plays a process whose loop runs later the more starts it still has to carry out, for
 * `seconds` with the given number of arrivals a second.
 */
function play(limiter: StartLimiter, arrivalsPerSecond: number, seconds: number): Played {
  let waiting = 0;
  let inHand = 0;
  let started = 0;
  const handling: number[] = [];
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += STEP_MS) {
    waiting += (arrivalsPerSecond * STEP_MS) / 1_000;
    inHand = Math.max(0, inHand - (CAPACITY_PER_SECOND * STEP_MS) / 1_000);
    const delayMs = ((inHand / CAPACITY_PER_SECOND) * 1_000) / PASSES;
    limiter.recordDelay(delayMs, nowMs);
    const count = Math.min(Math.floor(waiting), limiter.available(nowMs));
    limiter.take(count);
    waiting -= count;
    inHand += count;
    if (nowMs < SETTLED_MS) continue;
    started += count;
    handling.push(delayMs * PASSES);
  }
  handling.sort((a, b) => a - b);
  return {
    startedPerSecond: (started * 1_000) / (seconds * 1_000 - SETTLED_MS),
    handlingMs: handling[Math.floor(handling.length / 2)] ?? 0,
  };
}

test('a burst of three times the capacity delays the tasks that start by less than 3 s', () => {
  const limited = play(new AdaptiveStartLimiter(PROCESSORS), 3 * CAPACITY_PER_SECOND, 6);
  expect(play(new Unlimited(PROCESSORS), 3 * CAPACITY_PER_SECOND, 6).handlingMs).toBeGreaterThan(5_000);
  expect(limited.handlingMs).toBeLessThan(URGENT_START_MS);
  expect(limited.startedPerSecond).toBeGreaterThan(0.8 * CAPACITY_PER_SECOND);
});

test('two steps of a job in a burst leave half of a target latency of 600 ms for everything else', () => {
  const { handlingMs } = play(new AdaptiveStartLimiter(PROCESSORS), 2 * CAPACITY_PER_SECOND, 6);
  expect(2 * handlingMs).toBeLessThan(0.5 * 600);
});

test('a small machine is limited to what it carries', () => {
  const limiter = new AdaptiveStartLimiter(0.3);
  for (let nowMs = 0; nowMs < 10_000; nowMs += STEP_MS) {
    limiter.recordDelay(400, nowMs);
    limiter.take(Math.min(5, limiter.available(nowMs)));
  }
  expect(limiter.limitPerSecond()).toBeCloseTo(120);
});

test('a load that the process carries is not limited', () => {
  const { startedPerSecond } = play(new AdaptiveStartLimiter(PROCESSORS), 0.8 * CAPACITY_PER_SECOND, 6);
  expect(startedPerSecond).toBeGreaterThan(0.78 * CAPACITY_PER_SECOND);
});

test('the limit goes once the loop is on time again', () => {
  const limiter = new AdaptiveStartLimiter(PROCESSORS);
  play(limiter, 3 * CAPACITY_PER_SECOND, 3);
  for (let nowMs = 10_000; nowMs < 15_000; nowMs += STEP_MS) limiter.recordDelay(1, nowMs);
  expect(limiter.available(15_000)).toBe(Infinity);
});
