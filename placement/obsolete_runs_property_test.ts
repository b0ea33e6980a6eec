/** Guards against runs of cancelled jobs that go on, and against lost runs of others, under lost and rejected stops. */
import * as fc from 'fast-check';
import type { CommandFault } from './_fake_worker_gateway';
import { PlacementHarness, STEP, type HarnessProcess } from './_placement_harness';
import { propertyParameters } from './_property_parameters';
import { tasksWithTwoRuns } from './_run_history';

const LASTING = { ...STEP, isLongRunning: true };
const WORKER_COUNT = 3;
const JOB_COUNT = 4;
const TASK_COUNT = 2;
/** Time for a takeover and the end of a lease that is not renewed, in milliseconds. */
const RECOVERY_MS = 16_000;

const FAULTS: readonly CommandFault[] = ['unhealthy', 'malformed', 'unreachable', 'not_applied', 'applied'];

const eventArbitrary = fc.record({
  kind: fc.constantFrom('cancel', 'cancel', 'stop_faults', 'unlist', 'list', 'take_over', 'restart'),
  number: fc.nat({ max: JOB_COUNT - 1 }),
  faults: fc.array(fc.constantFrom(...FAULTS), { maxLength: 6 }),
  afterMs: fc.oneof(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 3_000 })),
});

interface Event {
  readonly kind: string;
  readonly number: number;
  readonly faults: readonly CommandFault[];
}

class Scenario {
  readonly harness = new PlacementHarness();
  readonly cancelled = new Set<string>();
  readonly overlaps: string[] = [];
  private leader: HarnessProcess | null = null;
  private leaderCount = 0;

  async start(): Promise<void> {
    this.harness.gateway.latencyMs = 1;
    for (let number = 0; number < WORKER_COUNT; number += 1) await this.harness.addWorker(`w${number}`);
    this.takeOver();
    for (let number = 0; number < JOB_COUNT; number += 1)
      await this.harness.submit(jobIdOf(number), [{ ...LASTING, taskCount: TASK_COUNT }]);
    await this.advance(2_000);
  }

  async apply({ kind, number, faults }: Event): Promise<void> {
    const { harness } = this;
    if (kind === 'take_over') this.takeOver();
    if (kind === 'cancel') {
      this.cancelled.add(jobIdOf(number));
      await harness.cancel(jobIdOf(number));
    }
    const worker = harness.gateway.workers.get(`w${number}`);
    if (worker === undefined) return;
    if (kind === 'stop_faults') worker.stopFaults = faults;
    if (kind === 'unlist') await harness.writeEntry(worker.entry.workerId, null);
    if (kind === 'list') await harness.register(worker.entry);
    if (kind === 'restart') harness.restart(worker.entry.workerId);
  }

  async advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 20) {
      await this.harness.advance(20);
      this.overlaps.push(...tasksWithTwoRuns(this.harness.gateway.incarnations));
    }
  }

  async recover(): Promise<void> {
    for (const worker of this.harness.gateway.all()) {
      worker.stopFaults = [];
      await this.harness.register(worker.entry);
    }
    await this.advance(RECOVERY_MS);
  }

  /** Number of runs of each job. */
  runCounts(): readonly number[] {
    const runs = this.harness.gateway.all().flatMap((worker) => [...worker.runs.values()]);
    return Array.from(
      { length: JOB_COUNT },
      (_, number) => runs.filter(({ task }) => task.jobId === jobIdOf(number)).length,
    );
  }

  private takeOver(): void {
    this.leader?.kill();
    this.leaderCount += 1;
    this.leader = this.harness.process(`leader-${this.leaderCount}`);
    void this.leader.run();
  }
}

function jobIdOf(number: number): string {
  return number.toString(16).padStart(16, '0');
}

test('cancelled jobs have no run left, and the others have all of theirs', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(eventArbitrary, { minLength: 4, maxLength: 14 }), async (events) => {
      const scenario = new Scenario();
      await scenario.start();
      for (const event of events) {
        await scenario.apply(event);
        await scenario.advance(event.afterMs);
      }
      await scenario.recover();
      expect(scenario.overlaps).toEqual([]);
      expect(scenario.runCounts()).toEqual(
        Array.from({ length: JOB_COUNT }, (_, number) =>
          scenario.cancelled.has(jobIdOf(number)) ? 0 : TASK_COUNT,
        ),
      );
    }),
    propertyParameters({ seed: 31, numRuns: 25 }),
  );
}, 120_000);
