/** Guards against pool sizes that follow the capacity of a worker that only another writer's entry claims. */
import type { WorkerEntry } from '../scheduling/worker_entry';
import { fakeWorkerEntry } from './_placement_harness';
import { meanCapacity } from './leader_reporter';

const CLAIMED = { processors: 100_000, memoryBytes: 2 ** 50, accelerators: 100_000 };

function sessionOf(entry: WorkerEntry, isReachable: boolean): Parameters<typeof meanCapacity>[0][number] {
  return { entry, isReachable: () => isReachable };
}

test('the mean capacity is that of the workers that respond', () => {
  const worker = fakeWorkerEntry('w1');
  const claimed = fakeWorkerEntry('odd', { capacity: CLAIMED });
  expect(meanCapacity([sessionOf(worker, true), sessionOf(claimed, false)])).toEqual(worker.capacity);
});

test('the mean capacity is that of all workers while none responds', () => {
  const worker = fakeWorkerEntry('w1');
  expect(meanCapacity([sessionOf(worker, false), sessionOf(worker, false)])).toEqual(worker.capacity);
});
