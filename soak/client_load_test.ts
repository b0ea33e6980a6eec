/**
 * Guards against a process that runs out of memory or descriptors, or serves no one else,
 * because of clients that keep no limits. Each test starts the daemon with a small heap and
 * lowered limits of its machine. Loads and bounds are fixed; the tests measure no times.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer, type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { encodeCallerHeaders, encodeJobBody, encodeRules } from '../platform/standins/deployment_encoding';
import { StoreStandin } from '../platform/standins/store_standin';
import { CombinedLoad, ManyConnections, OpenBodies, UnreadPipelines, type ClientLoad } from './client_loads';
import { SchedulerProcess } from './scheduler_process';

const CALLER_HOST = 'load.example';
const PATH_PREFIX = '/jobs/';
const KEY = 'load-key';
const HEAP_FLAGS = ['--max-old-space-size=64', '--max-semi-space-size=4'];

/** Limits of the machine as stated in the settings file. */
const MEMORY_MB = 250;
const MAX_DESCRIPTORS = 700;

/** Bounds of the tests: peak of the resident memory, and open descriptors. */
const MAX_RESIDENT_MB = 200;
const MAX_OPEN_DESCRIPTORS = 600;

/** Repetitions of the ordinary request, as callers make them, and the time that each may take. */
const ATTEMPTS = 4;
const ATTEMPT_TIMEOUT_MS = 15_000;

/** Time for the process to read what the load has left in the buffers of the system, in milliseconds. */
const SETTLE_MS = 2_000;

type Address = 'callers' | 'readiness' | 'relay and metrics';

function headOf(method: string, path: string, headers: readonly string[]): string {
  const lines = [`host: ${CALLER_HOST}`, `authorization: Token ${KEY}`, ...headers];
  return `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`;
}

/** The path at which each address reads the body of a request, if it reads any. */
const POST_PATHS: Readonly<Record<Address, string>> = {
  callers: `${PATH_PREFIX}00000000000000aa`,
  readiness: '/-/readiness',
  'relay and metrics': '/rpc',
};

function loadsAt(address: Address): readonly ClientLoad[] {
  const head = headOf('POST', POST_PATHS[address], ['transfer-encoding: chunked']);
  const getHead = headOf('GET', address === 'callers' ? PATH_PREFIX : '/metrics', []);
  return [
    new OpenBodies('40 bodies of 6 MB in chunks of 64 KB', {
      head,
      connections: 40,
      chunkBytes: 65_536,
      chunks: 96,
    }),
    new OpenBodies('40 bodies of 100,000 chunks of one byte', {
      head,
      connections: 40,
      chunkBytes: 1,
      chunks: 100_000,
    }),
    new UnreadPipelines('20 connections with 20,000 unread pipelined requests', {
      request: getHead,
      connections: 20,
      requests: 20_000,
    }),
    new UnreadPipelines('20 connections with 20,000 unread pipelined requests without Host', {
      request: 'GET / HTTP/1.1\r\n\r\n',
      connections: 20,
      requests: 20_000,
    }),
    new ManyConnections('1,000 connections, a third closed early', 1_000),
  ];
}

class LoadedProcess {
  private readonly store = new StoreStandin({ pageRows: 500 });
  private ports: readonly number[] = [];
  private process: SchedulerProcess | null = null;

  async start(): Promise<void> {
    const storeAddress = await this.store.listen();
    const rules = {
      version: 1,
      queues: [{ queueId: 'queue', poolId: 'pool', host: CALLER_HOST, pathPrefix: PATH_PREFIX }],
      poolIds: ['pool'],
      keyByClientAccount: { account: KEY },
    };
    this.store.rows.apply({ conditions: [], writes: [encodeRules(rules)] });
    while (!(await this.startProcess(storeAddress)));
  }

  /**
   * Starts the process and waits until it is ready. Returns whether it has its ports: another
   * program may have taken one since it was found to be free.
   */
  private async startProcess(storeAddress: string): Promise<boolean> {
    this.ports = await freePorts(3);
    const [callerPort = 0, readinessPort = 0, internalPort = 0] = this.ports;
    const settings = {
      nodeName: 'front',
      processors: 1,
      callerPort,
      readinessPort,
      internalPort,
      storeAddress,
      instancesAddress: storeAddress,
      maxWorkerLeaseMs: 4_000,
      memoryMb: MEMORY_MB,
      maxDescriptors: MAX_DESCRIPTORS,
    };
    this.process = new SchedulerProcess(settings, { nodeFlags: HEAP_FLAGS });
    this.process.start();
    while ((await call(readinessPort, 'GET', '/')) !== 200) {
      if (this.process.hasEnded()) {
        const log = readFileSync(this.process.logFile, 'utf8');
        if (log.includes('EADDRINUSE')) return false;
        throw new Error(`The process has ended before it was ready: ${log}`);
      }
      await delay(100);
    }
    return true;
  }

  port(address: Address): number {
    const [callers = 0, readiness = 0, internal = 0] = this.ports;
    return { callers, readiness, 'relay and metrics': internal }[address];
  }

  /** Peak of the resident memory, or `null` if the process has ended. */
  peakResidentMb(): number | null {
    const processId = this.process?.processId() ?? null;
    if (processId === null) return null;
    const status = readFileSync(`/proc/${processId}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / 1_024;
  }

  openDescriptors(): number | null {
    const processId = this.process?.processId() ?? null;
    return processId === null ? null : readdirSync(`/proc/${processId}/fd`).length;
  }

  /** Submits an ordinary job until it is accepted, and reads its state. */
  async serves(): Promise<boolean> {
    const body = encodeJobBody('ordinary', 1, 1);
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const path = `${PATH_PREFIX}00000000000000bb`;
      if ((await call(this.port('callers'), 'POST', path, body)) === 200) return true;
      await delay(500);
    }
    return false;
  }

  async stop(): Promise<void> {
    await this.process?.kill();
    this.store.close();
  }
}

/** Returns the status, or `null` if there is no response. */
function call(port: number, method: string, path: string, body = ''): Promise<number | null> {
  return new Promise((resolve) => {
    const headers = { ...encodeCallerHeaders(CALLER_HOST, KEY, 3_000), connection: 'close' };
    const request = httpRequest({ host: '127.0.0.1', port, method, path, headers, agent: false });
    request.setTimeout(ATTEMPT_TIMEOUT_MS, () => request.destroy());
    request.once('error', () => {
      resolve(null);
    });
    request.once('response', (response) => {
      response.resume();
      resolve(response.statusCode ?? null);
    });
    request.end(body);
  });
}

async function freePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map((server) => new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

const ADDRESSES: readonly Address[] = ['callers', 'readiness', 'relay and metrics'];

const CASES = ADDRESSES.flatMap((address) => {
  const loads = loadsAt(address);
  return [...loads, new CombinedLoad(loadsAt(address))].map((load) => [load.name, address, load] as const);
});

describe('a process serves on under', () => {
  test.each(CASES)(
    '%s (%s)',
    async (_name, address, load) => {
      const loaded = new LoadedProcess();
      try {
        await loaded.start();
        await load.run(loaded.port(address));
        await delay(SETTLE_MS);
        expect(await loaded.serves()).toBe(true);
        expect(loaded.openDescriptors()).toBeLessThan(MAX_OPEN_DESCRIPTORS);
        expect(loaded.peakResidentMb()).toBeLessThan(MAX_RESIDENT_MB);
      } finally {
        load.close();
        await loaded.stop();
      }
    },
    180_000,
  );
});
