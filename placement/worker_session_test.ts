/** Guards against a busy leader that spends one lease call on each run that ends. */
import { VirtualClock } from '../kernel/virtual_clock';
import type { TaskId } from '../scheduling/job_definition';
import type { LeaseResponse, RenewLeaseCommand, WorkerAddress } from '../scheduling/worker_gateway';
import { FAKE_LEASE_MS, FakeWorkerGateway } from './_fake_worker_gateway';
import { fakeWorkerEntry } from './_placement_harness';
import { SessionListener, type ObservedEndedRun } from './session_listener';
import { WorkerSession } from './worker_session';

const RUNS = 20;
const BETWEEN_ENDS_MS = 30;
const RECORD_MS = 20;

class CountingGateway extends FakeWorkerGateway {
  leaseCalls = 0;

  override renewLease(address: WorkerAddress, command: RenewLeaseCommand): Promise<LeaseResponse> {
    this.leaseCalls += 1;
    return super.renewLease(address, command);
  }
}

class RecordingListener extends SessionListener {
  readonly endedTasks: TaskId[] = [];

  constructor(private readonly clock: VirtualClock) {
    super();
  }

  override onRunsEnded(session: WorkerSession, endedRuns: readonly ObservedEndedRun[]): void {
    this.endedTasks.push(...endedRuns.map(({ task }) => task));
    this.clock.schedule(RECORD_MS, () => {
      session.markRecorded(endedRuns.at(-1)?.sequenceNumber ?? 0);
    });
  }

  override onFenced(): void {
    throw new Error('No other leader exists.');
  }
  override onReady = (): void => undefined;
  override onStartRejected = (): void => undefined;
  override onLeaseExpired = (): void => undefined;
  override onRunLost = (): void => undefined;
  override onProgress = (): void => undefined;
  override onUnusableEntries = (): void => undefined;
  override onStopFailed = (): void => undefined;
  override onFirstReport = (): void => undefined;
  override onRestarted = (): void => undefined;
  override onReplaced = (): void => undefined;
}

/** Plays runs that end one after the other. Returns the number of lease calls and of ends that were reported. */
async function play(pauseMs: number): Promise<{ readonly leaseCalls: number; readonly ends: number }> {
  const clock = new VirtualClock();
  const gateway = new CountingGateway(clock);
  const entry = fakeWorkerEntry('w');
  const worker = gateway.add(entry);
  const listener = new RecordingListener(clock);
  const session = new WorkerSession({
    clock,
    gateway,
    listener,
    entry,
    fencingToken: 1,
    maxLeaseMs: FAKE_LEASE_MS,
    mayAct: () => true,
    uncertainForMs: () => 0,
    inherited: [],
    knownLeaseEndMs: null,
    mayRequestLease: () => true,
    onLeaseWithheld: () => undefined,
  });
  session.setReportPause(pauseMs);
  void session.run();
  await clock.advanceAsync(100);
  for (let index = 0; index < RUNS; index += 1) {
    const task = { jobId: 'j', occurrence: 0, step: 0, index };
    session.start({ task, run: 1, spec: '', checkpoint: '', ticket: null });
  }
  await clock.advanceAsync(100);
  const callsBefore = gateway.leaseCalls;
  for (const run of [...worker.runs.values()]) {
    worker.finish(run, 'done');
    await clock.advanceAsync(BETWEEN_ENDS_MS);
  }
  await clock.advanceAsync(pauseMs + RECORD_MS + 100);
  session.close();
  return { leaseCalls: gateway.leaseCalls - callsBefore, ends: listener.endedTasks.length };
}

test('with a pause between reports, one lease call reports several ends, and none is missed', async () => {
  const without = await play(0);
  const paused = await play(150);
  expect(without.ends).toBe(RUNS);
  expect(paused.ends).toBe(RUNS);
  expect(paused.leaseCalls).toBeLessThan(without.leaseCalls / 2);
});
