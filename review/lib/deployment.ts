/** A small deployment: the project's program as processes, started with the command of the deploy file, and stand-ins. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Agent, request } from 'undici';
import { pause } from './http_service';
import { MachineService, type Machine } from './machine_service';
import { StoreService } from './store_service';
import { WorkerService, type ObservedRun } from './worker_service';
import { WIRE } from './wire_names';

const HOST = 'desk.example';
const KEY = 'review-key';
const TENANT = 'tenant';
export const QUEUE_PREFIX = '/jobs/';
/** `ack-timeout-ms` of the deployment, and what clients state as their deadline. */
const DEADLINE_MS = 3_000;
const READY_WITHIN_MS = 15_000;
/** `contact-ms`: from then on all processes are in touch. */
const CONTACT_MS = 3_000;

export interface PoolOptions {
  readonly name: string;
  readonly machines: number;
  readonly spare?: boolean;
}

export interface DeploymentOptions {
  readonly processes: number;
  readonly pools: readonly PoolOptions[];
  readonly cpu?: number;
  readonly memMb?: number;
  readonly runTimeMs: (task: string, spec: string) => number | null;
  readonly maxAttempts?: number;
  readonly onStarted?: (run: ObservedRun) => void;
}

export interface Front {
  readonly name: string;
  readonly frontPort: number;
  readonly readyPort: number;
  readonly settingsFile: string;
  child: ChildProcess | null;
}

/** Status and decoded body of a response; the status is `null` if there was none. */
export interface CallResult {
  readonly status: number | null;
  readonly state: string;
}

/**
 * @example
 * ```ts
 * const deployment = new Deployment({ processes: 3, pools: [{ name: 'desk', machines: 7 }], runTimeMs });
 * await deployment.begin();
 * ```
 */
export class Deployment {
  readonly lines: string[] = [];
  readonly workers: WorkerService[] = [];
  readonly machines: Machine[] = [];
  readonly store = new StoreService((line) => {
    this.record(line);
  });
  readonly machineService: MachineService;
  fronts: readonly Front[] = [];
  private readonly agent = new Agent({ connections: 8 });
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  private readonly beganAtMs = performance.now();
  private lastWorkerNumber = 0;

  constructor(private readonly options: DeploymentOptions) {
    this.machineService = new MachineService(this.machines, (line) => {
      this.record(line);
    });
  }

  record(line: string): void {
    this.lines.push(`${((performance.now() - this.beganAtMs) / 1_000).toFixed(3).padStart(8)} ${line}`);
  }

  /** Resolves once all processes are ready and have been in touch for `contact-ms`. */
  async begin(): Promise<void> {
    const { processes, pools } = this.options;
    await this.store.service.listen();
    await this.machineService.service.listen();
    this.writeConfiguration(1);
    let number = 0;
    for (const pool of pools)
      for (let index = 0; index < pool.machines; index += 1) {
        number += 1;
        const name = `m-${String(number).padStart(2, '0')}`;
        const worker = await this.addWorker(name, pool.name, `r-${1 + (number % 3)}`);
        this.machines.push({ name, pool: pool.name, worker });
      }
    const ports = await freePorts(3 * processes);
    this.fronts = Array.from({ length: processes }, (_, index) =>
      this.createFront(index, ports.slice(3 * index)),
    );
    for (const front of this.fronts) this.startFront(front);
    await Promise.all(this.fronts.map((front) => this.awaitReady(front)));
    await pause(CONTACT_MS);
    this.record('all processes are ready and in touch');
  }

  startFront(front: Front): void {
    const log = openSync(path.join(this.folder, `${front.name}.log`), 'a');
    const [program = 'node', ...args] = deployCommand();
    front.child = spawn(program, args, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ENDIVESTAND_NODE_FILE: front.settingsFile },
      stdio: ['ignore', log, log],
    });
    this.record(`process ${front.name} starts`);
  }

  /** Sends a signal to the process of a front machine. */
  signal(front: Front, name: NodeJS.Signals): void {
    this.record(`${name} to ${front.name}`);
    front.child?.kill(name);
  }

  /** Resolves when the process has ended. */
  async awaitEnd(front: Front): Promise<void> {
    const { child } = front;
    if (child === null) return;
    if (child.exitCode === null && child.signalCode === null)
      await new Promise((resolve) => child.once('exit', resolve));
    this.record(`process ${front.name} has ended`);
  }

  /** Hands a job in, again at the next process after a rejection or without an answer. Returns whether it was accepted. */
  async submit(jobId: string, body: object, first = 0): Promise<boolean> {
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const front = this.fronts[(first + attempt) % this.fronts.length];
      const { status } = await this.call(front, 'POST', jobId, body);
      if (status === 200) return true;
      if (status !== null && status !== 429 && status < 500) return false;
      await pause(300);
    }
    return false;
  }

  async stateOf(jobId: string): Promise<string> {
    for (const front of this.fronts) {
      const { status, state } = await this.call(front, 'GET', jobId, undefined, true);
      if (status === 200) return state;
      if (status === 410) return 'unknown';
    }
    return 'unanswered';
  }

  async call(
    front: Front | undefined,
    method: 'GET' | 'POST' | 'DELETE',
    jobId: string,
    body?: object,
    isQuiet = false,
  ): Promise<CallResult> {
    if (front === undefined) return { status: null, state: '' };
    try {
      const response = await request(`http://127.0.0.1:${front.frontPort}${QUEUE_PREFIX}${jobId}`, {
        method,
        dispatcher: this.agent,
        headers: {
          host: HOST,
          authorization: `Token ${KEY}`,
          'deadline-ms': String(DEADLINE_MS),
          'content-type': 'application/json',
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        headersTimeout: DEADLINE_MS,
      });
      const text = await response.body.text();
      const state = /"state":"(\w+)"/.exec(text)?.[1] ?? '';
      if (!isQuiet) this.record(`${method} ${jobId} at ${front.name}: ${response.statusCode} ${state}`);
      return { status: response.statusCode, state };
    } catch {
      if (!isQuiet) this.record(`${method} ${jobId} at ${front.name}: no answer`);
      return { status: null, state: '' };
    }
  }

  /** All runs that all workers have seen, in order of their starts. */
  observedRuns(): readonly ObservedRun[] {
    return this.workers.flatMap(({ observed }) => observed).sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  /** Milliseconds since the beginning, for `record.txt`. */
  secondsOf(atMs: number): string {
    return ((atMs - this.beganAtMs) / 1_000).toFixed(3);
  }

  /** Lines of the processes' logs that contain a text. */
  logLines(text: string): readonly string[] {
    return this.fronts.flatMap((front) => this.logLinesOf(front, text));
  }

  logLinesOf({ name }: Front, text: string): readonly string[] {
    return readFileSync(path.join(this.folder, `${name}.log`), 'utf8')
      .split('\n')
      .filter((line) => line.includes(text));
  }

  /** Ends all processes and stand-ins, and writes what happened to a file. */
  async close(recordFile: string): Promise<void> {
    for (const front of this.fronts) front.child?.kill('SIGCONT');
    for (const front of this.fronts) front.child?.kill('SIGKILL');
    for (const front of this.fronts) await this.awaitEnd(front);
    for (const worker of this.workers) worker.crash();
    this.store.service.stop();
    this.machineService.service.stop();
    await this.agent.destroy();
    writeFileSync(recordFile, `${this.lines.join('\n')}\n`);
    rmSync(this.folder, { recursive: true, force: true });
  }

  private writeConfiguration(version: number): void {
    const { pools, maxAttempts = 4 } = this.options;
    const [served] = pools;
    const value = JSON.stringify({
      version,
      routes: [
        {
          name: 'queue',
          host: HOST,
          [WIRE.pathPrefix]: QUEUE_PREFIX,
          service: served?.name,
          priority: 0,
          'max-attempts': maxAttempts,
          stretch: 1.6,
          'target-latency-ms': 600,
        },
      ],
      services: pools.map(({ name, spare = false }) => ({ name, spare, 'admission-check': false })),
      tenants: [{ name: TENANT, 'api-keys': [KEY], weight: 1 }],
      limits: {},
    });
    this.store.write({ table: 'op', partition: '', key: 'config', value });
  }

  private async addWorker(machine: string, pool: string, rack: string): Promise<WorkerService> {
    this.lastWorkerNumber += 1;
    const { cpu = 32_000, memMb = 131_072, runTimeMs, onStarted } = this.options;
    const worker = new WorkerService({
      workerId: `w-${this.lastWorkerNumber}`,
      pool,
      machine,
      zone: 'zone-a',
      rack,
      cpu,
      memMb,
      runTimeMs,
      writeEntry: (row) => {
        this.store.write(row);
      },
      record: (line) => {
        this.record(line);
      },
      ...(onStarted === undefined ? {} : { onStarted }),
    });
    this.workers.push(worker);
    await worker.begin();
    return worker;
  }

  private createFront(index: number, ports: readonly number[]): Front {
    const [frontPort = 0, readyPort = 0, internalPort = 0] = ports;
    const name = `front-${index + 1}`;
    const settingsFile = path.join(this.folder, `${name}.json`);
    writeFileSync(
      settingsFile,
      JSON.stringify(this.settingsOf(name, { frontPort, readyPort, internalPort })),
    );
    return { name, frontPort, readyPort, settingsFile, child: null };
  }

  private settingsOf(
    name: string,
    { frontPort, readyPort, internalPort }: Readonly<Record<string, number>>,
  ): object {
    return {
      'node-name': name,
      role: 'scheduler',
      'machine-class': 'front',
      serves: ['front'],
      ip: '127.0.0.1',
      zone: 'zone-a',
      region: 'region',
      zones: { 'zone-a': 'region' },
      listen: { front: `127.0.0.1:${frontPort}`, ready: `127.0.0.1:${readyPort}` },
      'internal-ports': [internalPort, internalPort],
      bootstrap: true,
      limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4_100 },
      discovery: 'platform',
      'heartbeat-ms': 1_500,
      bounds: {
        'contact-ms': CONTACT_MS,
        'grace-s': 6,
        'hold-max-ms': 10_000,
        'lease-ms': 3_000,
        'stop-grace-ms': 200,
        cancel_ms: 3_000,
        visible_ms: 3_000,
        finish_s: 14,
        status_s: 120,
        'move-s': 1.5,
        'upkeep-s': 2,
        'require-fence': true,
      },
      commands: 'rpc',
      platform: { address: this.store.service.address, form: 'table', 'row-bytes': 65_536, across: true },
      [WIRE.cloudApi]: { address: this.machineService.service.address, 'rate-per-s': 64, 'duties-per-s': 64 },
    };
  }

  private async awaitReady({ name, readyPort }: Front): Promise<void> {
    const untilMs = performance.now() + READY_WITHIN_MS;
    while (performance.now() < untilMs) {
      const status = await request(`http://127.0.0.1:${readyPort}/-/readiness`, {
        dispatcher: this.agent,
      }).then(
        async ({ statusCode, body }) => {
          await body.dump();
          return statusCode;
        },
        () => null,
      );
      if (status === 200) return;
      await pause(100);
    }
    throw new Error(`${name} did not become ready.`);
  }
}

/** The command line of the deploy file. */
function deployCommand(): readonly string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const command = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error('The deploy file has no command.');
  return command.split(' ');
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
