/** Guards against a second run while a leader that lost the store goes on renewing a lease that its successors cannot see. */
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { FAKE_LEASE_MS } from './_fake_worker_gateway';
import { maxRunning, startLastingTask } from './_lasting_deployment';

describe('a task whose worker is cut off together with the leader', () => {
  test('keeps its only run if an earlier leader that lost the store still renews the lease', async () => {
    const deployment = await startLastingTask();
    const { harness, leader, runner } = deployment;
    // The worker is cut off from the store, and the leader as well.
    await harness.writeEntry(runner.entry.workerId, null);
    leader.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    void harness.process('b').run();
    expect(await maxRunning(deployment, 3_000 + 2 * FAKE_LEASE_MS)).toBe(1);
  });

  test('does not shorten the wait below what an earlier leader without the store has renewed', async () => {
    const deployment = await startLastingTask();
    const { harness, leader, runner } = deployment;
    await harness.writeEntry(runner.entry.workerId, null);
    leader.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    const second = harness.process('b');
    void second.run();
    let max = await maxRunning(deployment, 8_000);
    leader.kill();
    second.kill();
    void harness.process('c').run();
    max = Math.max(max, await maxRunning(deployment, 20_000));
    expect(max).toBe(1);
  });
});
