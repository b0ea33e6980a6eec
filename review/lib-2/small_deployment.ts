/** A small deployment: processes of the product, with stand-ins for the store, the workers and the machines. */
import { randomInt } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import { SystemClock } from '../../kernel/system_clock';
import {
  encodeCallerHeaders,
  encodeRules,
  encodeSettings,
  type StandinQueue,
} from '../../platform/standins/deployment_encoding';
import { InstanceStandin, type StandinInstance } from '../../platform/standins/instance_standin';
import { StandinWorker } from '../../platform/standins/standin_worker';
import { StoreStandin } from '../../platform/standins/store_standin';
import { encodeWorkerEntry } from '../../platform/standins/worker_entry_encoding';
import { WorkerStandinServer } from '../../platform/standins/worker_standin_server';
import { TcpProxy } from '../../soak/tcp_proxy';
import { AddressView } from './address_view';
import { FrontProcess } from './front_process';
import { CaseRecord } from './record';
import { StoreLink } from './store_link';

export const HOST = 'desk.example';
export const KEY = 'key-of-desk';
export const POOL = 'desk';

export const QUEUE: StandinQueue = { queueId: 'quote', poolId: POOL, host: HOST, pathPrefix: '/jobs/' };

const GIBIBYTE = 2 ** 30;
const READY_TIMEOUT_MS = 20_000;
const HEARTBEAT_MS = 1_500;

/** The platform removes the entry of a worker after this many silent heartbeats. */
const SILENT_HEARTBEATS = 3;

export interface SmallDeploymentOptions {
  readonly recordFile: string;
  readonly fronts: number;
  readonly workers: number;
  /** `hold-max-ms` of the settings. */
  readonly maxLeaseMs: number;
  /** Run time of a task by the text of its job; `null` for one that lasts. */
  readonly runTimeMs: (spec: string) => number | null;
}

export interface Front {
  readonly name: string;
  readonly process: FrontProcess;
  readonly storeLink: StoreLink;
  /** Paths to the workers and to the other front machines, by name. */
  readonly links: Map<string, TcpProxy>;
  readonly view: AddressView;
  readonly callerPort: number;
  readonly readinessPort: number;
}

/** `upkeep-s` of the pages. */
const UPKEEP_MS = 2_000;

interface Machine {
  readonly state: StandinInstance['state'];
  readonly workerId: string;
}

interface RunningTask {
  readonly workerId: string;
  readonly run: number;
}

export class SmallDeployment {
  readonly record: CaseRecord;
  readonly store = new StoreStandin({ pageRows: 500 });
  readonly workers = new Map<string, StandinWorker>();
  readonly broken: string[] = [];
  /** Runs that go on now, by task. */
  readonly running = new Map<string, readonly RunningTask[]>();
  readonly done = new Set<string>();
  fronts: readonly Front[] = [];
  private readonly clock = new SystemClock();
  private readonly machines = new Map<string, Machine>();
  /** Machines whose upkeep has begun. */
  readonly begunUpkeep = new Set<string>();
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  private readonly servers: WorkerStandinServer[] = [];
  private readonly heartbeats: NodeJS.Timeout[] = [];
  /** Number of heartbeats that each worker which is cut off from the store has missed. */
  private readonly missedHeartbeats = new Map<string, number>();
  private readonly instances: InstanceStandin;

  constructor(private readonly options: SmallDeploymentOptions) {
    this.record = new CaseRecord(options.recordFile);
    this.instances = new InstanceStandin({
      instances: () => this.listInstances(),
      onMove: () => undefined,
      onMaintain: (machine) => {
        void this.maintain(machine);
      },
    });
  }

  async start(): Promise<void> {
    this.configure(1, [QUEUE]);
    const storeAddress = await this.store.listen();
    const instancesAddress = await this.instances.listen();
    const ports = await freePorts(3 * this.options.fronts);
    const names = Array.from({ length: this.options.fronts }, (_, number) => `front-${number}`);
    const internal = names.map((_, number) => ports[3 * number + 2] ?? 0);
    this.fronts = await Promise.all(
      names.map(async (name, number) => {
        const view = new AddressView();
        const storeLink = new StoreLink(storeAddress, view);
        const [callerPort = 0, readinessPort = 0, internalPort = 0] = ports.slice(3 * number);
        const settings = encodeSettings({
          nodeName: name,
          processors: 0.675,
          memoryMb: 350,
          maxDescriptors: 4_100,
          callerPort,
          readinessPort,
          internalPort,
          storeAddress: await storeLink.listen(),
          instancesAddress,
          maxWorkerLeaseMs: this.options.maxLeaseMs,
        });
        const process = new FrontProcess(this.folder, name, settings);
        return {
          name,
          process,
          storeLink,
          view,
          callerPort,
          readinessPort,
          links: new Map<string, TcpProxy>(),
        };
      }),
    );
    for (const front of this.fronts)
      for (const [number, other] of names.entries())
        if (other !== front.name) await this.link(front, other, `127.0.0.1:${internal[number] ?? 0}`);
    for (let number = 0; number < this.options.workers; number += 1) await this.addWorker(`worker-${number}`);
  }

  /** Writes a configuration, as the operator does; `capMillicores` is the limit of the tenant, 0 for none. */
  configure(version: number, queues: readonly StandinQueue[], capMillicores = 0): void {
    const rules = { version, queues, poolIds: [POOL], keyByClientAccount: { desk: KEY } };
    const row = encodeRules(rules);
    const value = JSON.parse(row.value ?? '') as { readonly tenants: readonly object[] };
    const tenants = value.tenants.map((tenant) => ({ ...tenant, cap: { cpu: capMillicores } }));
    this.store.rows.apply({
      conditions: [],
      writes: [{ ...row, value: JSON.stringify({ ...value, tenants }) }],
    });
    const names = queues.map(({ queueId }) => queueId).join(', ');
    this.record.write(`configuration ${version}: routes ${names}; cap of the tenant ${capMillicores}`);
  }

  /** Orders the upkeep of machines, as the operator does. */
  orderWave(wave: number, machines: readonly string[], termSeconds: number, cap: number): void {
    const value = JSON.stringify({ wave, machines, 'term-s': termSeconds, cap });
    const row = { table: 'op', partition: '', key: `wave/${wave}`, value };
    this.store.rows.apply({ conditions: [], writes: [row] });
    this.record.write(`wave ${wave}: ${machines.join(', ')} within ${termSeconds} s, ${cap} at once`);
  }

  /** What is said of a wave; empty if nothing is. */
  waveStatus(wave: number): string {
    const { rows } = this.store.rows.read({ table: 'status', partition: '' });
    return rows.find(({ key }) => key === `wave/${wave}`)?.value ?? '';
  }

  /** Starts front machines and waits until they are ready. */
  async startFronts(fronts: readonly Front[]): Promise<void> {
    for (const { process } of fronts) process.start();
    await Promise.all(fronts.map((front) => this.awaitReady(front)));
    this.record.write(`ready: ${fronts.map(({ name }) => name).join(', ')}`);
  }

  async close(): Promise<void> {
    for (const timer of this.heartbeats) clearInterval(timer);
    await Promise.all(this.fronts.map(({ process }) => process.kill()));
    for (const { storeLink, links } of this.fronts) {
      storeLink.close();
      for (const link of links.values()) link.close();
    }
    this.store.close();
    this.instances.close();
    for (const server of this.servers) server.close();
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
    else this.record.write(`logs: ${this.folder}`);
  }

  /** Reports that a rule was broken. */
  report(text: string): void {
    this.broken.push(text);
    this.record.write(`BROKEN ${text}`);
  }

  /** Name of the front machine that holds the lease of the placement role; of use to choose whom to disturb. */
  leaderName(): string {
    const { rows } = this.store.rows.read({ table: 'lease', partition: 'placement' });
    const [row] = rows;
    return row === undefined ? '' : ((JSON.parse(row.value) as { nodeName?: string }).nodeName ?? '');
  }

  /** Makes a call of a client; returns the status, or 0 without an answer, and the text. */
  async call(
    front: Front,
    method: 'GET' | 'POST' | 'DELETE',
    callPath: string,
    body?: string,
  ): Promise<readonly [status: number, text: string]> {
    try {
      const response = await request(`http://127.0.0.1:${front.callerPort}${callPath}`, {
        method,
        headers: encodeCallerHeaders(HOST, KEY, 3_000),
        ...(body === undefined ? {} : { body }),
        headersTimeout: 3_500,
        bodyTimeout: 3_500,
      });
      const text = await response.body.text();
      this.record.write(`${method} ${callPath} at ${front.name}: ${response.statusCode} ${text}`);
      return [response.statusCode, text];
    } catch (error) {
      this.record.write(`${method} ${callPath} at ${front.name}: no answer (${String(error)})`);
      return [0, ''];
    }
  }

  /** Cuts or restores a front machine's path to the store, and its paths to the named machines. */
  setLinks(front: Front, isCut: boolean, names: Iterable<string>): void {
    front.storeLink.mode = isCut ? 'silent' : 'passing';
    for (const name of names) front.links.get(name)?.setMode(isCut ? 'silent' : 'passing');
  }

  /** Cuts a worker off from the store, or lets it register again. */
  setRegistration(workerId: string, isCut: boolean): void {
    if (isCut) this.missedHeartbeats.set(workerId, 0);
    else this.missedHeartbeats.delete(workerId);
  }

  delay(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  private listInstances(): readonly StandinInstance[] {
    return [...this.machines].map(([instanceId, machine]) => ({ instanceId, poolId: POOL, ...machine }));
  }

  /** Carries out the upkeep of a machine: its worker ends, and another one joins. */
  private async maintain(machine: string): Promise<void> {
    const workerId = this.machines.get(machine)?.workerId ?? '';
    this.record.write(`${machine} begins its upkeep`);
    this.begunUpkeep.add(machine);
    this.machines.set(machine, { state: 'upkeep', workerId });
    this.removeWorker(workerId);
    await this.delay(UPKEEP_MS);
    await this.addWorker(`${workerId}-again`, machine);
  }

  private removeWorker(workerId: string): void {
    this.workers.get(workerId)?.crash();
    this.workers.delete(workerId);
    this.setRegistration(workerId, true);
  }

  private async link(front: Front, name: string, address: string): Promise<void> {
    const proxy = new TcpProxy(address);
    front.links.set(name, proxy);
    front.view.add(address, await proxy.listen());
  }

  /** Adds an empty worker on a machine of its own. */
  async addWorker(workerId: string, machine = `machine-of-${workerId}`): Promise<void> {
    const server = new WorkerStandinServer((id) => this.workers.get(id === workerId ? id : ''));
    this.servers.push(server);
    const address = await server.listen();
    const bornAtMs = Date.now();
    this.workers.set(
      workerId,
      new StandinWorker({
        clock: this.clock,
        workerId,
        bornAtMs,
        maxLeaseMs: this.options.maxLeaseMs,
        runTimeMs: this.options.runTimeMs,
        observer: {
          onStarted: (_, { taskName, run, fencingToken }) => {
            this.recordStart(workerId, taskName, run, fencingToken);
          },
          onEnded: (_, { taskName, run, outcome }) => {
            this.recordEnd(workerId, taskName, run, outcome);
          },
        },
      }),
    );
    for (const front of this.fronts) await this.link(front, workerId, address);
    const row = encodeWorkerEntry({
      workerId,
      poolId: POOL,
      address,
      state: 'ready',
      startedAtMs: bornAtMs,
      capacity: { processors: 32, memoryBytes: 128 * GIBIBYTE, accelerators: 0 },
      availabilityZone: 'zone',
      labels: ['kind', `rack-${workerId}`],
      rack: `rack-${workerId}`,
      remainingMs: null,
      instanceId: machine,
    });
    this.machines.set(machine, { state: 'up', workerId });
    const beat = (): void => {
      const missed = this.missedHeartbeats.get(workerId);
      if (missed !== undefined) this.missedHeartbeats.set(workerId, missed + 1);
      if (missed === undefined) this.store.rows.apply({ conditions: [], writes: [row] });
      else if (missed + 1 === SILENT_HEARTBEATS)
        this.store.rows.apply({ conditions: [], writes: [{ ...row, value: null }] });
    };
    beat();
    this.heartbeats.push(setInterval(beat, HEARTBEAT_MS));
  }

  private recordStart(workerId: string, taskName: string, run: number, fencingToken: number): void {
    this.record.write(`${workerId} starts ${taskName} run ${run}, token ${fencingToken}`);
    const others = this.running.get(taskName) ?? [];
    for (const other of others)
      this.report(
        `TWICE: ${taskName} runs on ${other.workerId} (run ${other.run}) and on ${workerId} (run ${run}) at the same time`,
      );
    if (this.done.has(taskName)) this.report(`TWICE: ${taskName} starts on ${workerId} after it was done`);
    this.running.set(taskName, [...others, { workerId, run }]);
  }

  private recordEnd(workerId: string, taskName: string, run: number, outcome: string): void {
    this.record.write(`${workerId} ends ${taskName} run ${run}: ${outcome}`);
    if (outcome === 'done') this.done.add(taskName);
    const left = (this.running.get(taskName) ?? []).filter(
      (other) => other.workerId !== workerId || other.run !== run,
    );
    this.running.set(taskName, left);
  }

  private async awaitReady(front: Front): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < untilMs) {
      const status = await request(`http://127.0.0.1:${front.readinessPort}/-/readiness`).then(
        async ({ statusCode, body }) => {
          await body.dump();
          return statusCode;
        },
        () => 0,
      );
      if (status === 200) return;
      await this.delay(50);
    }
    throw new Error(`${front.name} did not become ready.`);
  }
}

/** Ports from below those that the system gives to outgoing connections, which might take them before a process does. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;

async function freePorts(count: number): Promise<readonly number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = FIRST_PORT + randomInt(PORT_COUNT);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isOpen = await new Promise<boolean>((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(true);
    });
  });
  if (isOpen) await new Promise((resolve) => server.close(resolve));
  return isOpen;
}
