/** Guards against a second run of a task because an incomplete or outdated list seems to show that its worker stopped. */
import { VirtualClock } from '../kernel/virtual_clock';
import {
  InstanceOperations,
  type InstanceInventory,
  type InstanceStatus,
} from '../scheduling/instance_operations';
import { MemoryCounters } from '../telemetry/counters';
import { InstanceDirectory } from './instance_directory';

function upInstance(instanceId: string, workerId: string): InstanceStatus {
  return {
    instanceId,
    poolId: 'p',
    state: 'up',
    availabilityZone: 'z',
    labels: [],
    capacity: { processors: 1, memoryBytes: 1, accelerators: 0 },
    workerId,
  };
}

class ScriptedOperations extends InstanceOperations {
  inventory: InstanceInventory = { instances: [], isComplete: true };

  override list(): Promise<InstanceInventory> {
    return Promise.resolve(this.inventory);
  }

  override move(): Promise<never> {
    throw new Error('No command is expected.');
  }

  override maintain(): Promise<never> {
    throw new Error('No command is expected.');
  }
}

/** Reads a list every 500 ms for `ms` and returns what it shows of worker w1 on instance m1 since 0. */
async function evidenceAfter(
  inventory: InstanceInventory,
  ms: number,
): Promise<{ readonly hasStopped: boolean; readonly isAbsent: boolean }> {
  const clock = new VirtualClock();
  const operations = new ScriptedOperations();
  operations.inventory = inventory;
  const directory = new InstanceDirectory({ clock, operations, counters: new MemoryCounters() });
  for (let passedMs = 0; passedMs < ms; passedMs += 500) {
    await clock.advanceAsync(500);
    directory.readSoon();
    await directory.refresh();
  }
  return {
    hasStopped: directory.hasWorkerStopped('m1', 'w1', 0),
    isAbsent: directory.isWorkerAbsent('w1', 0),
  };
}

const OTHER = upInstance('m2', 'w2');

describe('the instance list', () => {
  test('shows after two seconds that an instance was removed, or runs another worker', async () => {
    const removed = await evidenceAfter({ instances: [OTHER], isComplete: true }, 2_000);
    expect(removed).toEqual({ hasStopped: true, isAbsent: true });
    const replaced = await evidenceAfter({ instances: [upInstance('m1', 'w9')], isComplete: true }, 2_000);
    expect(replaced).toEqual({ hasStopped: true, isAbsent: true });
  });

  test.each([
    ['is empty', { instances: [], isComplete: true }, 2_000],
    ['has entries that cannot be decoded', { instances: [OTHER], isComplete: false }, 2_000],
    ['is younger than a second', { instances: [OTHER], isComplete: true }, 1_000],
    ['names the worker', { instances: [upInstance('m1', 'w1')], isComplete: true }, 2_000],
  ])('shows nothing if it %s', async (_, inventory, ms) => {
    expect(await evidenceAfter(inventory, ms)).toEqual({ hasStopped: false, isAbsent: false });
  });

  test('shows no absence while an instance that is up names no worker', async () => {
    const inventory = { instances: [OTHER, upInstance('m3', '')], isComplete: true };
    expect((await evidenceAfter(inventory, 2_000)).isAbsent).toBe(false);
  });

  test('shows nothing about a worker whose entry names no instance', async () => {
    const clock = new VirtualClock();
    const operations = new ScriptedOperations();
    operations.inventory = { instances: [OTHER], isComplete: true };
    const directory = new InstanceDirectory({ clock, operations, counters: new MemoryCounters() });
    for (let read = 0; read < 4; read += 1) {
      await clock.advanceAsync(1_000);
      await directory.refresh();
    }
    expect(directory.hasWorkerStopped('', 'w1', 0)).toBe(false);
  });
});
