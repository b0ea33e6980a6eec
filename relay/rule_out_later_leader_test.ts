/** Guards against a leader that takes itself for the only one while a later leader may exist. */
import type { AddressInfo } from 'node:net';
import { serve, type ServerType } from '@hono/node-server';
import { StoreJobOperations } from '../callers/store_job_operations';
import { testClientGuard } from '../entry/_client_guard_harness';
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryRows, MemoryRowStore } from '../store/memory_row_store';
import { RULE_OUT_LATER_LEADER } from './relay_calls';
import { RelayClient } from './relay_client';
import { relayApp } from './relay_server';

const UPTIME_MS = 5_000;
const EPOCH = 3;

describe('a process that is asked about later leaders', () => {
  const clock = new VirtualClock();
  let server: ServerType;
  let address = '';
  let isStoreReachable = false;
  let latestEpoch = EPOCH;

  const ask = async (sinceMs: number, addresses: readonly string[] = [address]): Promise<boolean> => {
    const client = new RelayClient(() => addresses);
    const isRuledOut = await client.isAcceptedByAll(RULE_OUT_LATER_LEADER, { epoch: EPOCH, sinceMs }, 500);
    client.close();
    return isRuledOut;
  };

  beforeAll(async () => {
    const store = new MemoryRowStore(new MemoryRows(), clock);
    const app = relayApp({
      clock,
      jobs: new StoreJobOperations({ store, clock }),
      isStoreReachable: () => isStoreReachable,
      knowsLaterLeader: (epoch) => latestEpoch > epoch,
      clients: testClientGuard(),
      onTakeoverRequest: () => undefined,
    });
    clock.advance(UPTIME_MS);
    address = await new Promise<string>((resolve) => {
      server = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, (info: AddressInfo) => {
        resolve(`127.0.0.1:${info.port}`);
      });
    });
  });

  afterAll(() => {
    server.close();
  });

  beforeEach(() => {
    isStoreReachable = false;
    latestEpoch = EPOCH;
  });

  test('rules them out in an outage of the store for the time in which it has been running', async () => {
    expect(await ask(UPTIME_MS)).toBe(true);
    expect(await ask(UPTIME_MS + 1)).toBe(false);
  });

  test('rules none out while it reaches the store, from which others may have become leaders', async () => {
    isStoreReachable = true;
    expect(await ask(0)).toBe(false);
  });

  test('rules none out once it knows of one', async () => {
    latestEpoch = EPOCH + 1;
    expect(await ask(0)).toBe(false);
  });

  test('is not enough where another process does not respond, and no process is not enough either', async () => {
    expect(await ask(0, [address, '127.0.0.1:1'])).toBe(false);
    expect(await ask(0, [])).toBe(false);
  });
});
