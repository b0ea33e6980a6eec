/**
 * Test harness: several processes that compete for the placement lease over one store
 * and one set of workers, on a virtual clock.
 */
import { VirtualClock } from '../kernel/virtual_clock';
import { StoreJobOperations } from '../callers/store_job_operations';
import { NO_CLOSED_ZONES, type ClosedZones } from '../scheduling/closed_zones';
import type { FleetRules, QueueRule } from '../scheduling/fleet_rules';
import {
  InstanceOperations,
  type InstanceInventory,
  type InstanceStatus,
  type CommandIssuer,
  type InstanceCommandResult,
} from '../scheduling/instance_operations';
import type { JobDefinition, StepDefinition } from '../scheduling/job_definition';
import type { PlacementAdvice } from '../scheduling/placement_advice';
import { PlatformRowCodec, UnusableRowError, type OperatorRow } from '../scheduling/platform_row_codec';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import type { WorkerEntry } from '../scheduling/worker_entry';
import type { WorkerGateway } from '../scheduling/worker_gateway';
import { MemoryRows, MemoryRowStore } from '../store/memory_row_store';
import { isStoreFailure, type RowWrite } from '../store/row_store';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { FAKE_LEASE_MS, FakeWorkerGateway, type FakeWorker } from './_fake_worker_gateway';
import { LeaderElection } from './leader_election';
import { PlacementLeader } from './placement_leader';

export const QUEUE: QueueRule = {
  queueId: 'q',
  host: 'h',
  pathPrefix: '/q/',
  poolId: 'p',
  priority: 0,
  maxAttempts: 2,
  stretch: 2,
  targetLatencyMs: 500,
  openToAll: false,
  advice: null,
};

export const STEP: StepDefinition = {
  taskCount: 1,
  demand: { processors: 1, memoryBytes: 1, accelerators: 0 },
  estimateMs: 100,
  after: [],
  savesProgress: false,
  isGang: false,
  isRackSensitive: false,
  requiredLabel: null,
  dataRack: null,
  maxPerWorker: null,
  isSpeculative: false,
  isLongRunning: false,
  image: '',
  targetMs: null,
  isFiller: false,
  maxUnavailable: null,
};

export function fakeWorkerEntry(workerId: string, fields: Partial<WorkerEntry> = {}): WorkerEntry {
  return {
    workerId,
    poolId: 'p',
    address: '10.0.0.1:80',
    availabilityZone: 'z',
    state: 'ready',
    startedAtMs: 1,
    capacity: { processors: 4, memoryBytes: 1_000, accelerators: 0 },
    labels: ['a', 'r1'],
    rack: 'r1',
    remainingMs: null,
    instanceId: `m-${workerId}`,
    ...fields,
  };
}

const CLOSED_ZONE_PREFIX = 'closed/';

/** Encodes worker entries as JSON of {@link WorkerEntry}. */
export class JsonRowCodec extends PlatformRowCodec {
  override readonly operatorTable = 'op';
  override readonly workerTable = 'workers';
  override readonly partition = '';

  override decodeOperatorRow(): OperatorRow {
    return { kind: 'unknown' };
  }

  override closedZone(key: string): string | null {
    return key.startsWith(CLOSED_ZONE_PREFIX) ? key.slice(CLOSED_ZONE_PREFIX.length) : null;
  }

  override decodeWorkerEntry(_workerId: string, value: string): WorkerEntry {
    if (value === 'garbage') throw new UnusableRowError('The worker entry cannot be decoded.');
    return JSON.parse(value) as WorkerEntry;
  }

  override encodeWaveStatus(waveNumber: number, isCompleted: boolean): RowWrite {
    return { table: 'status', partition: '', key: `wave/${waveNumber}`, value: String(isCompleted) };
  }
}

/** Instance service that accepts every command at once; the commands do not change the instances. */
export class FakeInstanceOperations extends InstanceOperations {
  readonly commands: string[] = [];
  readonly issuers: CommandIssuer[] = [];
  readonly instances = new Map<string, InstanceStatus>();

  override list(): Promise<InstanceInventory> {
    return Promise.resolve({ instances: [...this.instances.values()], isComplete: true });
  }

  override move(instanceId: string, poolId: string, issuer: CommandIssuer): Promise<InstanceCommandResult> {
    this.commands.push(`move ${instanceId} ${poolId}`);
    this.issuers.push(issuer);
    return Promise.resolve('accepted');
  }

  override maintain(
    instanceId: string,
    waveNumber: number,
    issuer: CommandIssuer,
  ): Promise<InstanceCommandResult> {
    this.commands.push(`maintain ${instanceId} ${waveNumber}`);
    this.issuers.push(issuer);
    return Promise.resolve('accepted');
  }
}

export const LEADER_LEASE_MS = 3_000;

/** Minimum time for which the states of ended jobs can be read, in milliseconds. */
export const RETENTION_MS = 20_000;

export class PlacementHarness {
  readonly clock = new VirtualClock();
  readonly rows = new MemoryRows();
  readonly gateway = new FakeWorkerGateway(this.clock);
  readonly instances = new FakeInstanceOperations();
  readonly waves = new Map<number, MaintenanceWave>();
  instanceCommandsPerSecond = 1_000;
  /** Number of processes that were created until now. */
  createdProcesses = 0;
  processCount: (() => number) | null = () => 1;
  advice: PlacementAdvice | null = null;
  avoidsInterference = true;
  rules: FleetRules = {
    version: 1,
    queues: new Map([['q', QUEUE]]),
    pools: new Map([['p', { poolId: 'p', spare: false }]]),
    teams: new Map([
      ['t', { teamId: 't', shareWeight: 1, upperLimit: { processors: 0, memoryBytes: 0, accelerators: 0 } }],
    ]),
    teamByKey: new Map(),
    maxBodyBytes: 1_000,
  };

  private readonly operatorStore = new MemoryRowStore(this.rows, this.clock);
  private readonly jobOperations = new StoreJobOperations({ store: this.operatorStore, clock: this.clock });

  async addWorker(workerId: string, fields: Partial<WorkerEntry> = {}): Promise<FakeWorker> {
    const entry = fakeWorkerEntry(workerId, fields);
    const worker = this.gateway.add(entry);
    await this.register(entry);
    return worker;
  }

  /** Crashes a worker; it is back under its id, as another incarnation, after `downMs`. */
  crash(workerId: string, downMs = 3_000): void {
    const worker = this.gateway.workers.get(workerId);
    if (worker?.isReachable !== true) return;
    worker.isReachable = false;
    worker.runs.clear();
    const { entry } = worker;
    this.clock.schedule(downMs, () => {
      void this.addWorker(workerId, { ...entry, startedAtMs: entry.startedAtMs + 1 });
    });
  }

  /**
   * Restarts a worker under its id: it accepts calls at once, and the entry of the incarnation
   * that ended stays until {@link register} replaces it.
   */
  restart(workerId: string, fields: Partial<WorkerEntry> = {}): FakeWorker {
    const ended = this.gateway.workers.get(workerId);
    if (ended === undefined) throw new Error(`There is no worker ${workerId}.`);
    ended.isReachable = false;
    ended.runs.clear();
    const { entry } = ended;
    return this.gateway.add({ ...entry, startedAtMs: entry.startedAtMs + 1, ...fields });
  }

  async register(entry: WorkerEntry): Promise<void> {
    await this.writeEntry(entry.workerId, JSON.stringify(entry));
  }

  async writeRow(row: RowWrite): Promise<void> {
    await this.operatorStore.transact({ conditions: [], writes: [row] });
  }

  async writeEntry(workerId: string, value: string | null): Promise<void> {
    await this.operatorStore.transact({
      conditions: [],
      writes: [{ table: 'workers', partition: '', key: workerId, value }],
    });
  }

  /** Closes an availability zone, as the operator does, or opens it again with `null`. */
  async setZone(zone: string, value: string | null = '{}'): Promise<void> {
    await this.writeRow({ table: 'op', partition: '', key: `${CLOSED_ZONE_PREFIX}${zone}`, value });
  }

  async submit(
    jobId: string,
    steps: readonly StepDefinition[],
    fields: Partial<JobDefinition> = {},
  ): Promise<void> {
    const definition = { spec: 's', steps, repeat: null, ...fields };
    await this.jobOperations.submit({
      jobId,
      queueId: 'q',
      teamId: 't',
      acceptedUnder: QUEUE,
      definition,
      deadlineAtMs: Infinity,
    });
  }

  async cancel(jobId: string): Promise<void> {
    await this.jobOperations.cancel(jobId);
  }

  /** Cancels a job like {@link cancel}, and returns whether callers are told that it is known. */
  async cancelIfKnown(jobId: string): Promise<boolean> {
    return this.jobOperations.cancel(jobId);
  }

  /** Number of pending jobs that callers of a queue are told. */
  async pending(queueId: string): Promise<number> {
    return this.jobOperations.pending(queueId);
  }

  /** Reads the state through new job operations, which have nothing cached. */
  async state(jobId: string): Promise<string | null> {
    return new StoreJobOperations({ store: this.operatorStore, clock: this.clock }).state(jobId);
  }

  /** The status row of a wave, as the operator reads it. */
  async waveStatus(waveNumber: number): Promise<string | null> {
    const address = { table: 'status', partition: '', key: `wave/${waveNumber}` };
    return (await this.operatorStore.readOne(address))?.value ?? null;
  }

  process(name: string, options: { readonly hasLargerPeer?: boolean } = {}): HarnessProcess {
    this.createdProcesses += 1;
    return new HarnessProcess(this, name, options.hasLargerPeer);
  }

  /** Advances the clock in small steps, so that promises settle between timers. */
  async advance(ms: number): Promise<void> {
    await this.clock.advanceAsync(ms);
  }

  /** All starts on all workers. */
  starts(): readonly string[] {
    return this.gateway.all().flatMap(({ starts }) => starts);
  }

  runningCount(): number {
    return this.gateway.all().reduce((sum, { runs }) => sum + runs.size, 0);
  }
}

export class HarnessProcess {
  readonly store: MemoryRowStore;
  readonly counters = new MemoryCounters();
  /** What this process uses to call workers; replaced where it does not reach all of them. */
  gateway: WorkerGateway;
  /** As in {@link SoleLeadershipOptions}; here the other processes are asked only where a test says so. */
  ruleOutSuccessor: () => Promise<boolean>;
  closedZones: () => ClosedZones = () => NO_CLOSED_ZONES;
  leader: PlacementLeader | null = null;
  leadershipLossCount = 0;
  private readonly election: LeaderElection;

  constructor(
    private readonly harness: PlacementHarness,
    name: string,
    hasLargerPeer = false,
  ) {
    this.store = new MemoryRowStore(harness.rows, harness.clock);
    this.gateway = harness.gateway;
    this.ruleOutSuccessor = () => Promise.resolve(harness.createdProcesses === 1);
    this.election = new LeaderElection({
      store: this.store,
      clock: harness.clock,
      identity: { nodeName: name, processId: `${name}-process` },
      leaseMs: LEADER_LEASE_MS,
      hasLargerPeer: () => hasLargerPeer,
      onUnusableLease: () => undefined,
    });
  }

  /** Waits for the lease and acts as the leader once. */
  async run(): Promise<void> {
    const lease = await this.election.acquire();
    if (lease === null) return;
    const { harness } = this;
    this.leader = new PlacementLeader({
      store: this.store,
      clock: harness.clock,
      rowCodec: new JsonRowCodec(),
      gateway: this.gateway,
      instances: harness.instances,
      advice: harness.advice,
      rules: () => harness.rules,
      waves: () => harness.waves,
      closedZones: () => this.closedZones(),
      avoidsInterference: harness.avoidsInterference,
      lease,
      leaseMs: LEADER_LEASE_MS,
      maxWorkerLeaseMs: FAKE_LEASE_MS,
      retentionMs: RETENTION_MS,
      instanceCommandDelayMs: 0,
      processors: 1,
      instanceCommandsPerSecond: harness.instanceCommandsPerSecond,
      processCount: harness.processCount,
      counters: this.counters,
      logger: Logger.create({ level: 'silent' }),
      ruleOutSuccessor: () => this.ruleOutSuccessor(),
      onStoreUnreachable: () => undefined,
      onLost: () => {
        this.leadershipLossCount += 1;
      },
    });
    try {
      await this.leader.start();
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      this.leader.stop();
    }
  }

  onLeaderResigned(epoch: number): void {
    this.election.onLeaderResigned(epoch);
  }

  /** Ends without releasing the lease, as by SIGKILL. */
  kill(): void {
    this.election.stop();
    this.store.faults = { ...this.store.faults, down: true };
    this.leader?.stop();
  }
}
