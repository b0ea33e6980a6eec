/** Guards against a second run while a leader that is cut off together with a worker renews the worker's lease. */
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { CutOffGateway } from './_cut_off_gateway';
import { FAKE_LEASE_MS } from './_fake_worker_gateway';
import { maxRunning, startLastingTask, type LastingDeployment } from './_lasting_deployment';
import type { HarnessProcess } from './_placement_harness';

/** Longest time from the last renewal of a lease to its end, with a takeover and a slow clock. */
const MAX_EXPIRY_MS = 14_000;

interface IsolatedLeader extends LastingDeployment {
  /** Reaches the store once `storeOutageMs` have passed, and the worker with the task once the cut has ended. */
  readonly successor: HarnessProcess;
  readonly endCut: () => Promise<void>;
}

/** Cuts the leader and the worker with the task off from everything else. */
async function isolate(storeOutageMs = 0): Promise<IsolatedLeader> {
  const deployment = await startLastingTask();
  const { harness, leader, runner } = deployment;
  let isCut = true;
  const successor = harness.process('successor');
  successor.gateway = new CutOffGateway(
    harness.gateway,
    (workerId) => !isCut || workerId !== runner.entry.workerId,
  );
  leader.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
  successor.store.faults = { ...NO_ROW_STORE_FAULTS, down: true };
  harness.clock.schedule(storeOutageMs, () => {
    successor.store.faults = NO_ROW_STORE_FAULTS;
  });
  harness.clock.schedule(4_500, () => {
    if (isCut) void harness.writeEntry(runner.entry.workerId, null);
  });
  void successor.run();
  const endCut = async (): Promise<void> => {
    isCut = false;
    leader.store.faults = NO_ROW_STORE_FAULTS;
    await harness.register(runner.entry);
  };
  return { ...deployment, successor, endCut };
}

describe('a task whose worker and leader are cut off from all others together', () => {
  test.each([3_000, 5_000, 10_000, 12_500, 15_000, 25_000, 60_000])(
    'has one run at most during a cut of %i ms, and one after it',
    async (cutMs) => {
      const deployment = await isolate();
      let max = await maxRunning(deployment, cutMs);
      await deployment.endCut();
      max = Math.max(max, await maxRunning(deployment, MAX_EXPIRY_MS));
      expect(max).toBe(1);
      expect(deployment.runner.runs.size + deployment.other.runs.size).toBe(1);
    },
  );

  test('starts again elsewhere during a long cut', async () => {
    const deployment = await isolate();
    await maxRunning(deployment, 2_600 + MAX_EXPIRY_MS);
    expect(deployment.other.runs.size).toBe(1);
  });

  test.each([0, 5_000, 9_000, 20_000])(
    'has one run at most if the other process rules itself out until it leads, with the store back after %i ms',
    async (storeOutageMs) => {
      const deployment = await isolate(storeOutageMs);
      const { leader, successor, runner } = deployment;
      leader.ruleOutSuccessor = () => Promise.resolve(successor.leader === null);
      let max = await maxRunning(deployment, storeOutageMs);
      expect(runner.runs.size).toBe(1);
      max = Math.max(max, await maxRunning(deployment, 3_000 + 2 * FAKE_LEASE_MS));
      expect(max).toBe(1);
      expect(deployment.other.runs.size).toBe(1);
    },
  );
});
