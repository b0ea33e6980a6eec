/** Guards instances with running tasks against orders that rest on an old list. */
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

describe('InstanceKeeper', () => {
  test('maintains an idle instance of a wave once, and reports the wave as completed', async () => {
    const world = new PlacementHarness();
    await world.addWorker('w1');
    world.instances.instances.set('m-w1', INSTANCE);
    world.waves.set(1, { waveNumber: 1, instanceIds: ['m-w1'], timeLimitMs: 5_000, maxConcurrent: 1 });
    void world.process('a').run();
    await world.advance(4_000);
    expect(world.instances.commands).toEqual(['maintain m-w1 1']);
    expect(await world.waveStatus(1)).toBe('true');
  });

  test('an instance whose new worker runs a task is not maintained although the list names its earlier worker', async () => {
    const world = new PlacementHarness();
    await world.addWorker('w1');
    world.instances.instances.set('m-w1', { ...INSTANCE, workerId: 'earlier' });
    void world.process('a').run();
    await world.submit('00000000000000aa', [{ ...STEP, isLongRunning: true, maxUnavailable: 0 }]);
    await world.advance(500);
    world.waves.set(1, { waveNumber: 1, instanceIds: ['m-w1'], timeLimitMs: 1_000, maxConcurrent: 1 });
    await world.advance(4_000);
    expect(world.instances.commands).toEqual([]);
    expect(world.runningCount()).toBe(1);
  });

  test('a lasting task leaves its instance for a wave only when its step may miss it', async () => {
    const world = new PlacementHarness();
    await Promise.all(['w1', 'w2', 'w3'].map((id) => world.addWorker(id)));
    for (const id of ['w1', 'w2', 'w3']) {
      world.instances.instances.set(`m-${id}`, { ...INSTANCE, instanceId: `m-${id}`, workerId: id });
    }
    void world.process('a').run();
    await world.submit('00000000000000aa', [
      { ...STEP, taskCount: 2, isLongRunning: true, maxUnavailable: 1, maxPerWorker: 1 },
    ]);
    await world.advance(1_000);
    const instanceIds = ['m-w1', 'm-w2', 'm-w3'];
    world.waves.set(1, { waveNumber: 1, instanceIds, timeLimitMs: 1_000, maxConcurrent: 3 });
    let least = 2;
    for (let step = 0; step < 400; step += 1) {
      await world.advance(20);
      least = Math.min(least, world.runningCount());
    }
    expect(least).toBe(1);
    expect(world.instances.commands.length).toBeGreaterThan(0);
  });
});
