/**
 * Guards against maintenance of instances with running tasks, for example because of an
 * outdated instance list.
 */
import type { InstanceStatus } from '../scheduling/instance_operations';
import { PlacementHarness, STEP } from './_placement_harness';

const INSTANCE: InstanceStatus = {
  instanceId: 'm-w1',
  poolId: 'p',
  state: 'up',
  availabilityZone: 'z',
  labels: [],
  capacity: { processors: 4, memoryBytes: 1_000, accelerators: 0 },
  workerId: 'w1',
};

describe('InstanceController', () => {
  test('maintains an idle instance of a wave once, and reports the wave as completed', async () => {
    const harness = new PlacementHarness();
    await harness.addWorker('w1');
    harness.instances.instances.set('m-w1', INSTANCE);
    harness.waves.set(1, { waveNumber: 1, instanceIds: ['m-w1'], timeLimitMs: 5_000, maxConcurrent: 1 });
    void harness.process('a').run();
    await harness.advance(4_000);
    expect(harness.instances.commands).toEqual(['maintain m-w1 1']);
    expect(await harness.waveStatus(1)).toBe('true');
  });

  test('does not maintain an instance whose new worker runs a task while the list still names the earlier worker', async () => {
    const harness = new PlacementHarness();
    await harness.addWorker('w1');
    harness.instances.instances.set('m-w1', { ...INSTANCE, workerId: 'earlier' });
    void harness.process('a').run();
    await harness.submit('00000000000000aa', [{ ...STEP, isLongRunning: true, maxUnavailable: 0 }]);
    await harness.advance(500);
    harness.waves.set(1, { waveNumber: 1, instanceIds: ['m-w1'], timeLimitMs: 1_000, maxConcurrent: 1 });
    await harness.advance(4_000);
    expect(harness.instances.commands).toEqual([]);
    expect(harness.runningCount()).toBe(1);
  });

  test('moves of instances whose maintenance has begun do not hold back the rest of their wave', async () => {
    const harness = new PlacementHarness();
    harness.rules = {
      ...harness.rules,
      pools: new Map([...harness.rules.pools, ['q', { poolId: 'q', spare: true }]]),
    };
    await Promise.all(['w1', 'w2'].map((id) => harness.addWorker(id)));
    const { instances } = harness.instances;
    instances.set('m-w1', INSTANCE);
    instances.set('m-w2', { ...INSTANCE, instanceId: 'm-w2', workerId: 'w2', state: 'down' });
    const instanceIds = ['m-w1', 'm-w2'];
    harness.waves.set(1, { waveNumber: 1, instanceIds, timeLimitMs: 6_000, maxConcurrent: 1 });
    void harness.process('a').run();
    await harness.advance(4_000);
    expect(harness.instances.commands).toEqual(['maintain m-w1 1']);
    // The spare instance is needed, so that it is moved; shortly after, the other one comes up.
    instances.set('m-w1', { ...INSTANCE, poolId: 'q' });
    while (!harness.instances.commands.includes('move m-w1 p')) await harness.advance(50);
    instances.set('m-w2', { ...INSTANCE, instanceId: 'm-w2', workerId: 'w2' });
    await harness.advance(700);
    expect(harness.instances.commands).toContain('maintain m-w2 1');
  });

  test('sends no more commands than the platform accepts, and the other instances stay where they are', async () => {
    const harness = new PlacementHarness();
    harness.instanceCommandsPerSecond = 20;
    harness.rules = {
      ...harness.rules,
      pools: new Map([...harness.rules.pools, ['q', { poolId: 'q', spare: true }]]),
    };
    await harness.addWorker('w1');
    harness.instances.instances.set('m-w1', INSTANCE);
    for (let number = 0; number < 60; number += 1) {
      const instanceId = `spare-${number}`;
      harness.instances.instances.set(instanceId, { ...INSTANCE, instanceId, poolId: 'q', workerId: '' });
    }
    void harness.process('a').run();
    await harness.submit('00000000000000aa', [{ ...STEP, taskCount: 200 }]);
    await harness.advance(1_000);
    const { length } = harness.instances.commands;
    expect(length).toBeGreaterThan(8);
    expect(length).toBeLessThanOrEqual(20);
  });

  test('moves a long-running task for a wave only within the limit of unavailable tasks of its step', async () => {
    const harness = new PlacementHarness();
    await Promise.all(['w1', 'w2', 'w3'].map((id) => harness.addWorker(id)));
    for (const id of ['w1', 'w2', 'w3']) {
      harness.instances.instances.set(`m-${id}`, { ...INSTANCE, instanceId: `m-${id}`, workerId: id });
    }
    void harness.process('a').run();
    await harness.submit('00000000000000aa', [
      { ...STEP, taskCount: 2, isLongRunning: true, maxUnavailable: 1, maxPerWorker: 1 },
    ]);
    await harness.advance(1_000);
    const instanceIds = ['m-w1', 'm-w2', 'm-w3'];
    harness.waves.set(1, { waveNumber: 1, instanceIds, timeLimitMs: 1_000, maxConcurrent: 3 });
    let minRunning = 2;
    for (let step = 0; step < 400; step += 1) {
      await harness.advance(20);
      minRunning = Math.min(minRunning, harness.runningCount());
    }
    expect(minRunning).toBe(1);
    expect(harness.instances.commands.length).toBeGreaterThan(0);
  });
});
