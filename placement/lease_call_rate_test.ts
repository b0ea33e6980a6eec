/** Guards against lease calls that follow each other without a pause while the leader may not act. */
import { NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { LASTING, LASTING_JOB } from './_lasting_deployment';
import { PlacementHarness } from './_placement_harness';

/** Number of calls at one moment of the virtual clock that shows a loop without a pause. */
const MAX_CALLS_AT_ONCE = 200;

function rejectCallsWithoutPause({ clock, gateway }: PlacementHarness): void {
  let calls = 0;
  let sinceMs = 0;
  const renewLease = gateway.renewLease.bind(gateway);
  gateway.renewLease = (address, command) => {
    calls = clock.monotonicMs() === sinceMs ? calls + 1 : 1;
    sinceMs = clock.monotonicMs();
    if (calls > MAX_CALLS_AT_ONCE) throw new Error(`Calls without a pause: ${JSON.stringify(command)}`);
    return renewLease(address, command);
  };
}

test('a worker whose ends are stored and not acknowledged is not called without a pause', async () => {
  const harness = new PlacementHarness();
  const workers = [
    await harness.addWorker('w1'),
    await harness.addWorker('w2'),
    await harness.addWorker('w3'),
  ];
  const process = harness.process('a');
  void process.run();
  rejectCallsWithoutPause(harness);
  await harness.submit(LASTING_JOB, [LASTING]);
  await harness.advance(1_000);
  const runner = workers.find(({ runs }) => runs.size > 0);
  if (runner === undefined) throw new Error('The task does not run.');
  runner.isReachable = false;
  await harness.advance(3_776);
  await harness.writeEntry(runner.entry.workerId, null);
  await harness.advance(3_995);
  for (const { entry, isReachable } of workers) if (isReachable) await harness.register(entry);
  await harness.advance(3_007);
  runner.isReachable = true;
  await harness.advance(4_000);
  // Transactions get no response, so that the leader may not act and acknowledges nothing.
  process.store.faults = { ...NO_ROW_STORE_FAULTS, applyDelayMs: 1_500 };
  await harness.advance(3_517);
  process.store.faults = NO_ROW_STORE_FAULTS;
  for (const { entry } of workers) await harness.register(entry);
  await harness.advance(4_000);
  expect(process.leader?.isActive()).toBe(true);
}, 20_000);
