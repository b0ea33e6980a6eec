/** Guards against second runs of tasks, and against tasks without a run, while workers restart at any moment. */
import * as fc from 'fast-check';
import { PlacementHarness, STEP, type HarnessProcess } from './_placement_harness';
import { propertyParameters } from './_property_parameters';
import { startsAfterDone, tasksWithTwoRuns } from './_run_history';

const WORKER_COUNT = 3;
const TASK_COUNT = 3;
/** Time for leases, takeovers and the rest of the tasks, in milliseconds. */
const RECOVERY_MS = 25_000;

const eventArbitrary = fc.record({
  kind: fc.constantFrom('submit', 'submit', 'restart', 'restart', 'crash', 'lose_starts', 'take_over'),
  workerNumber: fc.integer({ min: 0, max: WORKER_COUNT - 1 }),
  /** Time from the restart of a worker to its first entry. */
  entryAfterMs: fc.constantFrom(0, 3, 40, 750),
  afterMs: fc.oneof(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 2_000 })),
});

interface Event {
  readonly kind: string;
  readonly workerNumber: number;
  readonly entryAfterMs: number;
}

class Scenario {
  readonly harness = new PlacementHarness();
  readonly jobIds: string[] = [];
  readonly overlaps: string[] = [];
  private leader: HarnessProcess | null = null;
  private leaderCount = 0;

  constructor(taskMs: readonly number[]) {
    const { gateway, clock } = this.harness;
    gateway.latencyMs = 1;
    gateway.afterStart = (worker, { task, run }) => {
      clock.schedule(taskMs[task.index] ?? 0, () => {
        if (worker.isReachable && worker.hasRun({ task, run })) worker.finish({ task, run }, 'done');
      });
    };
  }

  async start(): Promise<void> {
    for (let number = 0; number < WORKER_COUNT; number += 1) await this.harness.addWorker(`w${number}`);
    this.takeOver();
    await this.advance(1_000);
  }

  async apply({ kind, workerNumber, entryAfterMs }: Event): Promise<void> {
    const { harness } = this;
    const worker = harness.gateway.workers.get(`w${workerNumber}`);
    if (kind === 'take_over') this.takeOver();
    if (kind === 'submit') await this.submit();
    if (worker?.isReachable !== true) return;
    if (kind === 'lose_starts') worker.lostStarts = 'applied';
    if (kind === 'crash') harness.crash(worker.entry.workerId, entryAfterMs);
    if (kind === 'restart') {
      const { entry } = harness.restart(worker.entry.workerId);
      harness.clock.schedule(entryAfterMs, () => {
        const { isReachable } = harness.gateway.workers.get(entry.workerId) ?? worker;
        if (isReachable) void harness.register(entry);
      });
    }
  }

  async advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 20) {
      await this.harness.advance(20);
      this.overlaps.push(...tasksWithTwoRuns(this.harness.gateway.incarnations));
    }
  }

  async states(): Promise<readonly (string | null)[]> {
    return Promise.all(this.jobIds.map((jobId) => this.harness.state(jobId)));
  }

  private async submit(): Promise<void> {
    const jobId = this.jobIds.length.toString(16).padStart(16, '0');
    this.jobIds.push(jobId);
    await this.harness.submit(jobId, [{ ...STEP, taskCount: TASK_COUNT }]);
  }

  private takeOver(): void {
    this.leader?.kill();
    this.leaderCount += 1;
    this.leader = this.harness.process(`leader-${this.leaderCount}`);
    void this.leader.run();
  }
}

test('no task runs twice, and all complete, whenever workers restart under their ids', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.constantFrom(5, 80, 400, 1_500), { minLength: TASK_COUNT, maxLength: TASK_COUNT }),
      fc.array(eventArbitrary, { minLength: 4, maxLength: 14 }),
      async (taskMs, events) => {
        const scenario = new Scenario(taskMs);
        await scenario.start();
        for (const event of events) {
          await scenario.apply(event);
          await scenario.advance(event.afterMs);
        }
        for (const worker of scenario.harness.gateway.all()) worker.lostStarts = 'none';
        await scenario.advance(RECOVERY_MS);
        expect(scenario.overlaps).toEqual([]);
        expect(startsAfterDone(scenario.harness.gateway.incarnations)).toEqual([]);
        expect(await scenario.states()).toEqual(scenario.jobIds.map(() => 'completed'));
      },
    ),
    propertyParameters({ seed: 30, numRuns: 25 }),
  );
}, 120_000);
