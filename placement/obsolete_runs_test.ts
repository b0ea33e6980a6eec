/** Guards against runs that go on although they are no longer needed, for each cause and each way in which their stop can miss. */
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import type { StepDefinition } from '../scheduling/job_definition';
import type { FakeWorker } from './_fake_worker_gateway';
import { PlacementHarness, QUEUE, STEP, type HarnessProcess } from './_placement_harness';

const JOB = '00000000000000aa';
const LASTING = { ...STEP, isLongRunning: true };
const WORKER_IDS = ['w1', 'w2', 'w3'];

/** The platform's limit for the end of runs that are no longer needed, after the last disturbance, in milliseconds. */
const STOP_LIMIT_MS = 3_200;
const TAKEOVER_MS = 4_000;

class Scenario {
  readonly harness = new PlacementHarness();
  private leader: HarnessProcess = this.harness.process('a');
  private leaderCount = 1;

  /** Starts a job of one step, with its tasks on different workers. */
  async start(step: StepDefinition): Promise<void> {
    this.harness.rules = {
      ...this.harness.rules,
      queues: new Map([['q', { ...QUEUE, maxAttempts: 1 }]]),
    };
    for (const workerId of WORKER_IDS) await this.harness.addWorker(workerId);
    void this.leader.run();
    await this.harness.advance(1_000);
    await this.harness.submit(JOB, [{ ...step, taskCount: 3, maxPerWorker: 1 }]);
    await this.harness.advance(1_000);
    expect(this.workers.map(({ runs }) => runs.size)).toEqual([1, 1, 1]);
  }

  get workers(): readonly FakeWorker[] {
    return this.harness.gateway.all();
  }

  /** The worker whose run becomes obsolete while its stop misses. */
  get missed(): FakeWorker {
    return this.worker(0);
  }

  /** A worker of which a run ends and so makes the others obsolete. */
  get other(): FakeWorker {
    return this.worker(1);
  }

  async killLeader(): Promise<void> {
    this.leader.kill();
    this.leaderCount += 1;
    this.leader = this.harness.process(`leader-${this.leaderCount}`);
    void this.leader.run();
    await this.harness.advance(TAKEOVER_MS);
  }

  setStoreDown(down: boolean): void {
    this.leader.store.faults = { ...NO_ROW_STORE_FAULTS, down };
  }

  async unlist({ entry }: FakeWorker): Promise<void> {
    await this.harness.writeEntry(entry.workerId, null);
  }

  async list({ entry }: FakeWorker): Promise<void> {
    await this.harness.register(entry);
  }

  private worker(index: number): FakeWorker {
    const worker = this.workers[index];
    if (worker === undefined) throw new Error('The scenario has not started.');
    return worker;
  }
}

interface Cause {
  readonly name: string;
  readonly step: StepDefinition;
  /** Makes the runs on the missed worker obsolete. */
  readonly apply: (scenario: Scenario) => Promise<void>;
}

const CAUSES: readonly Cause[] = [
  { name: 'the job is cancelled', step: LASTING, apply: ({ harness }) => harness.cancel(JOB) },
  {
    name: 'the job has failed',
    step: STEP,
    apply: ({ other }) => {
      other.finishAll('failed');
      return Promise.resolve();
    },
  },
  {
    name: 'a member of the gang has ended',
    step: { ...STEP, isGang: true },
    apply: ({ other }) => {
      other.finishAll('broken');
      return Promise.resolve();
    },
  },
  {
    name: 'the gang is done',
    step: { ...STEP, isGang: true },
    apply: ({ other }) => {
      other.finishAll('done');
      return Promise.resolve();
    },
  },
];

interface Miss {
  readonly name: string;
  /** Applies the cause while the stop of the run on the missed worker misses. */
  readonly play: (scenario: Scenario, apply: () => Promise<void>) => Promise<void>;
}

const MISSES: readonly Miss[] = [
  ...(['unhealthy', 'malformed', 'unreachable', 'not_applied', 'applied'] as const).map((fault) => ({
    name: `the stop fails as ${fault}`,
    play: async (scenario: Scenario, apply: () => Promise<void>) => {
      scenario.missed.stopFaults = [fault, fault];
      await apply();
    },
  })),
  {
    name: 'the worker loses its entry',
    play: async (scenario, apply) => {
      await scenario.unlist(scenario.missed);
      await scenario.harness.advance(500);
      await apply();
    },
  },
  {
    name: 'the worker has no session when the next leader finds the cause',
    play: async (scenario, apply) => {
      await scenario.unlist(scenario.missed);
      await scenario.killLeader();
      await apply();
      await scenario.harness.advance(500);
      await scenario.list(scenario.missed);
    },
  },
  {
    name: 'the leader is killed after the cause, and the next one has no session',
    play: async (scenario, apply) => {
      scenario.missed.stopFaults = Array.from({ length: 20 }, () => 'unhealthy');
      await apply();
      await scenario.harness.advance(1_000);
      scenario.missed.stopFaults = [];
      await scenario.unlist(scenario.missed);
      await scenario.killLeader();
      await scenario.list(scenario.missed);
    },
  },
  {
    name: 'the leader is killed before it has recorded the cause',
    play: async (scenario, apply) => {
      scenario.setStoreDown(true);
      await apply();
      await scenario.harness.advance(300);
      await scenario.killLeader();
    },
  },
  {
    name: 'the session is replaced while the stop misses',
    play: async (scenario, apply) => {
      scenario.missed.stopFaults = Array.from({ length: 20 }, () => 'unhealthy');
      await apply();
      await scenario.harness.advance(300);
      await scenario.harness.register({ ...scenario.missed.entry, address: '10.0.0.9:80' });
      await scenario.harness.advance(300);
      scenario.missed.stopFaults = [];
    },
  },
];

describe.each(CAUSES)('a run is stopped after $name', ({ step, apply }) => {
  test.each(MISSES)('although $name', async ({ play }) => {
    const scenario = new Scenario();
    await scenario.start(step);
    const obsolete = [...scenario.missed.runs.keys()];
    await play(scenario, () => apply(scenario));
    await scenario.harness.advance(STOP_LIMIT_MS);
    for (const key of obsolete) expect([...scenario.missed.runs.keys()]).not.toContain(key);
  });
});
