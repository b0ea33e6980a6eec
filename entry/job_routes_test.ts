/** Guards against job requests that are decoded wrongly or rejected with the wrong result code. */
import { Hono } from 'hono';
import { VirtualClock } from '../kernel/virtual_clock';
import { JobService } from '../jobs/job_service';
import { JobStore } from '../jobs/job_store';
import { testFleet } from '../jobs/_test_fleet';
import { MemoryTableService } from '../platform/memory_table_service';
import { TableStore } from '../platform/table_store';
import { MemoryCounters } from '../telemetry/counters';
import { JobRoutes } from './job_routes';
import { problemResponse } from './problem';

function jobsApp(): Hono {
  const clock = new VirtualClock();
  const service = new JobService({
    clock,
    freshFleet: () => testFleet({ workers: 1 }),
    store: new JobStore(new MemoryTableService(new TableStore(), clock), clock),
    counters: new MemoryCounters(),
    onChanged: () => undefined,
  });
  const app = new Hono();
  new JobRoutes(service).addTo(app);
  app.onError((error) => problemResponse(error));
  return app;
}

const HEADERS = { authorization: 'Bearer red-key', 'idempotency-key': 'run-7' };
const JOB = { queueId: 'stir', processors: 1, memoryBytes: 1, runTimeMs: 1_000 };

describe('JobRoutes', () => {
  test('a job that is submitted twice with one idempotency key is one job, which can be read and cancelled', async () => {
    const app = jobsApp();
    const submit = () =>
      app.request('/v1/jobs', { method: 'POST', headers: HEADERS, body: JSON.stringify(JOB) });
    const submitted = await submit();
    expect(submitted.status).toBe(201);
    const job = (await submitted.json()) as { readonly jobId: string };
    expect(await (await submit()).json()).toEqual(job);
    const path = `/v1/jobs/${job.jobId}`;
    expect(await (await app.request(path, { headers: HEADERS })).json()).toMatchObject({ state: 'waiting' });
    const cancelled = await app.request(path, { method: 'DELETE', headers: HEADERS });
    expect(await cancelled.json()).toMatchObject({ state: 'cancelled' });
  });

  test.each([
    ['a body that is not JSON', HEADERS, '{', 1001],
    ['an unknown field', HEADERS, JSON.stringify({ ...JOB, nice: 1 }), 1001],
    ['a size that is not positive', HEADERS, JSON.stringify({ ...JOB, processors: 0 }), 1001],
    ['a request without a key', {}, JSON.stringify(JOB), 1002],
    ['a job that fits no instance', HEADERS, JSON.stringify({ ...JOB, processors: 33 }), 6002],
  ])('%s is rejected with its result code', async (_, headers, body, code) => {
    const response = await jobsApp().request('/v1/jobs', { method: 'POST', headers, body });
    expect(await response.json()).toMatchObject({ code, outcome: 'not_run' });
  });
});
