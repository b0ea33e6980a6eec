import { FakeDeployment } from '../bench/fake_deployment';
import { fakeFleet, fakeQueue } from '../bench/fake_fleet';
import type { Admission } from './admission_gate';
import { WeightedFair } from './weighted_fair';

const QUEUE = fakeQueue('q', 'p');
const SLOTS = 4;
const UPPER_LIMIT = 6;

interface Started {
  readonly requests: readonly Admission[];
  readonly tasks: readonly Admission[];
}

/** Offers more requests than slots and more tasks than the limit leaves; none of them ends. */
async function fill(requests: number, tasks: number): Promise<Started> {
  const fleet = fakeFleet({
    teams: [{ teamId: 'a', shareWeight: 1, upperLimit: UPPER_LIMIT }],
    queues: [QUEUE],
    workers: new Map([['p', 1]]),
    slots: SLOTS,
    revision: 1,
  });
  const deployment = new FakeDeployment({ members: 1, fleet, newPolicy: () => new WeightedFair(), seed: 3 });
  const [member] = deployment.members;
  const started = { requests: [] as Admission[], tasks: [] as Admission[] };
  const offer = (occupiesSlot: boolean, into: Admission[]): void => {
    const base = { requestId: 'r', teamId: 'a', queue: QUEUE, priority: 'normal' as const, occupiesSlot };
    const signal = new AbortController().signal;
    void member?.admit({ ...base, deadlineAtMs: 600_000, signal }).then((admission) => into.push(admission));
  };
  for (let index = 0; index < requests; index += 1) offer(true, started.requests);
  await deployment.clock.advanceAsync(1_000);
  for (let index = 0; index < tasks; index += 1) offer(false, started.tasks);
  await deployment.clock.advanceAsync(1_000);
  return started;
}

describe('tasks of jobs', () => {
  test('a task starts while requests fill every slot, so an urgent job is not kept waiting by them', async () => {
    const { requests, tasks } = await fill(SLOTS + 2, 1);
    expect(requests).toHaveLength(SLOTS);
    expect(tasks).toHaveLength(1);
  });

  test('tasks and requests together never pass the upper limit of the team', async () => {
    const { requests, tasks } = await fill(SLOTS, UPPER_LIMIT);
    expect(requests.length + tasks.length).toBe(UPPER_LIMIT);
  });

  test('tasks leave the slots to requests', async () => {
    const { tasks } = await fill(0, UPPER_LIMIT);
    expect(tasks).toHaveLength(UPPER_LIMIT);
  });
});
