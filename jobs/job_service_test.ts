/**
 * Guards against jobs that are accepted twice or without permission, and
 * against error outcomes that mislead the caller about what has happened.
 */
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryTableService, NO_TABLE_FAULTS } from '../platform/memory_table_service';
import { TableStore } from '../platform/table_store';
import { MemoryCounters } from '../telemetry/counters';
import { jobRequestSchema, type JobRequest } from './job';
import { JobService } from './job_service';
import { JobStore } from './job_store';
import { GIB, testFleet } from './_test_fleet';

function request(changes: Partial<JobRequest> = {}): JobRequest {
  const base = { queueId: 'stir', processors: 4, memoryBytes: GIB, runTimeMs: 1_000 };
  return jobRequestSchema.parse({ ...base, ...changes });
}

function setUp() {
  const clock = new VirtualClock();
  const table = new MemoryTableService(new TableStore(), clock);
  const store = new JobStore(table, clock);
  const state = { fresh: true, fleet: testFleet({ workers: 2 }), changes: 0 };
  const service = new JobService({
    clock,
    freshFleet: () => (state.fresh ? state.fleet : null),
    store,
    counters: new MemoryCounters(),
    onChanged: () => {
      state.changes += 1;
    },
  });
  return { clock, table, store, service, state };
}

describe('JobService', () => {
  test('a repeated submission with the same idempotency key returns the same job, and another request is rejected', async () => {
    const { service, store, state } = setUp();
    const submission = { request: request(), key: 'red-key', idempotencyKey: 'a' };
    const first = await service.submit(submission);
    expect((await service.submit(submission)).jobId).toBe(first.jobId);
    expect([...(await store.openJobs('vats')).keys()]).toEqual([first.jobId]);
    state.fleet = testFleet({ workers: 0 });
    expect((await service.submit(submission)).jobId).toBe(first.jobId);
    const other = { ...submission, request: request({ processors: 5 }) };
    await expect(service.submit(other)).rejects.toMatchObject({ result: { code: 1007 } });
  });

  test('a write whose response was lost is read back, so that the job is accepted once', async () => {
    const { clock, service, store, table } = setUp();
    table.faults = { ...NO_TABLE_FAULTS, loseAnswers: 1 };
    const submitted = service.submit({ request: request(), key: 'red-key', idempotencyKey: null });
    await clock.advanceAsync(1_000);
    expect([...(await store.openJobs('vats')).keys()]).toEqual([(await submitted).jobId]);
  });

  test('a job that fits no instance is rejected with the reason', async () => {
    const { service } = setUp();
    const submission = { request: request({ accelerators: 1 }), key: 'red-key', idempotencyKey: null };
    await expect(service.submit(submission)).rejects.toMatchObject({
      result: { code: 6002 },
      outcome: 'not_run',
      detail: expect.stringContaining('1 accelerators') as unknown,
    });
  });

  test('only the team of a job may read or cancel it', async () => {
    const { service } = setUp();
    const { jobId } = await service.submit({ request: request(), key: 'red-key', idempotencyKey: null });
    await expect(service.get(jobId, 'blue-key')).rejects.toMatchObject({ result: { code: 6001 } });
    await expect(service.cancel(jobId, 'blue-key')).rejects.toMatchObject({ result: { code: 6001 } });
    await expect(service.get(jobId, 'stolen')).rejects.toMatchObject({ result: { code: 1003 } });
    await expect(service.get(jobId, null)).rejects.toMatchObject({ result: { code: 1002 } });
  });

  test('cancelling twice has one effect, and a job on a worker keeps its state until the placement leader stops it', async () => {
    const { service, store, state } = setUp();
    const { jobId } = await service.submit({ request: request(), key: 'red-key', idempotencyKey: null });
    expect((await service.cancel(jobId, 'red-key')).state).toBe('cancelled');
    expect((await service.cancel(jobId, 'red-key')).state).toBe('cancelled');
    expect((await store.openJobs('vats')).size).toBe(0);
    expect(state.changes).toBe(2);
    const other = await service.submit({ request: request(), key: 'red-key', idempotencyKey: null });
    const stored = await store.read(other.jobId);
    if (stored) await store.update(stored, { ...stored.job, state: 'running', attempt: 1 });
    const cancelledJob = await service.cancel(other.jobId, 'red-key');
    expect(cancelledJob).toMatchObject({ state: 'running', cancelRequested: true });
  });

  test('nothing is accepted unless the configuration has recently been confirmed to be the newest', async () => {
    const { service, state } = setUp();
    state.fresh = false;
    const submission = { request: request(), key: 'red-key', idempotencyKey: null };
    await expect(service.submit(submission)).rejects.toMatchObject({ result: { code: 2005 } });
  });

  test('a submission during a table outage fails as not run', async () => {
    const { service, table } = setUp();
    table.faults = { ...NO_TABLE_FAULTS, down: true };
    const submission = { request: request(), key: 'red-key', idempotencyKey: null };
    await expect(service.submit(submission)).rejects.toMatchObject({
      result: { code: 5001 },
      outcome: 'not_run',
    });
  });
});
