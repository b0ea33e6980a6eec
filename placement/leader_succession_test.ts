/** Guards against a small machine that keeps the role after an outage although a larger one could lead. */
import { Logger } from '../telemetry/logger';
import { LeaderSuccession } from './leader_succession';
import type { InstanceStatus } from '../scheduling/instance_operations';
import { LEADER_LEASE_MS, PlacementHarness, STEP } from './_placement_harness';

const JOB = '00000000000000aa';

const INSTANCE: InstanceStatus = {
  instanceId: 'm-w1',
  poolId: 'p',
  state: 'up',
  availabilityZone: 'z',
  labels: [],
  capacity: { processors: 4, memoryBytes: 1_000, accelerators: 0 },
  workerId: 'w1',
};

test('a leader on a small machine makes way for a larger one, and no task starts twice', async () => {
  const harness = new PlacementHarness();
  const worker = await harness.addWorker('w1');
  const small = harness.process('small');
  void small.run();
  await harness.submit(JOB, [{ ...STEP, taskCount: 3 }]);
  await harness.advance(500);
  const { leader } = small;
  if (leader === null) throw new Error('There is no leader.');
  const large = harness.process('large');
  let largerAddresses: readonly string[] = [];
  let releaseCount = 0;
  const succession = new LeaderSuccession({
    clock: harness.clock,
    client: {
      findAcceptingPeer: (_method, _params, _timeoutMs, addresses) => Promise.resolve(addresses?.[0] ?? null),
      isAcceptedByAll: () => Promise.resolve(false),
      callPeer: (_address, _method, { epoch }: { readonly epoch?: number }) => {
        large.onLeaderResigned(epoch ?? 0);
        return Promise.resolve({ kind: 'done', value: true });
      },
    },
    largerPeerAddresses: () => largerAddresses,
    leader,
    epoch: 1,
    logger: Logger.create({ level: 'silent' }),
  });
  void succession.watchForLargerPeer(() => {
    releaseCount += 1;
  });
  void large.run();
  await harness.advance(5_000);
  expect(releaseCount).toBe(0);
  largerAddresses = ['large:1'];
  await harness.advance(2_000);
  expect(releaseCount).toBe(1);
  expect(large.leader?.isActive()).toBe(true);
  expect(leader.isActive()).toBe(false);
  await harness.submit('00000000000000bb', [STEP]);
  await harness.advance(500);
  worker.finishAll();
  await harness.advance(500);
  expect(await harness.state(JOB)).toBe('completed');
  expect(worker.starts).toHaveLength(4);
});

test('a leader that has just commanded an instance makes way only once a successor may command it', async () => {
  const harness = new PlacementHarness();
  await harness.addWorker('w1');
  harness.instances.instances.set('m-w1', INSTANCE);
  const small = harness.process('small');
  void small.run();
  await harness.advance(500);
  const { leader } = small;
  if (leader === null) throw new Error('There is no leader.');
  harness.waves.set(1, { waveNumber: 1, instanceIds: ['m-w1'], timeLimitMs: 5_000, maxConcurrent: 1 });
  while (harness.instances.commands.length === 0) await harness.advance(20);
  let releasedAtMs = 0;
  const commandedAtMs = harness.clock.monotonicMs();
  const succession = new LeaderSuccession({
    clock: harness.clock,
    client: {
      findAcceptingPeer: () => Promise.resolve('large:1'),
      isAcceptedByAll: () => Promise.resolve(false),
      callPeer: () => Promise.resolve({ kind: 'done', value: true }),
    },
    largerPeerAddresses: () => ['large:1'],
    leader,
    epoch: 1,
    logger: Logger.create({ level: 'silent' }),
  });
  void succession.watchForLargerPeer(() => {
    releasedAtMs = harness.clock.monotonicMs();
  });
  harness.waves.set(2, { waveNumber: 2, instanceIds: ['m-w1'], timeLimitMs: 5_000, maxConcurrent: 1 });
  await harness.advance(6_000);
  expect(releasedAtMs - commandedAtMs).toBeGreaterThanOrEqual(LEADER_LEASE_MS - 50);
  expect(harness.instances.commands).toEqual(['maintain m-w1 1']);
});
