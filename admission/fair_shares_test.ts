import fc from 'fast-check';
import { FakeDeployment } from '../bench/fake_deployment';
import { fakeFleet, fakeQueue } from '../bench/fake_fleet';
import { exponential, seededRandom } from '../bench/seeded_random';
import { settlePromises } from '../kernel/virtual_clock';
import type { Priority } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { WeightedFair } from './weighted_fair';

const QUEUE = fakeQueue('q', 'p');
const STEP_MS = 20;

interface Source {
  readonly teamId: string;
  readonly shareWeight: number;
  /** Number of requests that are waiting or running at any time, per member. */
  readonly concurrency: readonly number[];
  readonly meanRunMs: number;
}

/** Closed-loop load: each request that ends is followed by another one. */
class ShareRun {
  readonly deployment: FakeDeployment;
  readonly usedMs = new Map<string, number>();
  private readonly random: () => number;

  constructor(sources: readonly Source[], workers: number, seed: number) {
    this.random = seededRandom(seed);
    const teams = sources.map(({ teamId, shareWeight }) => ({ teamId, shareWeight, upperLimit: 1_000 }));
    const fleet = fakeFleet({
      teams,
      queues: [QUEUE],
      workers: new Map([['p', workers]]),
      slots: 8,
      revision: 1,
    });
    const newPolicy = () => new WeightedFair();
    this.deployment = new FakeDeployment({ members: 3, fleet, newPolicy, seed });
    for (const source of sources) {
      source.concurrency.forEach((count, member) => {
        for (let index = 0; index < count; index += 1) this.request(source, member, 'normal');
      });
    }
  }

  async advance(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      this.deployment.clock.advance(STEP_MS);
      await settlePromises();
    }
  }

  request(source: Source, member: number, priority: Priority, onStart?: () => void): void {
    const { clock } = this.deployment;
    const deadlineAtMs = clock.monotonicMs() + 600_000;
    const { signal } = new AbortController();
    const request = { requestId: 'r', teamId: source.teamId, queue: QUEUE, priority, deadlineAtMs, signal };
    void this.deployment.members[member]?.admit(request).then((admission) => {
      onStart?.();
      const ranMs = exponential(this.random, source.meanRunMs);
      clock.schedule(ranMs, () => {
        this.usedMs.set(source.teamId, (this.usedMs.get(source.teamId) ?? 0) + ranMs);
        admission.release();
        if (onStart === undefined) this.request(source, member, priority);
      });
    });
  }
}

describe('fair shares', () => {
  test('with constant demand each team gets its weighted share of a saturated pool within 5%', async () => {
    const source = fc.record({
      shareWeight: fc.integer({ min: 1, max: 4 }),
      concurrency: fc.tuple(...[1, 2, 3].map(() => fc.integer({ min: 25, max: 60 }))),
      meanRunMs: fc.constantFrom(400, 800, 1_500),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.tuple(source, source, source),
        fc.integer({ min: 1, max: 99 }),
        async (parts, seed) => {
          const sources = parts.map((part, index) => ({ ...part, teamId: `team-${index}` }));
          const run = new ShareRun(sources, 6, seed);
          await run.advance(5_000);
          const before = new Map(run.usedMs);
          await run.advance(60_000);
          const used = sources.map(({ teamId }) => (run.usedMs.get(teamId) ?? 0) - (before.get(teamId) ?? 0));
          const total = used.reduce((sum, ms) => sum + ms, 0);
          const weights = sources.reduce((sum, { shareWeight }) => sum + shareWeight, 0);
          sources.forEach(({ shareWeight }, index) => {
            const expectedMs = (total * shareWeight) / weights;
            expect((used[index] ?? 0) / expectedMs).toBeGreaterThan(0.95);
          });
          // The shares must not be met by leaving slots idle.
          expect(total / (48 * 60_000)).toBeGreaterThan(0.95);
        },
      ),
      { numRuns: 5, seed: 20_261_204, endOnFailure: true },
    );
  }, 60_000);

  test('a single team gets the whole pool and yields the share of a later team as its work ends', async () => {
    const early = { teamId: 'a', shareWeight: 1, concurrency: [60, 60, 60], meanRunMs: 200 };
    const late = { teamId: 'b', shareWeight: 3, concurrency: [0, 0, 0], meanRunMs: 200 };
    const run = new ShareRun([early, late], 6, 5);
    await run.advance(3_000);
    const running = (teamId: string): number =>
      run.deployment.members.reduce(
        (sum, { service }) => sum + (service.gate.counts().get('p')?.get(teamId)?.running ?? 0),
        0,
      );
    expect(running('a')).toBeGreaterThanOrEqual(46);
    for (let index = 0; index < 180; index += 1) run.request(late, index % 3, 'normal');
    // At first the late team gets more than its share, to make up for the time before the peers knew of its demand.
    await run.advance(5_000);
    const sharesOfLate: number[] = [];
    for (let round = 0; round < 40; round += 1) {
      await run.advance(100);
      sharesOfLate.push(running('b') / (running('a') + running('b')));
      expect(running('a') + running('b')).toBeLessThanOrEqual(52);
    }
    const mean = sharesOfLate.reduce((sum, part) => sum + part, 0) / sharesOfLate.length;
    expect(Math.abs(mean / 0.75 - 1)).toBeLessThanOrEqual(0.05);
  });

  test('urgent work of a team does not starve its batch work', async () => {
    const source = { teamId: 'a', shareWeight: 1, concurrency: [0, 0, 0], meanRunMs: 200 };
    const run = new ShareRun([source], 1, 9);
    let batchStarts = 0;
    run.request(source, 0, 'batch', () => (batchStarts += 1));
    for (let round = 0; round < 100; round += 1) {
      for (let index = 0; index < 12; index += 1) run.request(source, index % 3, 'urgent', () => undefined);
      if (round === 10) run.request(source, 0, 'batch', () => (batchStarts += 1));
      await run.advance(200);
    }
    expect(batchStarts).toBe(2);
  });

  test('a cancelled or expired request never occupies a slot', async () => {
    const request = fc.record({
      deadlineMs: fc.integer({ min: 0, max: 400 }),
      cancelMs: fc.integer({ min: 0, max: 800 }),
      runMs: fc.integer({ min: 1, max: 200 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(request, { minLength: 1, maxLength: 40 }), async (requests) => {
        const run = new ShareRun([{ teamId: 'a', shareWeight: 1, concurrency: [], meanRunMs: 1 }], 1, 3);
        const { clock, members } = run.deployment;
        await run.advance(1_000);
        const outcomes = requests.map(async ({ deadlineMs, cancelMs, runMs }, index) => {
          const abort = new AbortController();
          clock.schedule(cancelMs, () => {
            abort.abort();
          });
          const deadlineAtMs = clock.monotonicMs() + deadlineMs;
          const base = { requestId: 'r', teamId: 'a', queue: QUEUE, priority: 'normal' as const };
          try {
            const admission = await members[index % 3]?.admit({
              ...base,
              deadlineAtMs,
              signal: abort.signal,
            });
            expect(clock.monotonicMs() - STEP_MS).toBeLessThan(deadlineAtMs);
            clock.schedule(runMs, () => admission?.release());
          } catch (error) {
            expect(error).toBeInstanceOf(RequestError);
            expect((error as RequestError).outcome).toBe('not_run');
          }
        });
        await run.advance(2_000);
        await Promise.all(outcomes);
        for (const { service } of members) expect(service.gate.counts().size).toBe(0);
        for (const { service } of members) expect(service.grants.snapshot().get('a')?.running ?? 0).toBe(0);
      }),
      { numRuns: 15, seed: 20_261_204, endOnFailure: true },
    );
  }, 60_000);
});
