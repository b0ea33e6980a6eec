/** Plays a deployment of real scheduler processes with stand-ins and faults from a seed, and checks what was promised. */
import { createServer, type AddressInfo } from 'node:net';
import { Pool, request } from 'undici';
import { seededRandom } from '../bench/seeded_random';
import { SystemClock } from '../kernel/system_clock';
import { encodeCallerHeaders, encodeJobBody, encodeRules } from '../platform/standins/deployment_encoding';
import { InstanceStandin } from '../platform/standins/instance_standin';
import { StandinWorker } from '../platform/standins/standin_worker';
import { StoreStandin } from '../platform/standins/store_standin';
import { encodeWorkerEntry } from '../platform/standins/worker_entry_encoding';
import { WorkerStandinServer } from '../platform/standins/worker_standin_server';
import { OddRowWriter } from './odd_row_writer';
import { PromiseLedger } from './promise_ledger';
import { SchedulerProcess } from './scheduler_process';
import { TcpProxy, type ProxyMode } from './tcp_proxy';

const HOST = 'soak.example';
const PATH_PREFIX = '/jobs/';
const POOL = 'pool';
const KEY = 'soak-key';
const WORKERS = 8;
const MAX_WORKER_LEASE_MS = 4_000;
const CALL_TIMEOUT_MS = 3_000;
const GIBIBYTE = 2 ** 30;
/** Time after the last fault within which all accepted jobs have to be completed, in milliseconds. */
const RECOVERY_MS = 25_000;
/** Interval at which another writer leaves odd rows, in milliseconds. */
const ODD_ROW_INTERVAL_MS = 500;

export interface SoakOptions {
  readonly seed: number;
  readonly processes: number;
  /** Time for which jobs are handed in and faults happen, in milliseconds. */
  readonly durationMs: number;
  readonly jobsPerSecond: number;
}

export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly acceptedJobs: number;
  readonly starts: number;
  readonly faults: readonly string[];
  /** What was odd about the rows that another writer left. */
  readonly oddRows: readonly string[];
  readonly logFiles: readonly string[];
}

interface Node {
  readonly process: SchedulerProcess;
  readonly proxy: TcpProxy;
}

/**
 * Plays one seed.
 *
 * @example
 * ```ts
 * const { violations } = await playSeed({ seed: 7, processes: 3, durationMs: 10_000, jobsPerSecond: 10 });
 * ```
 */
export async function playSeed(options: SoakOptions): Promise<SoakResult> {
  const soak = new FaultSoak(options);
  try {
    return await soak.play();
  } finally {
    await soak.close();
  }
}

class FaultSoak {
  private readonly clock = new SystemClock();
  private readonly ledger = new PromiseLedger();
  private readonly random: () => number;
  private readonly store = new StoreStandin({ pageRows: 500 });
  private readonly workers = new Map<string, StandinWorker>();
  private readonly workerServer = new WorkerStandinServer((workerId) => this.workers.get(workerId));
  private readonly instances = new InstanceStandin({
    instances: () =>
      [...this.workers.keys()].map((workerId) => ({
        instanceId: `instance-${workerId}`,
        poolId: POOL,
        state: 'up' as const,
        workerId,
      })),
    onMove: () => undefined,
    onMaintain: () => undefined,
  });
  private readonly faults: string[] = [];
  private readonly oddRows: string[] = [];
  private nodes: readonly Node[] = [];
  private workerAddress = '';
  private jobCount = 0;

  constructor(private readonly options: SoakOptions) {
    this.random = seededRandom(options.seed);
  }

  async play(): Promise<SoakResult> {
    await this.startDeployment();
    const { durationMs } = this.options;
    const untilMs = this.clock.monotonicMs() + durationMs;
    await Promise.all([this.submitJobs(untilMs), this.disturb(untilMs), this.leaveOddRows(untilMs)]);
    await this.awaitCompletion();
    return {
      seed: this.options.seed,
      violations: this.ledger.violations(),
      acceptedJobs: this.ledger.acceptedJobs().length,
      starts: this.ledger.startCount,
      faults: this.faults,
      oddRows: this.oddRows,
      logFiles: this.nodes.map(({ process }) => process.logFile),
    };
  }

  async close(): Promise<void> {
    for (const { process } of this.nodes) process.resume();
    await Promise.all(this.nodes.map(({ process }) => process.kill()));
    for (const { proxy } of this.nodes) proxy.close();
    this.store.close();
    this.workerServer.close();
    this.instances.close();
  }

  private async startDeployment(): Promise<void> {
    const storeAddress = await this.store.listen();
    this.workerAddress = await this.workerServer.listen();
    const instancesAddress = await this.instances.listen();
    for (let number = 0; number < WORKERS; number += 1)
      this.addWorker(`worker-${number}`, this.workerAddress);
    const queue = { queueId: 'queue', poolId: POOL, host: HOST, pathPrefix: PATH_PREFIX };
    const rules = { version: 1, queues: [queue], poolIds: [POOL], keyByClientAccount: { account: KEY } };
    this.store.rows.apply({ conditions: [], writes: [encodeRules(rules)] });
    const ports = await freePorts(3 * this.options.processes);
    this.nodes = await Promise.all(
      Array.from({ length: this.options.processes }, async (_, number) => {
        const proxy = new TcpProxy(storeAddress);
        const [callerPort = 0, readinessPort = 0, internalPort = 0] = ports.slice(3 * number);
        const process = new SchedulerProcess({
          nodeName: `front-${number}`,
          processors: 1,
          callerPort,
          readinessPort,
          internalPort,
          storeAddress: await proxy.listen(),
          instancesAddress,
          maxWorkerLeaseMs: MAX_WORKER_LEASE_MS,
        });
        process.start();
        return { process, proxy };
      }),
    );
    await Promise.all(this.nodes.map((node) => this.awaitReady(node)));
  }

  private addWorker(workerId: string, address: string): void {
    const bornAtMs = Date.now();
    this.workers.set(
      workerId,
      new StandinWorker({
        clock: this.clock,
        workerId,
        bornAtMs,
        maxLeaseMs: MAX_WORKER_LEASE_MS,
        runTimeMs: () => 50 + 200 * this.random(),
        observer: this.ledger.observer,
      }),
    );
    const capacity = { processors: 8, memoryBytes: 32 * GIBIBYTE, accelerators: 0 };
    const entry = {
      workerId,
      poolId: POOL,
      address,
      state: 'ready' as const,
      startedAtMs: bornAtMs,
      capacity,
    };
    this.store.rows.apply({
      conditions: [],
      writes: [
        encodeWorkerEntry({
          ...entry,
          availabilityZone: 'zone',
          labels: ['kind', 'rack'],
          rack: 'rack',
          remainingMs: null,
          instanceId: `instance-${workerId}`,
        }),
      ],
    });
  }

  private async awaitReady({ process }: Node): Promise<void> {
    const url = `http://127.0.0.1:${process.settings.readinessPort}/`;
    for (let attempt = 0; attempt < 200; attempt += 1) {
      const isReady = await request(url).then(
        async ({ statusCode, body }) => {
          await body.dump();
          return statusCode === 200;
        },
        () => false,
      );
      if (isReady) return;
      await this.clock.delay(50);
    }
    throw new Error(`${process.settings.nodeName} did not become ready within 10 s.`);
  }

  private async submitJobs(untilMs: number): Promise<void> {
    const submissions: Promise<void>[] = [];
    while (this.clock.monotonicMs() < untilMs) {
      this.jobCount += 1;
      submissions.push(this.submit(this.jobCount.toString(16).padStart(16, '0')));
      await this.clock.delay(1_000 / this.options.jobsPerSecond);
    }
    await Promise.all(submissions);
  }

  /** Hands a job in, at another process after each call that was rejected or had no response. */
  private async submit(jobId: string): Promise<void> {
    const first = Math.floor(this.random() * this.nodes.length);
    const body = encodeJobBody(jobId, 1 + (this.jobCount % 2), 1 + (this.jobCount % 5));
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const node = this.nodes[(first + attempt) % this.nodes.length];
      const status = node === undefined ? null : await this.call(node, 'POST', jobId, body);
      const isRejected = status === 429 || status === 503;
      this.ledger.recordSubmission(jobId, status === 200 ? 'accepted' : isRejected ? 'rejected' : 'unknown');
      if (status === 200) return;
      await this.clock.delay(200);
    }
  }

  /** Returns the status; `null` without a complete response. */
  private async call(
    { process }: Node,
    method: 'GET' | 'POST',
    jobId: string,
    body?: string,
  ): Promise<number | null> {
    const [status] = await this.callFully(process, method, jobId, body);
    return status;
  }

  private async callFully(
    process: SchedulerProcess,
    method: 'GET' | 'POST',
    jobId: string,
    body?: string,
  ): Promise<readonly [status: number | null, text: string]> {
    const pool = new Pool(`http://127.0.0.1:${process.settings.callerPort}`, { connections: 1 });
    try {
      const response = await pool.request({
        method,
        path: PATH_PREFIX + jobId,
        headers: encodeCallerHeaders(HOST, KEY, CALL_TIMEOUT_MS),
        ...(body === undefined ? {} : { body }),
        headersTimeout: CALL_TIMEOUT_MS + 2_000,
        bodyTimeout: CALL_TIMEOUT_MS,
      });
      return [response.statusCode, await response.body.text()];
    } catch {
      return [null, ''];
    } finally {
      void pool.destroy();
    }
  }

  private async disturb(untilMs: number): Promise<void> {
    const pending: Promise<void>[] = [];
    while (this.clock.monotonicMs() < untilMs) {
      await this.clock.delay(300 + 1_200 * this.random());
      pending.push(this.playFault());
    }
    await Promise.all(pending);
    for (const node of this.nodes) this.checkRunning(node);
  }

  private checkRunning({ process }: Node): void {
    if (process.hasEnded()) this.ledger.report(`${process.settings.nodeName} ended by itself`);
  }

  private async playFault(): Promise<void> {
    const node = this.nodes[Math.floor(this.random() * this.nodes.length)];
    if (node === undefined) return;
    const kind = Math.floor(this.random() * 7);
    const lengthMs = 200 + 3_800 * this.random() ** 2;
    const name = node.process.settings.nodeName;
    const record = (what: string): void => {
      this.faults.push(`${name} ${what} ${Math.round(lengthMs)} ms`);
    };
    if (kind === 0) {
      record('killed for');
      this.checkRunning(node);
      await node.process.kill();
      await this.clock.delay(lengthMs / 2);
      node.process.start();
    } else if (kind <= 2) {
      record('paused for');
      node.process.pause();
      await this.clock.delay(lengthMs);
      node.process.resume();
    } else if (kind <= 5) {
      const mode =
        (['silent', 'deaf', 'refusing'] as const satisfies readonly ProxyMode[])[kind - 3] ?? 'silent';
      record(`store ${mode} for`);
      node.proxy.setMode(mode);
      await this.clock.delay(lengthMs);
      node.proxy.setMode('passing');
    } else {
      record('store 150 ms slower for');
      node.proxy.setDelay(75);
      await this.clock.delay(lengthMs);
      node.proxy.setDelay(0);
    }
  }

  private async leaveOddRows(untilMs: number): Promise<void> {
    const writer = new OddRowWriter({
      seed: this.options.seed,
      poolId: POOL,
      workerAddress: this.workerAddress,
      write: (writes) => this.store.rows.apply({ conditions: [], writes }),
    });
    while (this.clock.monotonicMs() < untilMs) {
      this.oddRows.push(...writer.leaveRows());
      await this.clock.delay(ODD_ROW_INTERVAL_MS);
    }
  }

  /** Waits until each accepted job is shown as completed; reports those that are not, or not known. */
  private async awaitCompletion(): Promise<void> {
    const deadlineAtMs = this.clock.monotonicMs() + RECOVERY_MS;
    let open = this.ledger.acceptedJobs();
    while (open.length > 0 && this.clock.monotonicMs() < deadlineAtMs) {
      const states = await Promise.all(open.map((jobId) => this.stateOf(jobId)));
      open = open.filter((_, index) => states[index] !== 'completed');
      if (open.length > 0) await this.clock.delay(500);
    }
    for (const jobId of open)
      this.ledger.report(
        `accepted job ${jobId} is ${await this.stateOf(jobId)} ${RECOVERY_MS} ms after the faults`,
      );
  }

  private async stateOf(jobId: string): Promise<string> {
    const node = this.nodes[Math.floor(this.random() * this.nodes.length)];
    if (node === undefined) return 'unknown';
    const [status, text] = await this.callFully(node.process, 'GET', jobId);
    if (status === 410) this.ledger.report(`accepted job ${jobId} is not known`);
    if (status !== 200) return `answered with ${status ?? 'nothing'}`;
    return /"state":"(\w+)"/.exec(text)?.[1] ?? text;
  }
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
