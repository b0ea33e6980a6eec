/** Guards against tasks that stay without a run after their worker has left, while leaders change. */
import { FAKE_LEASE_MS } from './_fake_worker_gateway';
import { listInstance, startLastingTask, type LastingDeployment } from './_lasting_deployment';

/** Time for which each leader leads before it is killed; shorter than the longest lease of a worker. */
const LEADER_LIFE_MS = 8_000;

/** Longest time from the loss of a worker to the end of its lease, with a slow clock and a takeover. */
const MAX_EXPIRY_MS = 14_000;

/** Cuts a worker off for good; the registry drops its entry after three missed heartbeats. */
async function cutOff({ harness, runner }: LastingDeployment): Promise<void> {
  runner.isReachable = false;
  await harness.advance(4_500);
  await harness.writeEntry(runner.entry.workerId, null);
}

describe('a task whose worker has left', () => {
  test('starts again although each leader is killed before the lease of the worker ends', async () => {
    const deployment = await startLastingTask();
    const { harness, other } = deployment;
    let { leader } = deployment;
    await cutOff(deployment);
    for (let waitedMs = 4_500; waitedMs < MAX_EXPIRY_MS + LEADER_LIFE_MS; waitedMs += LEADER_LIFE_MS) {
      leader.kill();
      leader = harness.process(`successor-${waitedMs}`);
      void leader.run();
      await harness.advance(LEADER_LIFE_MS);
    }
    expect(other.runs.size).toBe(1);
  });

  test('starts again at once after its instance is removed from the instance list', async () => {
    const deployment = await startLastingTask();
    const { harness, runner, other } = deployment;
    runner.isReachable = false;
    harness.instances.instances.delete(runner.entry.instanceId);
    await harness.advance(4_000);
    expect(other.runs.size).toBe(1);
  });

  test('starts again at once under a new leader that finds its instance down', async () => {
    const deployment = await startLastingTask();
    const { harness, leader, runner, other } = deployment;
    runner.isReachable = false;
    leader.kill();
    await harness.writeEntry(runner.entry.workerId, null);
    listInstance(harness, runner.entry.workerId, 'down');
    void harness.process('b').run();
    await harness.advance(6_000);
    expect(other.runs.size).toBe(1);
  });

  test('does not start elsewhere while a lease that a later leader renewed may last', async () => {
    const deployment = await startLastingTask();
    const { harness, leader, runner, other } = deployment;
    runner.isReachable = false;
    await harness.advance(6_000);
    runner.isReachable = true;
    await harness.advance(3_000);
    leader.kill();
    runner.isReachable = false;
    await harness.writeEntry(runner.entry.workerId, null);
    void harness.process('b').run();
    await harness.advance(FAKE_LEASE_MS - 1_000);
    expect(other.starts).toEqual([]);
    await harness.advance(MAX_EXPIRY_MS);
    expect(other.runs.size).toBe(1);
  });
});
