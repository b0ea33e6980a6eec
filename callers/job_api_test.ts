/** Guards against a call without a true answer because a row cannot be decoded. */
import { VirtualClock } from '../kernel/virtual_clock';
import { queueStatusAddress } from '../placement/queue_status';
import { PlacementHarness } from '../placement/_placement_harness';
import { WireCallerCodec } from '../platform/wire_caller_codec';
import { progressAddress } from '../scheduling/job_rows';
import { MemoryRowStore } from '../store/memory_row_store';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { jobApi } from './job_api';
import { StoreJobOperations } from './store_job_operations';

const JOB = '00000000000000aa';

test.each([
  ['the state of a job', JOB, { ...progressAddress(JOB), value: '{"encoding":1e400}' }],
  ['the number of pending jobs', '', { ...queueStatusAddress('q'), value: '{"pending":-1}' }],
])('a request for %s with an unusable row is answered with 503', async (_name, path, row) => {
  const harness = new PlacementHarness();
  await harness.writeRow(row);
  const clock = new VirtualClock();
  const counters = new MemoryCounters();
  const app = jobApi({
    clock,
    codec: new WireCallerCodec(),
    jobs: new StoreJobOperations({ store: new MemoryRowStore(harness.rows, clock), clock }),
    rules: () => ({ ...harness.rules, teamByKey: new Map([['k', 't']]) }),
    counters,
    logger: Logger.create({ level: 'silent' }),
  });
  const headers = { host: 'h', authorization: 'Token k' };
  const response = await app.request(`/q/${path}`, { headers });
  expect(response.status).toBe(503);
  expect(counters.snapshot().get('calls.refused:row_unusable')).toBe(1);
});
