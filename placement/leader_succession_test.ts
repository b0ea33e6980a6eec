/** Guards against a small machine that keeps the role after an outage although a larger one could lead. */
import { Logger } from '../telemetry/logger';
import { LeaderSuccession } from './leader_succession';
import { PlacementHarness, STEP } from './_placement_harness';

const JOB = '00000000000000aa';

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
