/** Guards against overcommitted workers, against placing jobs on faulty workers, and against bursts of retries. */
import { RetryBudget, retryDelayMs } from './retry_policy';
import { UsageModel } from './usage_model';
import { WorkerHealth } from './worker_health';

const DECLARED = { processors: 10, memoryBytes: 100, accelerators: 2 };

describe('UsageModel', () => {
  test('scales declared sizes by a high quantile of earlier usage, never below what is reported now', () => {
    const model = new UsageModel();
    expect(model.estimate('stir', DECLARED, null)).toEqual(DECLARED);
    for (let task = 1; task <= 10; task += 1) {
      const usage = { processors: task, memoryBytes: 20 * task, accelerators: 0 };
      model.recordUsage('stir', `t${task}`, DECLARED, usage);
      model.recordUsage('stir', `t${task}`, DECLARED, { ...usage, processors: 0, memoryBytes: 0 });
    }
    expect(model.estimate('stir', DECLARED, null)).toEqual({
      processors: 10,
      memoryBytes: 200,
      accelerators: 2,
    });
    const reported = { processors: 30, memoryBytes: 1, accelerators: 2 };
    expect(model.estimate('stir', DECLARED, reported)).toMatchObject({ processors: 30, memoryBytes: 200 });
    expect(model.estimate('other', DECLARED, null)).toEqual(DECLARED);
  });

  test('uses only the latest tasks of a queue and estimates run times from theirs', () => {
    const model = new UsageModel();
    for (let task = 0; task < 10; task += 1) {
      model.recordUsage('stir', `old-${task}`, DECLARED, { ...DECLARED, processors: 1_000 });
    }
    for (let task = 0; task < 64; task += 1) {
      model.recordUsage('stir', `t${task}`, DECLARED, { ...DECLARED, processors: 5 });
      model.recordRunTime('stir', 1_000, 3_000);
    }
    expect(model.estimate('stir', DECLARED, null).processors).toBe(5);
    expect(model.expectedRunTimeMs('stir', 500)).toBe(1_500);
  });
});

describe('WorkerHealth', () => {
  function recordFailures(health: WorkerHealth, instanceId: string, times: number, nowMs = 0): void {
    for (let time = 0; time < times; time += 1) health.record(instanceId, false, nowMs, 9);
  }

  test('suspends a worker that fails every task, probes it, and doubles the backoff', () => {
    const health = new WorkerHealth(() => 0.5);
    for (let time = 0; time < 10; time += 1) health.record('good', true, 0, 9);
    recordFailures(health, 'bad', 3);
    expect(health.status('bad', 0)).toBe('suspended');
    expect(health.status('bad', 10_000)).toBe('probe');
    recordFailures(health, 'bad', 1, 10_000);
    expect(health.status('bad', 29_999)).toBe('suspended');
    health.record('bad', true, 30_000, 9);
    expect(health.status('bad', 30_000)).toBe('usable');
  });

  test('suspends no worker if all workers fail alike, and at most a third of the pool', () => {
    const uniformHealth = new WorkerHealth(() => 0.5);
    for (let time = 0; time < 5; time += 1) for (const id of ['a', 'b']) recordFailures(uniformHealth, id, 1);
    expect(uniformHealth.status('b', 0)).toBe('usable');
    const health = new WorkerHealth(() => 0.5);
    for (let time = 0; time < 20; time += 1) health.record('good', true, 0, 9);
    for (const id of ['a', 'b', 'c', 'd']) recordFailures(health, id, 3);
    expect(['a', 'b', 'c', 'd'].filter((id) => health.status(id, 0) === 'suspended')).toHaveLength(3);
    health.retainOnly(new Set(['c', 'd', 'good']));
    recordFailures(health, 'd', 1);
    expect(health.status('d', 0)).toBe('suspended');
  });
});

describe('retries', () => {
  test('back off with jitter', () => {
    expect([0, 0.999].map((random) => Math.round(retryDelayMs(1, random)))).toEqual([500, 1_499]);
    expect(retryDelayMs(3, 0.5)).toBe(4_000);
    expect(retryDelayMs(40, 0.5)).toBe(60_000);
  });

  test('are limited by a budget that first attempts and time refill', () => {
    const budget = new RetryBudget(0);
    const taken = Array.from({ length: 30 }, () => budget.tryWithdraw(0)).filter(Boolean);
    expect(taken).toHaveLength(10);
    for (let start = 0; start < 10; start += 1) budget.deposit();
    expect([budget.tryWithdraw(0), budget.tryWithdraw(0)]).toEqual([true, false]);
    expect(budget.tryWithdraw(1_000)).toBe(true);
  });
});
