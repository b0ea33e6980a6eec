/** Guards against a wave that is reported as completed while an instance of it stays without maintenance. */
import type { InstanceInventory } from '../scheduling/instance_operations';
import { listInstance } from './_lasting_deployment';
import { PlacementHarness } from './_placement_harness';

const WAVE = { waveNumber: 1, timeLimitMs: 5_000, maxConcurrent: 2 };

async function startLeader(...listed: readonly string[]): Promise<PlacementHarness> {
  const harness = new PlacementHarness();
  for (const workerId of listed) listInstance(harness, workerId);
  void harness.process('a').run();
  await harness.advance(3_100);
  return harness;
}

function orderWave(harness: PlacementHarness, instanceIds: readonly string[]): void {
  harness.waves.set(WAVE.waveNumber, { ...WAVE, instanceIds });
}

function maintainedInstances(harness: PlacementHarness): readonly string[] {
  return harness.instances.commands
    .filter((command) => command.startsWith('maintain'))
    .map((command) => command.split(' ')[1] ?? '')
    .sort();
}

describe('a wave', () => {
  test.each([0, 50, 300, 700, 950])(
    'waits for instances that were added %i ms before it, which the latest read does not show',
    async (ageMs) => {
      const harness = await startLeader('w1');
      for (const workerId of ['new1', 'new2']) listInstance(harness, workerId);
      await harness.advance(ageMs);
      orderWave(harness, ['m-w1', 'm-new1', 'm-new2']);
      for (let passedMs = 0; passedMs < 6_000; passedMs += 50) {
        await harness.advance(50);
        const isCompleted = (await harness.waveStatus(1)) === 'true';
        if (isCompleted) expect(maintainedInstances(harness)).toEqual(['m-new1', 'm-new2', 'm-w1']);
      }
      expect(await harness.waveStatus(1)).toBe('true');
    },
  );

  test('is completed without an instance that was removed', async () => {
    const harness = await startLeader('w1');
    orderWave(harness, ['m-w1', 'm-removed']);
    await harness.advance(5_000);
    expect(maintainedInstances(harness)).toEqual(['m-w1']);
    expect(await harness.waveStatus(1)).toBe('true');
  });

  test('is not completed while the instance list cannot show that an instance was removed', async () => {
    const harness = await startLeader('w1');
    const list = (): Promise<InstanceInventory> =>
      Promise.resolve({ instances: [...harness.instances.instances.values()], isComplete: false });
    harness.instances.list = list;
    orderWave(harness, ['m-w1', 'm-undecodable']);
    await harness.advance(10_000);
    expect(await harness.waveStatus(1)).toBe('false');
  });

  test('is reopened for an instance that is listed only after it was completed', async () => {
    const harness = await startLeader('w1');
    orderWave(harness, ['m-w1', 'm-late']);
    await harness.advance(5_000);
    listInstance(harness, 'late');
    await harness.advance(3_000);
    expect(maintainedInstances(harness)).toEqual(['m-late', 'm-w1']);
    expect(await harness.waveStatus(1)).toBe('true');
  });

  test('is in progress again once the operator adds an instance to it', async () => {
    const harness = await startLeader('w1', 'w2');
    orderWave(harness, ['m-w1']);
    await harness.advance(3_000);
    orderWave(harness, ['m-w1', 'm-w2']);
    await harness.advance(3_000);
    expect(maintainedInstances(harness)).toEqual(['m-w1', 'm-w2']);
  });
});
