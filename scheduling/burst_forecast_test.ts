/** Guards against bursts that are recognized by their backlog only, and against false alarms of the forecast. */
import { exponential, seededRandom } from '../bench/seeded_random';
import { BurstForecast } from './burst_forecast';

const TICK_MS = 250;
const QUIET = { instances: 3, arrivingInstances: 2 };
const RISING = { instances: 12, arrivingInstances: 12 };

interface Played {
  readonly forecast: BurstForecast;
  nowMs: number;
}

/** Plays arrivals at a rate; returns the expected sizes, one for each tick. */
function play(
  played: Played,
  { perSecond, seconds, random }: { perSecond: number; seconds: number; random: () => number },
  measured = QUIET,
): readonly number[] {
  const sizes: number[] = [];
  const endMs = played.nowMs + seconds * 1_000;
  let nextMs = played.nowMs + exponential(random, 1_000 / perSecond);
  while (played.nowMs < endMs) {
    played.nowMs += TICK_MS;
    for (; nextMs < played.nowMs; nextMs += exponential(random, 1_000 / perSecond))
      played.forecast.recordArrival('p', nextMs);
    sizes.push(played.forecast.expectedInstances('p', measured, played.nowMs));
  }
  return sizes;
}

function setUp(heights: readonly number[] = []): Played & { random: () => number } {
  const forecast = new BurstForecast();
  forecast.remember('p', { provisionedInstances: 40, heights });
  return { forecast, nowMs: 0, random: seededRandom(7) };
}

test('a first burst is expected to need what the operator has provisioned, within 600 ms', () => {
  const played = setUp();
  play(played, { perSecond: 1, seconds: 10, random: played.random });
  const sizes = play(played, { perSecond: 30, seconds: 1, random: played.random }, RISING);
  expect(sizes.slice(0, 3)).toContain(40);
});

test('a burst is expected to become as high as the median of the latest ones', () => {
  const played = setUp([70, 90, 80]);
  play(played, { perSecond: 1, seconds: 10, random: played.random });
  expect(Math.max(...play(played, { perSecond: 30, seconds: 1, random: played.random }, RISING))).toBe(80);
});

test('a pool without bursts learns from the others in proportion to its size', () => {
  const played = setUp();
  played.forecast.remember('q', { provisionedInstances: 20, heights: [50] });
  expect(Math.max(...play(played, { perSecond: 30, seconds: 1, random: played.random }, RISING))).toBe(100);
});

test('the expectation lasts for the time that instances need, and the height is learned at the end', () => {
  const played = setUp();
  play(played, { perSecond: 1, seconds: 10, random: played.random });
  const high = { instances: 25, arrivingInstances: 25 };
  const sizes = play(played, { perSecond: 30, seconds: 6, random: played.random }, high);
  expect(sizes.filter((size) => size === 40).length).toBeGreaterThan(8);
  expect(sizes.at(-1)).toBe(25);
  play(played, { perSecond: 1, seconds: 2, random: played.random });
  expect(played.forecast.memoryOf('p')).toEqual({ provisionedInstances: 40, heights: [25] });
});

test.each([2, 20, 200])('constant demand of %s jobs a second is followed', (perSecond) => {
  const played = setUp();
  play(played, { perSecond, seconds: 30, random: played.random }, RISING);
  const sizes = play(played, { perSecond, seconds: 600, random: played.random }, RISING);
  // One false alarm in 20 minutes is allowed for; it lasts 3 s of the 600 s.
  expect(sizes.filter((size) => size > RISING.instances).length).toBeLessThanOrEqual((2 * 3_000) / TICK_MS);
});

test('the last jobs of a burst are not taken for the onset of another one', () => {
  const played = setUp([100]);
  play(played, { perSecond: 1, seconds: 10, random: played.random });
  const high = { instances: 100, arrivingInstances: 100 };
  play(played, { perSecond: 60, seconds: 6, random: played.random }, high);
  const falling = { instances: 25, arrivingInstances: 25 };
  const sizes = play(played, { perSecond: 12, seconds: 4, random: played.random }, falling);
  expect(Math.max(...sizes)).toBe(25);
});

test('a few jobs after a quiet time are not taken for a burst', () => {
  const played = setUp([100]);
  play(played, { perSecond: 0.5, seconds: 10, random: played.random });
  const sizes = play(played, { perSecond: 12, seconds: 1, random: played.random }, QUIET);
  expect(Math.max(...sizes)).toBe(3);
});

test('growth that takes half a minute is followed', () => {
  const played = setUp();
  play(played, { perSecond: 20, seconds: 30, random: played.random }, RISING);
  const alarms: number[] = [];
  for (let perSecond = 20; perSecond < 40; perSecond += 1)
    alarms.push(...play(played, { perSecond, seconds: 3, random: played.random }, RISING));
  const expected = alarms.filter((size) => size > RISING.instances).length;
  expect(expected).toBeLessThanOrEqual((2 * 3_000) / TICK_MS);
});
