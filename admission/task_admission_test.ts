import { FakeDeployment } from '../bench/fake_deployment';
import { fakeFleet, fakeQueue } from '../bench/fake_fleet';
import type { Admission } from './admission_gate';
import { WeightedFair } from './weighted_fair';

const QUEUE = fakeQueue('q', 'p');
const SLOTS = 4;
const UPPER_LIMIT = 6;

interface Admitted {
  readonly requests: readonly Admission[];
  readonly tasks: readonly Admission[];
}

/** Submits requests and then tasks that never end; returns those that were admitted. */
async function admitAll(requests: number, tasks: number): Promise<Admitted> {
  const fleet = fakeFleet({
    teams: [{ teamId: 'a', shareWeight: 1, upperLimit: UPPER_LIMIT }],
    queues: [QUEUE],
    workers: new Map([['p', 1]]),
    slots: SLOTS,
    revision: 1,
  });
  const deployment = new FakeDeployment({ members: 1, fleet, newPolicy: () => new WeightedFair(), seed: 3 });
  const [member] = deployment.members;
  const admissions = { requests: [] as Admission[], tasks: [] as Admission[] };
  const submit = (occupiesSlot: boolean, admitted: Admission[]): void => {
    const base = { requestId: 'r', teamId: 'a', queue: QUEUE, priority: 'normal' as const, occupiesSlot };
    const signal = new AbortController().signal;
    void member
      ?.admit({ ...base, deadlineAtMs: 600_000, signal })
      .then((admission) => admitted.push(admission));
  };
  for (let index = 0; index < requests; index += 1) submit(true, admissions.requests);
  await deployment.clock.advanceAsync(1_000);
  for (let index = 0; index < tasks; index += 1) submit(false, admissions.tasks);
  await deployment.clock.advanceAsync(1_000);
  return admissions;
}

describe('admission of tasks', () => {
  test('a task starts while requests occupy all slots, so that requests cannot block an urgent job', async () => {
    const { requests, tasks } = await admitAll(SLOTS + 2, 1);
    expect(requests).toHaveLength(SLOTS);
    expect(tasks).toHaveLength(1);
  });

  test('tasks and requests together never exceed the upper limit of the team', async () => {
    const { requests, tasks } = await admitAll(SLOTS, UPPER_LIMIT);
    expect(requests.length + tasks.length).toBe(UPPER_LIMIT);
  });

  test('tasks occupy no slots, so that more tasks than slots can run', async () => {
    const { tasks } = await admitAll(0, UPPER_LIMIT);
    expect(tasks).toHaveLength(UPPER_LIMIT);
  });
});
