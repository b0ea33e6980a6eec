/** A small deployment of the program of the deploy file, with stand-ins for all that surrounds it. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync, writeSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import type { Clock } from '../../kernel/clock';
import { SystemClock } from '../../kernel/system_clock';
import {
  encodeCallerHeaders,
  encodeRules,
  encodeSettings,
  type StandinRules,
} from '../../platform/standins/deployment_encoding';
import { InstanceStandin } from '../../platform/standins/instance_standin';
import { SlowStopWorker } from './slow_stop_worker';
import type { StandinObserver, StandinWorker } from '../../platform/standins/standin_worker';
import { StoreStandin } from '../../platform/standins/store_standin';
import { encodeWorkerEntry } from '../../platform/standins/worker_entry_encoding';
import { WorkerStandinServer } from '../../platform/standins/worker_standin_server';
import { NODE_FILE_VARIABLE } from '../../platform/node_file';
import type { WorkerEntry } from '../../scheduling/worker_entry';
import { TcpProxy } from '../../soak/tcp_proxy';

/** Command line of the deploy file. */
const COMMAND = ['--max-old-space-size=128', '--max-semi-space-size=4', 'deploy/start.cjs'];

/** `lease-ms`, `hold-max-ms` and the like are those of the site pages. */
const MAX_WORKER_LEASE_MS = 10_000;
const CALL_TIMEOUT_MS = 3_000;
const READY_TIMEOUT_MS = 15_000;
const GIBIBYTE = 2 ** 30;

export const HOST = 'desk.example';
export const PATH_PREFIX = '/desk/';
export const POOL = 'desk';
export const KEY = 'desk-key';
export const BATCH_KEY = 'batch-key';

export const RULES: StandinRules = {
  version: 1,
  queues: [{ queueId: 'quotes', poolId: POOL, host: HOST, pathPrefix: PATH_PREFIX }],
  poolIds: [POOL],
  keyByClientAccount: { desk: KEY, batch: BATCH_KEY },
};

export interface WorkerPlan {
  readonly workerId: string;
  readonly clock?: Clock;
  readonly bornAtMs?: number;
  readonly labels?: readonly string[];
  /** Time that a stop takes, in milliseconds; at most `stop-grace-ms`. */
  readonly stopMs?: number;
}

export interface CaseOptions {
  readonly folder: string;
  readonly processes: number;
  readonly runTimeMs: (spec: string) => number | null;
  readonly observer?: StandinObserver;
}

interface RunningProcess {
  readonly child: ChildProcess;
  readonly callerPort: number;
  readonly readinessPort: number;
}

export interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Starts and ends everything, and keeps the record of what was sent, answered and run. */
export class CaseDeployment {
  readonly clock = new SystemClock();
  readonly store = new StoreStandin({ pageRows: 500 });
  readonly workers = new Map<string, StandinWorker>();
  private readonly entries = new Map<string, WorkerEntry>();
  private readonly downInstances = new Set<string>();
  /** Proxies in front of the workers; one that refuses is a machine without its worker. */
  private readonly proxies = new Map<string, TcpProxy>();
  private readonly workerServer = new WorkerStandinServer((workerId) => this.workers.get(workerId));
  private readonly instances = new InstanceStandin({
    instances: () =>
      [...this.entries.values()].map(({ workerId, instanceId }) => ({
        instanceId,
        poolId: POOL,
        state: this.downInstances.has(instanceId) ? ('down' as const) : ('up' as const),
        workerId,
      })),
    onMove: () => undefined,
    onMaintain: () => undefined,
  });
  private readonly startedAtMs = performance.now();
  private readonly recordFile: number;
  private readonly temporaryFolder = mkdtempSync(path.join(tmpdir(), 'case-'));
  private processes: readonly RunningProcess[] = [];
  private workerAddress = '';

  constructor(private readonly options: CaseOptions) {
    this.recordFile = openSync(path.join(options.folder, 'record.txt'), 'w');
  }

  /** Adds a line to the record, with the time since the start in milliseconds. */
  record(line: string): void {
    writeSync(
      this.recordFile,
      `${String(Math.round(performance.now() - this.startedAtMs)).padStart(6)} ${line}\n`,
    );
  }

  async start(workerPlans: readonly WorkerPlan[]): Promise<void> {
    const storeAddress = await this.store.listen();
    this.workerAddress = await this.workerServer.listen();
    const instancesAddress = await this.instances.listen();
    for (const plan of workerPlans) await this.addWorker(plan);
    this.store.rows.apply({ conditions: [], writes: [encodeRules(RULES)] });
    const ports = await freePorts(3 * this.options.processes);
    this.processes = Array.from({ length: this.options.processes }, (_, number) => {
      const [callerPort = 0, readinessPort = 0, internalPort = 0] = ports.slice(3 * number);
      const file = path.join(this.temporaryFolder, `settings-${number}.json`);
      writeFileSync(
        file,
        encodeSettings({
          nodeName: `front-${number}`,
          processors: 1,
          callerPort,
          readinessPort,
          internalPort,
          storeAddress,
          instancesAddress,
          maxWorkerLeaseMs: MAX_WORKER_LEASE_MS,
        }),
      );
      const log = openSync(path.join(this.temporaryFolder, `front-${number}.log`), 'a');
      const child = spawn(process.execPath, COMMAND, {
        env: { PATH: process.env.PATH, [NODE_FILE_VARIABLE]: file, ENDIVESTAND_LOG_LEVEL: 'info' },
        stdio: ['ignore', log, log],
      });
      closeSync(log);
      this.record(`front-${number} started as a process of its own`);
      return { child, callerPort, readinessPort };
    });
    await Promise.all(this.processes.map((running) => this.awaitReady(running)));
    this.record('all processes are ready');
  }

  /** Folder with the logs of the processes; it is removed at the end. */
  get logFolder(): string {
    return this.temporaryFolder;
  }

  /** Ends all processes and servers. */
  async close(): Promise<void> {
    await Promise.all(
      this.processes.map(async ({ child }) => {
        if (child.exitCode !== null || child.signalCode !== null) {
          this.record('a process had ended by itself');
          return;
        }
        const ended = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGKILL');
        await ended;
      }),
    );
    for (const proxy of this.proxies.values()) proxy.close();
    this.store.close();
    this.workerServer.close();
    this.instances.close();
    this.record('all processes have been ended');
    closeSync(this.recordFile);
    if (process.env.KEEP_LOGS === undefined) rmSync(this.temporaryFolder, { recursive: true, force: true });
  }

  /** Adds a worker, and its entry in the store. */
  async addWorker(plan: WorkerPlan): Promise<void> {
    this.writeEntry(await this.createWorker(plan));
  }

  /** Starts a worker, or starts one again under its id, without an entry in the store. */
  async createWorker({
    workerId,
    clock = this.clock,
    bornAtMs = Date.now(),
    labels,
    stopMs = 0,
  }: WorkerPlan): Promise<WorkerEntry> {
    const observer: StandinObserver = {
      onStarted: (worker, order) => {
        this.record(`${workerId} starts ${order.taskName} run ${order.run} (token ${order.fencingToken})`);
        this.options.observer?.onStarted(worker, order);
      },
      onEnded: (worker, end) => {
        this.record(`${workerId} ends ${end.taskName} run ${end.run}: ${end.outcome}`);
        this.options.observer?.onEnded(worker, end);
      },
    };
    const worker = new SlowStopWorker(stopMs, {
      clock,
      workerId,
      bornAtMs,
      maxLeaseMs: MAX_WORKER_LEASE_MS,
      runTimeMs: this.options.runTimeMs,
      observer,
    });
    const proxy = this.proxies.get(workerId) ?? new TcpProxy(this.workerAddress);
    const known = this.entries.get(workerId);
    const address = known?.address ?? (await proxy.listen());
    this.proxies.set(workerId, proxy);
    this.workers.set(workerId, worker);
    proxy.setMode('passing');
    const entry: WorkerEntry = {
      workerId,
      poolId: POOL,
      address,
      availabilityZone: 'zone-a',
      state: 'ready',
      startedAtMs: bornAtMs,
      capacity: { processors: 32, memoryBytes: 128 * GIBIBYTE, accelerators: 0 },
      labels: labels ?? ['a', 'rack-1'],
      rack: 'rack-1',
      remainingMs: null,
      instanceId: `machine-of-${workerId}`,
    };
    this.entries.set(workerId, entry);
    this.downInstances.delete(entry.instanceId);
    this.record(`${workerId} is up, born ${bornAtMs}, labels ${entry.labels.join(', ')}`);
    return entry;
  }

  writeEntry(entry: WorkerEntry): void {
    this.store.rows.apply({ conditions: [], writes: [encodeWorkerEntry(entry)] });
    const { workerId, labels, startedAtMs } = entry;
    this.record(`${workerId} has written its entry: labels ${labels.join(', ')}, born ${startedAtMs}`);
  }

  /** Writes the entry of a worker that is going to leave, `remainingMs` later at the earliest. */
  writeDraining(workerId: string, remainingMs: number): void {
    const entry = this.entries.get(workerId);
    if (entry === undefined) throw new Error('There is no such worker.');
    const row = encodeWorkerEntry({ ...entry, state: 'draining' });
    const fields = { ...(JSON.parse(row.value ?? '{}') as object), 'remaining-ms': remainingMs };
    this.store.rows.apply({ conditions: [], writes: [{ ...row, value: JSON.stringify(fields) }] });
    this.record(`${workerId} has reported that it is draining, with ${remainingMs} ms left`);
  }

  /** Asks for the upkeep of the machine of a worker, as the operator does. */
  writeWave(wave: number, workerId: string, limitS: number): void {
    const machines = [this.entries.get(workerId)?.instanceId ?? ''];
    const value = JSON.stringify({ wave, machines, 'term-s': limitS, cap: 1 });
    this.store.rows.apply({
      conditions: [],
      writes: [{ table: 'op', partition: '', key: `wave/${wave}`, value }],
    });
    this.record(`operator: wave ${wave} of ${machines.join(', ')} within ${limitS} s is acknowledged`);
  }

  /** Ends a worker as a crash does: without a word. Its address refuses connections, and its machine is down. */
  crashWorker(workerId: string): void {
    this.workers.get(workerId)?.crash();
    this.workers.delete(workerId);
    this.proxies.get(workerId)?.setMode('refusing');
    this.downInstances.add(this.entries.get(workerId)?.instanceId ?? '');
    this.record(`${workerId} has crashed`);
  }

  /** Calls a process as a client does. */
  async call(
    processNumber: number,
    method: 'POST' | 'GET' | 'DELETE',
    id: string,
    body?: string,
    key = KEY,
  ): Promise<Answer> {
    const running = this.processes[processNumber];
    if (running === undefined) throw new Error('There is no such process.');
    const response = await request(`http://127.0.0.1:${running.callerPort}${PATH_PREFIX}${id}`, {
      method,
      headers: encodeCallerHeaders(HOST, key, CALL_TIMEOUT_MS),
      ...(body === undefined ? {} : { body }),
    });
    const text = await response.body.text();
    this.record(`client: ${method} ${id} at front-${processNumber} -> ${response.statusCode} ${text}`);
    return { status: response.statusCode, text };
  }

  /** Like {@link call}; `null` if no answer came within the time for which clients wait. */
  async callInTime(
    processNumber: number,
    method: 'POST' | 'GET',
    id: string,
    body?: string,
  ): Promise<Answer | null> {
    const late = this.clock.delay(CALL_TIMEOUT_MS).then(() => null);
    const answer = await Promise.race([this.call(processNumber, method, id, body).catch(() => null), late]);
    if (answer === null)
      this.record(`client: ${method} ${id} at front-${processNumber} had no answer in time`);
    return answer;
  }

  /** Sends a signal to a process. */
  signal(processNumber: number, signal: NodeJS.Signals): void {
    this.processes[processNumber]?.child.kill(signal);
    this.record(`front-${processNumber} gets ${signal}`);
  }

  /** Number of the process that leads, as the store knows it, so that a case can choose which one to disturb. */
  leaderNumber(): number {
    const [row] = this.store.rows.read({ table: 'lease', partition: 'placement' }).rows;
    const { nodeName } = JSON.parse(row?.value ?? '{}') as { readonly nodeName?: string };
    return nodeName === undefined || nodeName === '' ? -1 : Number(nodeName.replace('front-', ''));
  }

  /** Writes a version of the configuration, as the operator does. */
  writeConfiguration(version: number, tenant: string, cap: Readonly<Record<string, number>>): void {
    const row = encodeRules({ ...RULES, version });
    const configuration = JSON.parse(row.value ?? '{}') as {
      tenants: { readonly name: string }[];
    };
    configuration.tenants = configuration.tenants.map((entry) =>
      entry.name === tenant ? { ...entry, cap } : entry,
    );
    this.store.rows.apply({ conditions: [], writes: [{ ...row, value: JSON.stringify(configuration) }] });
    this.record(`operator: version ${version} with cap ${JSON.stringify(cap)} of ${tenant} is acknowledged`);
  }

  async stateOf(processNumber: number, id: string): Promise<string> {
    const { status, text } = await this.call(processNumber, 'GET', id);
    if (status !== 200) return String(status);
    return (JSON.parse(text) as { readonly state: string }).state;
  }

  private async awaitReady({ readinessPort }: RunningProcess): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < untilMs) {
      const isReady = await request(`http://127.0.0.1:${readinessPort}/-/readiness`).then(
        async ({ statusCode, body }) => {
          await body.dump();
          return statusCode === 200;
        },
        () => false,
      );
      if (isReady) return;
      await this.clock.delay(100);
    }
    throw new Error('A process did not become ready.');
  }
}

async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve) => {
          const server = createServer();
          server.listen(0, '127.0.0.1', () => {
            resolve(server);
          });
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
