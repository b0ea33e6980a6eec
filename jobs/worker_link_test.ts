/** Guards against commands of an entry instance that has lost its role, and against tasks that start twice or unnoticed after a lost message. */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryWorkerControl, NO_WORKER_FAULTS } from '../platform/memory_worker_control';
import { TaskHost } from '../platform/task_host';
import { WorkerOutcomeUnknownError } from '../platform/worker_control';
import { NotHolderError, SAFE_TASK_END_WAIT_MS, WorkerLink } from './worker_link';

const WORKER = { instanceId: 'worker-1', host: '127.0.0.1', port: 1 };
const EMPTY_RENEWAL = { keep: [], stop: [], forget: [] };
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

async function advanceAndAwait<T>(clock: VirtualClock, call: Promise<T>, ms: number): Promise<T> {
  call.catch(() => undefined);
  await clock.advanceAsync(ms, 50);
  return call;
}

describe('WorkerLink', () => {
  test('sends no command, queued or new, once the placement leader may no longer act', async () => {
    const { clock, host, control, link, state } = setUp();
    control.faults = { ...NO_WORKER_FAULTS, requestDelayMs: 500 };
    const polled = link.poll(() => EMPTY_RENEWAL);
    const started = link.start(SPEC);
    started.catch(() => undefined);
    await clock.advanceAsync(600, 50);
    state.mayAct = false;
    await expect(advanceAndAwait(clock, polled, 1_000)).resolves.toBeUndefined();
    await expect(started).rejects.toThrow(NotHolderError);
    expect(host.intervals()).toEqual([]);
  });

  test('a start whose response was lost is found in the task list of a new session', async () => {
    const { clock, control, link } = setUp();
    await advanceAndAwait(
      clock,
      link.poll(() => EMPTY_RENEWAL),
      300,
    );
    control.faults = { ...NO_WORKER_FAULTS, loseAnswers: 1 };
    await expect(advanceAndAwait(clock, link.start(SPEC), 300)).rejects.toThrow(WorkerOutcomeUnknownError);
    expect(link.isOpen()).toBe(false);
    await advanceAndAwait(
      clock,
      link.poll(() => EMPTY_RENEWAL),
      300,
    );
    expect(link.report('a/1')?.phase).toBe('running');
  });

  test('a start that arrives after its sender timed out and listed the tasks again does not run', async () => {
    const { clock, host, control, link } = setUp();
    await advanceAndAwait(
      clock,
      link.poll(() => EMPTY_RENEWAL),
      300,
    );
    control.faults = { ...NO_WORKER_FAULTS, requestDelayMs: 2_500 };
    await expect(advanceAndAwait(clock, link.start(SPEC), 1_300)).rejects.toThrow(WorkerOutcomeUnknownError);
    control.faults = NO_WORKER_FAULTS;
    await advanceAndAwait(
      clock,
      link.poll(() => EMPTY_RENEWAL),
      300,
    );
    expect([link.isOpen(), link.report('a/1')]).toEqual([true, undefined]);
    await clock.advanceAsync(2_000);
    expect(host.intervals()).toEqual([]);
  });

  test('states when the tasks on an unreachable worker have ended', async () => {
    const { clock, link } = setUp();
    expect(link.tasksEndAtMs()).toBe(11_000);
    clock.advance(20_000);
    await advanceAndAwait(
      clock,
      link.poll(() => EMPTY_RENEWAL),
      300,
    );
    expect(link.tasksEndAtMs()).toBeGreaterThanOrEqual(20_000 + SAFE_TASK_END_WAIT_MS);
  });

  test('reports a stale epoch when the worker has accepted a newer one', async () => {
    const { clock, host, link, state } = setUp();
    host.open('vats', 4);
    await expect(advanceAndAwait(clock, link.start(SPEC), 300)).rejects.toThrow('Epoch 4');
    expect(state.stale).toBe(1);
  });
});
