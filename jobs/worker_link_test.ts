import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryWorkerControl, NO_WORKER_FAULTS } from '../platform/memory_worker_control';
import { TaskHost } from '../platform/task_host';
import { WorkerOutcomeUnknownError } from '../platform/worker_control';
import { NotHolderError, SAFE_END_WAIT_MS, WorkerLink } from './worker_link';

const WORKER = { instanceId: 'worker-1', host: '127.0.0.1', port: 1 };
const NOTHING = { keep: [], stop: [], forget: [] };
const SPEC = {
  taskId: 'a/1',
  jobId: 'a',
  demand: { processors: 1, memoryBytes: 1, accelerators: 0 },
  payload: JSON.stringify({ runTimeMs: 60_000 }),
  checkpoint: null,
};

function setUp() {
  const clock = new VirtualClock();
  const host = new TaskHost(clock);
  const control = new MemoryWorkerControl(new Map([['worker-1', host]]), clock);
  const state = { mayAct: true, stale: 0 };
  const link = new WorkerLink({
    clock,
    control,
    worker: WORKER,
    poolId: 'vats',
    epoch: 3,
    mayAct: () => state.mayAct,
    earlierTasksEndAtMs: 11_000,
    onStaleEpoch: () => {
      state.stale += 1;
    },
  });
  return { clock, host, control, link, state };
}

async function after<T>(clock: VirtualClock, call: Promise<T>, ms: number): Promise<T> {
  call.catch(() => undefined);
  await clock.advanceAsync(ms, 50);
  return call;
}

describe('WorkerLink', () => {
  test('sends nothing when the holder may not act, not even a command that waited its turn', async () => {
    const { clock, host, control, link, state } = setUp();
    control.faults = { ...NO_WORKER_FAULTS, requestDelayMs: 500 };
    const polled = link.poll(() => NOTHING);
    const started = link.start(SPEC);
    started.catch(() => undefined);
    await clock.advanceAsync(600, 50);
    state.mayAct = false;
    await expect(after(clock, polled, 1_000)).resolves.toBeUndefined();
    await expect(started).rejects.toThrow(NotHolderError);
    expect(host.intervals()).toEqual([]);
  });

  test('a start whose answer was lost is found in the list of a new session', async () => {
    const { clock, control, link } = setUp();
    await after(
      clock,
      link.poll(() => NOTHING),
      300,
    );
    control.faults = { ...NO_WORKER_FAULTS, loseAnswers: 1 };
    await expect(after(clock, link.start(SPEC), 300)).rejects.toThrow(WorkerOutcomeUnknownError);
    expect(link.isOpen()).toBe(false);
    await after(
      clock,
      link.poll(() => NOTHING),
      300,
    );
    expect(link.report('a/1')?.phase).toBe('running');
  });

  test('a start that arrives after its sender gave up and listed again does not run', async () => {
    const { clock, host, control, link } = setUp();
    await after(
      clock,
      link.poll(() => NOTHING),
      300,
    );
    control.faults = { ...NO_WORKER_FAULTS, requestDelayMs: 2_500 };
    await expect(after(clock, link.start(SPEC), 1_300)).rejects.toThrow(WorkerOutcomeUnknownError);
    control.faults = NO_WORKER_FAULTS;
    await after(
      clock,
      link.poll(() => NOTHING),
      300,
    );
    expect([link.isOpen(), link.report('a/1')]).toEqual([true, undefined]);
    await clock.advanceAsync(2_000);
    expect(host.intervals()).toEqual([]);
  });

  test('tells when tasks have ended on a worker that cannot be reached', async () => {
    const { clock, link } = setUp();
    expect(link.tasksEndAtMs()).toBe(11_000);
    clock.advance(20_000);
    await after(
      clock,
      link.poll(() => NOTHING),
      300,
    );
    expect(link.tasksEndAtMs()).toBeGreaterThanOrEqual(20_000 + SAFE_END_WAIT_MS);
  });

  test('learns from a worker that a newer epoch has taken over', async () => {
    const { clock, host, link, state } = setUp();
    host.open('vats', 4);
    await expect(after(clock, link.start(SPEC), 300)).rejects.toThrow('Epoch 4');
    expect(state.stale).toBe(1);
  });
});
