/** Guards against two runs of a task at once, and against a task without a run, while workers and leaders come and go. */
import * as fc from 'fast-check';
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import type { FakeWorker } from './_fake_worker_gateway';
import { PlacementHarness, STEP, type HarnessProcess } from './_placement_harness';

const JOB = '00000000000000aa';
const LASTING = { ...STEP, isLongRunning: true };

/** Time that a lease, a takeover and a new start take at most, in milliseconds. */
const RECOVERY_MS = 16_000;

const WORKER_COUNT = 2;

const eventArbitrary = fc.record({
  kind: fc.constantFrom('kill', 'cut', 'heal', 'lose_both', 'unlist', 'list', 'store_down', 'store_up'),
  afterMs: fc.integer({ min: 100, max: 5_000 }),
});

class Scenario {
  readonly harness = new PlacementHarness();
  readonly workers: FakeWorker[] = [];
  maxRunning = 0;
  private leader: HarnessProcess | null = null;
  private leaderCount = 0;

  async start(): Promise<void> {
    for (let index = 0; index < WORKER_COUNT; index += 1)
      this.workers.push(await this.harness.addWorker(`w${index}`));
    this.startLeader();
    await this.harness.submit(JOB, [LASTING]);
    await this.advance(1_000);
  }

  /** Applies an event to the worker that has last started the task. */
  async apply(kind: string): Promise<void> {
    const worker = this.lastRunner();
    const { workerId } = worker.entry;
    if (kind === 'kill' || kind === 'lose_both') this.startLeader();
    if (kind === 'cut' || kind === 'lose_both') worker.isReachable = false;
    if (kind === 'heal') worker.isReachable = true;
    if (kind === 'lose_both' || (kind === 'unlist' && !worker.isReachable))
      await this.harness.writeEntry(workerId, null);
    if (kind === 'list') await this.harness.register(worker.entry);
    if (kind === 'store_down') this.setStoreDown(true);
    if (kind === 'store_up') this.setStoreDown(false);
  }

  /** Advances in small steps and counts how many workers run the task under a valid lease. */
  async advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 100) {
      await this.harness.advance(100);
      const running = this.workers.filter((worker) => worker.hasRunUnderLease());
      this.maxRunning = Math.max(this.maxRunning, running.length);
    }
  }

  /** Makes everything but the workers that are cut off work again. */
  async recover(): Promise<void> {
    this.setStoreDown(false);
    for (const worker of this.workers) if (worker.isReachable) await this.harness.register(worker.entry);
    await this.advance(RECOVERY_MS);
  }

  runningCount(): number {
    return this.workers.filter(({ isReachable, runs }) => isReachable && runs.size > 0).length;
  }

  private lastRunner(): FakeWorker {
    const [runner] = [...this.workers].sort(
      (a, b) => b.starts.length - a.starts.length || b.runs.size - a.runs.size,
    );
    if (runner === undefined) throw new Error('The scenario has not started.');
    return runner;
  }

  private startLeader(): void {
    this.leader?.kill();
    this.leaderCount += 1;
    this.leader = this.harness.process(`leader-${this.leaderCount}`);
    void this.leader.run();
  }

  private setStoreDown(down: boolean): void {
    if (this.leader !== null) this.leader.store.faults = { ...NO_ROW_STORE_FAULTS, down };
  }
}

describe('a long-running task while workers and leaders come and go', () => {
  test('has never two runs under valid leases, and has one again after the trouble', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(eventArbitrary, { minLength: 3, maxLength: 12 }), async (events) => {
        const scenario = new Scenario();
        await scenario.start();
        for (const { kind, afterMs } of events) {
          await scenario.apply(kind);
          await scenario.advance(afterMs);
        }
        await scenario.recover();
        expect(scenario.maxRunning).toBeLessThanOrEqual(1);
        if (scenario.workers.some(({ isReachable }) => isReachable)) expect(scenario.runningCount()).toBe(1);
      }),
      { seed: 24, numRuns: 40 },
    );
  }, 60_000);
});
