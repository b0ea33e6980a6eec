/** Guards that a process without the store serves callers through another one, and refuses truthfully. */
import { serve, type ServerType } from '@hono/node-server';
import type { AddressInfo } from 'node:net';
import { StoreJobOperations } from '../callers/store_job_operations';
import { VirtualClock } from '../kernel/virtual_clock';
import { SystemClock } from '../kernel/system_clock';
import { STEP } from '../placement/_placement_harness';
import { MemoryRows, MemoryRowStore, NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { StoreOutcomeUnknownError, StoreUnavailableError } from '../store/row_store';
import { MemoryCounters } from '../telemetry/counters';
import { MAY_TAKE_OVER } from './relay_calls';
import { RelayClient } from './relay_client';
import { relayApp } from './relay_server';
import { RelayedDesk } from './relayed_desk';

const clock = new SystemClock();
const SUBMISSION = {
  jobId: '00000000000000aa',
  queueId: 'q',
  teamId: null,
  definition: { spec: '', steps: [STEP], repeat: null },
};

describe('RelayedDesk', () => {
  const rows = new MemoryRows();
  const near = new MemoryRowStore(rows, clock);
  const far = new MemoryRowStore(rows, new VirtualClock());
  let server: ServerType;
  let desk: RelayedDesk;
  let client: RelayClient;
  let isFarReachable = true;
  let addresses: readonly string[] = [];

  beforeAll(async () => {
    const app = relayApp({
      clock,
      desk: new StoreJobOperations({ store: far, clock }),
      isStoreReachable: () => isFarReachable,
      onTakeoverRequest: () => undefined,
    });
    const port = await new Promise<number>((resolve) => {
      server = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, (info: AddressInfo) => {
        resolve(info.port);
      });
    });
    addresses = [`127.0.0.1:${port}`];
    client = new RelayClient(() => addresses);
    desk = new RelayedDesk({
      clock,
      client,
      local: new StoreJobOperations({ store: near, clock }),
      isStoreReachable: () => true,
      counters: new MemoryCounters(),
    });
  });

  afterAll(() => {
    client.close();
    server.close();
  });

  beforeEach(() => {
    near.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    far.faults = NO_ROW_STORE_FAULTS;
    isFarReachable = true;
  });

  const untilMs = (): number => clock.monotonicMs() + 2_000;

  test('a job is accepted through another process, once', async () => {
    expect(await desk.submit({ ...SUBMISSION, deadlineAtMs: untilMs() })).toBe(true);
    expect(await desk.submit({ ...SUBMISSION, deadlineAtMs: untilMs() })).toBe(false);
    expect(await desk.state(SUBMISSION.jobId)).toBe('queued');
    expect(await desk.state('00000000000000ff')).toBeNull();
    expect(await desk.cancel(SUBMISSION.jobId)).toBe(true);
    expect(await desk.pending('q')).toBe(0);
  });

  test('a call is refused as not done when no process reaches the store', async () => {
    isFarReachable = false;
    await expect(desk.submit({ ...SUBMISSION, deadlineAtMs: untilMs() })).rejects.toThrow(
      StoreUnavailableError,
    );
  });

  test('a submission that may have been stored is not refused as not done', async () => {
    far.faults = { ...NO_ROW_STORE_FAULTS, applyDelayMs: 1 };
    const late = { ...SUBMISSION, jobId: '00000000000000bb', deadlineAtMs: untilMs() };
    await expect(desk.submit(late)).rejects.toThrow(StoreOutcomeUnknownError);
  });

  test('a process that finds the store down does not offer to take the role over', async () => {
    expect(await client.findAcceptingPeer(MAY_TAKE_OVER, {}, 500)).toBe(addresses[0]);
    far.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    expect(await client.findAcceptingPeer(MAY_TAKE_OVER, {}, 500)).toBeNull();
  });
});
