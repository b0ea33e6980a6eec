/** A simulated deployment for tests of placement: entry instances, workers, table and membership on one virtual clock. */
import { FRESHNESS_MS } from '../config/freshness';
import { PausableClock } from '../kernel/pausable_clock';
import { VirtualClock } from '../kernel/virtual_clock';
import { Membership, type Member, type IncarnationState } from '../membership/membership';
import type { FleetConfiguration } from '../model/fleet';
import { MemoryTableService, NO_TABLE_FAULTS } from '../platform/memory_table_service';
import { MemoryWorkerControl } from '../platform/memory_worker_control';
import { TableStore } from '../platform/table_store';
import { TaskHost, type RunInterval } from '../platform/task_host';
import type { RenewRequest, TaskSpec, WorkerAddress, WorkerSession } from '../platform/worker_control';
import { RoleLeases } from '../roles/role_lease';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { LimitOnlyGate } from './_limit_only_gate';
import { testFleet, type TestFleetOptions } from './_test_fleet';
import { BestFitPlacement } from './best_fit_placement';
import { jobRequestSchema, type Job, type JobRequest } from './job';
import { JobService } from './job_service';
import { JobStore } from './job_store';
import { PlacementRoles } from './placement_roles';
import { PoolPlacement } from './pool_placement';
import { UsageModel } from './usage_model';
import { WorkerHealth } from './worker_health';

const HEARTBEAT_MS = 400;
const FENCE_AFTER_MS = 5_000;
const STEP_MS = 50;

/**
 * Time after which a submission without a response is a fault, in milliseconds.
 * The slowest simulated table responds after 8 s.
 */
const SUBMIT_TIMEOUT_MS = 60_000;

interface MemberRow {
  readonly member: Member;
  readonly lastSeenMs: number;
}

/** The membership as one simulated entry instance last read it. */
class SimulatedMembership extends Membership {
  view: ReadonlyMap<string, Member> = new Map();
  current: Member | null = null;

  override self(): Member | null {
    return this.current;
  }

  override registered(): readonly Member[] {
    return [...this.view.values()].filter(({ status }) => status === 'active');
  }

  override incarnationState(memberId: string, incarnation: string): IncarnationState {
    const member = this.view.get(memberId);
    return member?.incarnation === incarnation && member.status === 'active' ? 'live' : 'fencing';
  }
}

/** Worker control whose responses wait while the process is paused, and whose requests can be held until it resumes. */
class PausableWorkerControl extends MemoryWorkerControl {
  holdRequests = false;
  commands = 0;

  constructor(
    hosts: ReadonlyMap<string, TaskHost>,
    clock: VirtualClock,
    private readonly process: PausableClock,
  ) {
    super(hosts, clock);
  }

  override open(worker: WorkerAddress, poolId: string, epoch: number) {
    return this.deferWhilePaused(() => super.open(worker, poolId, epoch));
  }
  override renew(worker: WorkerAddress, session: WorkerSession, request: RenewRequest) {
    return this.deferWhilePaused(() => super.renew(worker, session, request));
  }
  override start(worker: WorkerAddress, session: WorkerSession, spec: TaskSpec) {
    return this.deferWhilePaused(() => super.start(worker, session, spec));
  }
  override checkpoint(worker: WorkerAddress, session: WorkerSession, taskId: string) {
    return this.deferWhilePaused(() => super.checkpoint(worker, session, taskId));
  }
  override stop(worker: WorkerAddress, session: WorkerSession, taskId: string) {
    return this.deferWhilePaused(() => super.stop(worker, session, taskId));
  }

  private async deferWhilePaused<T>(command: () => Promise<T>): Promise<T> {
    this.commands += 1;
    if (this.holdRequests) {
      await this.process.delay(1);
      await this.process.whenRunning();
    }
    try {
      return await command();
    } finally {
      await this.process.whenRunning();
    }
  }
}

/** One simulated entry instance. */
export class SimulatedEntry {
  readonly process: PausableClock;
  readonly table: MemoryTableService;
  readonly control: PausableWorkerControl;
  readonly membership = new SimulatedMembership();
  readonly counters = new MemoryCounters();
  readonly service: JobService;
  readonly roles: PlacementRoles;
  private freshAsOfMs = Number.NEGATIVE_INFINITY;
  private registrations = 0;

  constructor(
    readonly memberId: string,
    private readonly simulation: PlacementSimulation,
    /** The configuration with upper limits reduced to the part that this entry instance may use. */
    public grantedFleet: FleetConfiguration,
  ) {
    const { clock, store, hosts } = simulation;
    this.process = new PausableClock(clock);
    this.table = new MemoryTableService(store, clock);
    this.control = new PausableWorkerControl(hosts, clock, this.process);
    const jobs = new JobStore(this.table, this.process);
    const leases = new RoleLeases(this.table, this.membership);
    const usage = new UsageModel();
    const health = new WorkerHealth(() => 0.5);
    const gate = new LimitOnlyGate(() => this.grantedFleet);
    const logger = Logger.create({ level: 'silent' });
    const shared = { clock: this.process, roles: leases, counters: this.counters, logger };
    this.service = new JobService({
      clock: this.process,
      freshFleet: () => this.freshFleet(),
      store: jobs,
      counters: this.counters,
      onChanged: (poolId) => {
        this.roles.handleJobsChanged(poolId);
      },
    });
    this.roles = new PlacementRoles({
      ...shared,
      membership: this.membership,
      freshFleet: () => this.freshFleet(),
      createPlacement: (term) =>
        new PoolPlacement({
          ...term,
          ...shared,
          store: jobs,
          control: this.control,
          gate,
          fleet: () => simulation.fleet,
          policy: new BestFitPlacement(),
          usage,
          health,
          random: () => 0.5,
        }),
    });
  }

  start(): void {
    this.heartbeat();
    this.roles.start([]);
  }

  private freshFleet(): FleetConfiguration | null {
    const ageMs = this.process.monotonicMs() - this.freshAsOfMs;
    return ageMs <= FRESHNESS_MS ? this.simulation.fleet : null;
  }

  /** Reads the membership; registers again under a new incarnation after having been fenced. */
  private heartbeat(): void {
    this.process.schedule(HEARTBEAT_MS, () => {
      this.heartbeat();
    });
    if (this.table.faults.down) return;
    const nowMs = this.process.monotonicMs();
    const { members } = this.simulation;
    if (members.get(this.memberId)?.member.status !== 'active') {
      this.registrations += 1;
      this.membership.current = newMember(this.memberId, this.registrations);
    }
    const { current } = this.membership;
    if (current === null) return;
    members.set(this.memberId, { member: current, lastSeenMs: nowMs });
    this.membership.view = new Map([...members].map(([memberId, { member }]) => [memberId, member]));
    this.freshAsOfMs = nowMs;
  }
}

function newMember(memberId: string, registration: number): Member {
  const incarnation = `${memberId}-${registration}`;
  const address = { host: '127.0.0.1', peerPort: 1, availabilityZone: 'zone-1' };
  return { memberId, incarnation, ...address, status: 'active' };
}

export interface SimulationOptions extends TestFleetOptions {
  readonly entries: number;
  /** Part of each team's upper limit that each entry instance may use. */
  readonly grantPerEntry: number;
}

export class PlacementSimulation {
  readonly clock = new VirtualClock();
  readonly store = new TableStore();
  readonly members = new Map<string, MemberRow>();
  readonly hosts: ReadonlyMap<string, TaskHost>;
  readonly entries: readonly SimulatedEntry[];
  fleet: FleetConfiguration;

  constructor(options: SimulationOptions) {
    this.fleet = testFleet(options);
    this.hosts = new Map([...this.fleet.instances.keys()].map((id) => [id, new TaskHost(this.clock)]));
    const grantedFleet = testFleet({ ...options, upperLimit: options.grantPerEntry });
    this.entries = Array.from(
      { length: options.entries },
      (_, index) => new SimulatedEntry(`entry-${index + 1}`, this, grantedFleet),
    );
    for (const entry of this.entries) entry.start();
    this.fenceUnresponsiveMembers();
  }

  entry(index: number): SimulatedEntry {
    const entry = this.entries[index % this.entries.length];
    if (entry === undefined) throw new Error('The simulation has no entry instance.');
    return entry;
  }

  host(index: number): TaskHost {
    const host = [...this.hosts.values()][index % this.hosts.size];
    if (host === undefined) throw new Error('The simulation has no worker.');
    return host;
  }

  advance(ms: number): Promise<void> {
    return this.clock.advanceAsync(ms, STEP_MS);
  }

  /** Submits through an entry instance; resolves with `null` if the submission was rejected. */
  async submit(entry: number, teamId: string, changes: Partial<JobRequest>): Promise<string | null> {
    const base = { queueId: 'stir', processors: 8, memoryBytes: 2 ** 30, runTimeMs: 1_000 };
    const request = jobRequestSchema.parse({ ...base, ...changes });
    const submission = { request, key: `${teamId}-key`, idempotencyKey: null };
    let isSettled = false;
    const submitted = this.entry(entry)
      .service.submit(submission)
      .then(
        ({ jobId }) => jobId,
        () => null,
      )
      .finally(() => {
        isSettled = true;
      });
    const isPending = (): boolean => !isSettled;
    const deadlineAtMs = this.clock.monotonicMs() + SUBMIT_TIMEOUT_MS;
    await this.advance(1_000);
    // The virtual clock stops between calls, so it has to be advanced until a slow table has responded.
    while (isPending() && this.clock.monotonicMs() < deadlineAtMs) await this.advance(STEP_MS);
    if (isPending()) throw new Error('A submission had no response in time.');
    return submitted;
  }

  /** The job as stored in the table. */
  job(jobId: string): Job | undefined {
    const [row] = this.store.read({ keys: [`job/${jobId}`] });
    return row?.value as Job | undefined;
  }

  /** Ends every fault. */
  clearFaults(): void {
    for (const entry of this.entries) {
      entry.control.holdRequests = false;
      entry.process.resume();
      entry.table.faults = NO_TABLE_FAULTS;
      entry.control.faults = { unreachable: new Set(), requestDelayMs: 0, loseAnswers: 0, timeoutMs: 1_000 };
    }
    for (const host of this.hosts.values()) {
      host.faults = { refuseStarts: false, failTasks: false, refuseCheckpoints: false, usageLagMs: 2_000 };
    }
  }

  /** Every interval in which a task ran on any worker, in order of start. */
  intervals(): readonly (RunInterval & { readonly host: string; readonly endMs: number })[] {
    return [...this.hosts]
      .flatMap(([host, tasks]) =>
        tasks
          .intervals()
          .map((interval) => ({ ...interval, host, endMs: interval.toMs ?? this.clock.monotonicMs() })),
      )
      .sort((a, b) => a.fromMs - b.fromMs);
  }

  fence(memberId: string): void {
    const row = this.members.get(memberId);
    if (row) this.members.set(memberId, { ...row, member: { ...row.member, status: 'fenced' } });
  }

  /** Fences members that have sent no heartbeat for too long, as their peers do while the table is up. */
  private fenceUnresponsiveMembers(): void {
    this.clock.schedule(HEARTBEAT_MS, () => {
      this.fenceUnresponsiveMembers();
      if (this.entries.every(({ table }) => table.faults.down)) return;
      for (const [memberId, row] of this.members) {
        if (this.clock.monotonicMs() - row.lastSeenMs >= FENCE_AFTER_MS) this.fence(memberId);
      }
    });
  }
}
