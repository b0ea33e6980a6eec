/**
 * Guards against failed calls while another process could still reach the
 * store, and against reporting a call as not applied that may have been.
 */
import { serve, type ServerType } from '@hono/node-server';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { StoreJobOperations } from '../callers/store_job_operations';
import { testClientGuard } from '../entry/_client_guard_harness';
import { VirtualClock } from '../kernel/virtual_clock';
import { SystemClock } from '../kernel/system_clock';
import { STEP } from '../placement/_placement_harness';
import { MemoryRows, MemoryRowStore, NO_ROW_STORE_FAULTS } from '../store/memory_row_store';
import { StoreOutcomeUnknownError, StoreUnavailableError } from '../store/row_store';
import { MemoryCounters } from '../telemetry/counters';
import { MAY_TAKE_OVER } from './relay_calls';
import { ProcessRegistry } from './process_registry';
import { RelayClient } from './relay_client';
import { relayApp } from './relay_server';
import { ForwardingJobOperations } from './forwarding_job_operations';

const clock = new SystemClock();
const SUBMISSION = {
  jobId: '00000000000000aa',
  queueId: 'q',
  teamId: null,
  definition: { spec: '', steps: [STEP], repeat: null },
};

describe('ForwardingJobOperations', () => {
  const rows = new MemoryRows();
  const localStore = new MemoryRowStore(rows, clock);
  const remoteStore = new MemoryRowStore(rows, new VirtualClock());
  let server: ServerType;
  let jobs: ForwardingJobOperations;
  let client: RelayClient;
  let isRemoteReachable = true;
  let addresses: readonly string[] = [];

  beforeAll(async () => {
    const app = relayApp({
      clock,
      jobs: new StoreJobOperations({ store: remoteStore, clock }),
      isStoreReachable: () => isRemoteReachable,
      clients: testClientGuard(),
      knowsLaterLeader: () => false,
      onTakeoverRequest: () => undefined,
    });
    const port = await new Promise<number>((resolve) => {
      server = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, (info: AddressInfo) => {
        resolve(info.port);
      });
    });
    addresses = [`127.0.0.1:${port}`];
    client = new RelayClient(() => addresses);
    jobs = new ForwardingJobOperations({
      clock,
      client,
      local: new StoreJobOperations({ store: localStore, clock }),
      isStoreReachable: () => true,
      counters: new MemoryCounters(),
    });
  });

  afterAll(() => {
    client.close();
    server.close();
  });

  beforeEach(() => {
    localStore.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    remoteStore.faults = NO_ROW_STORE_FAULTS;
    isRemoteReachable = true;
  });

  const newDeadlineAtMs = (): number => clock.monotonicMs() + 2_000;

  test('a submission that is forwarded twice creates one job', async () => {
    expect(await jobs.submit({ ...SUBMISSION, deadlineAtMs: newDeadlineAtMs() })).toBe(true);
    expect(await jobs.submit({ ...SUBMISSION, deadlineAtMs: newDeadlineAtMs() })).toBe(false);
    expect(await jobs.state(SUBMISSION.jobId)).toBe('queued');
    expect(await jobs.state('00000000000000ff')).toBeNull();
    expect(await jobs.cancel(SUBMISSION.jobId)).toBe(true);
    expect(await jobs.pending('q')).toBe(0);
  });

  test('a submission fails as not applied when no process reaches the store', async () => {
    isRemoteReachable = false;
    await expect(jobs.submit({ ...SUBMISSION, deadlineAtMs: newDeadlineAtMs() })).rejects.toThrow(
      StoreUnavailableError,
    );
  });

  test('a submission that may have been stored fails with an unknown outcome', async () => {
    remoteStore.faults = { ...NO_ROW_STORE_FAULTS, applyDelayMs: 1 };
    const submission = { ...SUBMISSION, jobId: '00000000000000bb', deadlineAtMs: newDeadlineAtMs() };
    await expect(jobs.submit(submission)).rejects.toThrow(StoreOutcomeUnknownError);
  });

  test('a process that cannot reach the store does not accept leadership', async () => {
    expect(await client.findAcceptingPeer(MAY_TAKE_OVER, {}, 500)).toBe(addresses[0]);
    remoteStore.faults = { ...NO_ROW_STORE_FAULTS, down: true };
    expect(await client.findAcceptingPeer(MAY_TAKE_OVER, {}, 500)).toBeNull();
  });

  test.each(['', 'null', '{', '{"jsonrpc":"2.0","id":1,"result":{"kind":"later"}}', '[1]'])(
    'the response %s of another process leaves the outcome unknown or counts as none',
    async (text) => {
      const peer = createServer((_request, response) => response.end(text));
      await new Promise<void>((resolve) => peer.listen(0, '127.0.0.1', resolve));
      const address = `127.0.0.1:${(peer.address() as AddressInfo).port}`;
      const peerClient = new RelayClient(() => [address]);
      expect(await peerClient.findAcceptingPeer(MAY_TAKE_OVER, {}, 500)).toBeNull();
      peerClient.close();
      peer.closeAllConnections();
      peer.close();
    },
  );

  test('a malformed registration of a process is left out', async () => {
    const virtualClock = new VirtualClock();
    const store = new MemoryRowStore(new MemoryRows(), virtualClock);
    const values = [
      '{',
      'null',
      '{"address":7}',
      '{"address":"10.0.0.8:99999","processors":4}',
      '{"address":"10.0.0.8:0","processors":4}',
      '{"address":"10.0.0.8","processors":4}',
      '{"address":"10.0.0.8:80/path","processors":4}',
      '{"address":"10.0.0.8:7000","processors":1e300}',
      '{"address":"10.0.0.8:7000","processors":-1}',
      '['.repeat(20_000) + ']'.repeat(20_000),
      '{"address":"10.0.0.9:7000","processors":4}',
    ];
    await store.transact({
      conditions: [],
      writes: values.map((value, index) => ({ table: 'processes', partition: '', key: `n${index}`, value })),
    });
    const registry = new ProcessRegistry({
      store,
      clock: virtualClock,
      nodeName: 'me',
      address: 'a:1',
      processors: 1,
      onFailure: ({ error }) => {
        throw error;
      },
    });
    registry.start();
    await virtualClock.advanceAsync(50);
    expect(registry.largerPeerAddresses()).toEqual(['10.0.0.9:7000']);
    expect(registry.peerAddresses()).toEqual(['10.0.0.9:7000']);
    registry.stop();
  });
});
