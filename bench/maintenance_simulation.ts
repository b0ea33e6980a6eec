/** Simulated deployment for property tests and benchmarks of maintenance. */
import { HEAD_KEY } from '../config/head';
import { VirtualClock, settlePromises } from '../kernel/virtual_clock';
import { availabilityKey, availabilitySchema } from '../maintenance/availability_budget';
import { LIST_MAX_AGE_MS } from '../maintenance/platform_view';
import { waveRecordKey, waveRecordSchema } from '../maintenance/wave_record';
import type { WavePolicy } from '../maintenance/wave_policy';
import { MAX_WORK_MS } from '../membership/membership';
import { instanceSchema, type Instance, type InstanceState, type Pool } from '../model/fleet';
import { SimulatedPlatform } from '../platform/simulated_platform';
import type { Write } from '../platform/table_service';
import { CheckedTableStore } from './_checked_table_store';
import { MaintenanceMember } from './_maintenance_member';
import { SimulatedMemberList } from './_simulated_members';

/** Interval at which members exchange counts and lost contact is detected, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 500;
const STEP_MS = 100;
/** Interval at which members begin work if there is load, in milliseconds. */
const LOAD_INTERVAL_MS = 1_000;
const WORK_DURATION_MS = 6_000;
/** Time without contact after which a member is fenced, in milliseconds. */
const CONTACT_TIMEOUT_MS = 5_000;
/** Longest time from a decision to its commit, in milliseconds: the timeout of one call to the table service. */
const COMMIT_DELAY_MS = 1_000;

export interface SimulationOptions {
  readonly members: number;
  /** Number of instances by pool. */
  readonly instances: Readonly<Record<string, number>>;
  /** Availability budget of every pool: most instances that may be unavailable at once. */
  readonly maxUnavailable: number;
  /** Number of instances per rack. */
  readonly perRack: number;
  /** Number of availability zones. */
  readonly zones: number;
  /** Age of the instance list that the platform returns, in milliseconds. */
  readonly lagMs: number;
  /** Time from the start of a reboot until the instance is live again, in milliseconds. */
  readonly rebootMs: number;
  readonly newPolicy: () => WavePolicy;
  /** Whether every member begins work on one instance per second. */
  readonly hasLoad?: boolean;
}

/**
 * Runs the maintenance code of several members against one table and one
 * platform, and records every violation of an invariant.
 *
 * @example
 * ```ts
 * const simulation = await MaintenanceSimulation.start(options);
 * simulation.addWave('wave-1', 'a');
 * await simulation.run(600_000);
 * simulation.violations; // []
 * ```
 */
export class MaintenanceSimulation {
  readonly clock = new VirtualClock();
  readonly violations: string[] = [];
  readonly platform: SimulatedPlatform;
  readonly store: CheckedTableStore;
  readonly members: readonly MaintenanceMember[];
  readonly instances: readonly Instance[];
  private readonly list: SimulatedMemberList;
  private readonly downSinceMs = new Map<string, number>();
  private readonly workInProgress = new Map<string, readonly { readonly untilMs: number }[]>();
  private readonly pausedAtMs = new Map<string, number>();

  private constructor(private readonly options: SimulationOptions) {
    const { clock } = this;
    this.store = new CheckedTableStore((before, after) => {
      this.checkChange(before, after);
    });
    this.platform = new SimulatedPlatform({
      clock,
      lagMs: options.lagMs,
      rebootMs: options.rebootMs,
      onReboot: (instanceId) => {
        this.checkReboot(instanceId);
      },
    });
    this.instances = newInstances(options);
    for (const { instanceId } of this.instances) this.platform.add(instanceId);
    this.writeInitialConfiguration();
    this.list = new SimulatedMemberList(clock, this.store);
    this.members = Array.from(
      { length: options.members },
      (_, index) =>
        new MaintenanceMember({
          memberId: `entry-${index + 1}`,
          clock,
          store: this.store,
          platform: this.platform,
          list: this.list,
          newPolicy: options.newPolicy,
        }),
    );
  }

  /** Creates a simulation and runs it until the platform's lagging list shows all instances. */
  static async start(options: SimulationOptions): Promise<MaintenanceSimulation> {
    const simulation = new MaintenanceSimulation(options);
    await simulation.run(2 * options.lagMs + 1_000);
    return simulation;
  }

  /**
   * Advances time until `ms` have passed or `shouldStop` returns true. Meanwhile
   * work starts and ends, members exchange counts and unreachable members are fenced.
   */
  async run(ms: number, shouldStop: () => boolean = () => false): Promise<void> {
    const endMs = this.clock.monotonicMs() + ms;
    while (this.clock.monotonicMs() < endMs && !shouldStop()) {
      this.clock.advance(STEP_MS);
      await settlePromises();
      this.recordDowntime();
      if (this.clock.monotonicMs() % EXCHANGE_INTERVAL_MS === 0) this.exchangeReports();
      if (this.options.hasLoad === true && this.clock.monotonicMs() % LOAD_INTERVAL_MS === 0)
        this.beginPeriodicWork();
    }
  }

  /** Adds a wave over all instances of a pool. */
  addWave(waveId: string, poolId: string): void {
    const instanceIds = this.instances.filter((i) => i.poolId === poolId).map((i) => i.instanceId);
    this.set('waves', waveId, { waveId, poolId, instanceIds });
  }

  /** Commits a configuration object as an operator's ticket does. */
  set(kind: 'waves' | 'pools' | 'instances', objectId: string, value: object): void {
    const head = this.store.read({ keys: [HEAD_KEY] })[0]?.value as { readonly revision: number };
    const revision = head.revision + 1;
    const change = { revision, ticketNumber: revision, commitId: `ticket-${revision}` };
    this.store.transact({
      conditions: [],
      writes: [
        { key: HEAD_KEY, value: { ...head, revision } },
        { key: `change/${revision}`, value: { ...change, objects: [{ kind, objectId, value }] } },
        { key: `config/${kind}/${objectId}`, value: { ticketNumber: revision, value } },
      ],
    });
  }

  /**
   * Lets a member begin work on an instance that is serving according to the
   * member's configuration, which may be out of date.
   */
  beginWork(memberIndex: number, instanceId: string, durationMs: number): void {
    const member = this.members[memberIndex % this.members.length];
    if (!member || member.isPaused() || !member.configuration.isFresh()) return;
    const knownState = member.configuration.fleet().instanceStates.get(instanceId);
    if (knownState?.state !== 'serving') return;
    const actualState = this.store.states().find((state) => state.instanceId === instanceId);
    if (actualState && actualState.poolId !== knownState.poolId)
      this.violations.push(
        `${instanceId} got work of pool ${knownState.poolId} while in pool ${actualState.poolId}`,
      );
    const end = member.inFlight.begin(instanceId);
    const item = { untilMs: this.clock.monotonicMs() + Math.min(durationMs, MAX_WORK_MS) };
    this.workInProgress.set(instanceId, [...(this.workInProgress.get(instanceId) ?? []), item]);
    this.clock.schedule(Math.min(durationMs, MAX_WORK_MS), end);
  }

  pause(memberIndex: number): void {
    this.members[memberIndex % this.members.length]?.pause();
  }

  resumeAll(): void {
    for (const member of this.members) member.resume();
  }

  /** Whether every instance listed in the wave is done or has left the pool. */
  isComplete(waveId: string): boolean {
    const wave = this.store.readObject(`config/waves/${waveId}`) as { poolId: string; instanceIds: string[] };
    const [row] = this.store.read({ keys: [waveRecordKey(waveId)] });
    const done = row ? waveRecordSchema.parse(row.value).done : [];
    const inPool = new Set(
      this.store.states().flatMap((state) => (state.poolId === wave.poolId ? [state.instanceId] : [])),
    );
    return wave.instanceIds.every((id) => done.includes(id) || !inPool.has(id));
  }

  /**
   * Whether all instances serve the pool that is configured for them, and every
   * instance that counts against an availability budget failed unplanned.
   */
  isSettled(): boolean {
    const configuredPool = (id: string): string =>
      (this.store.readObject(`config/instances/${id}`) as Instance).poolId;
    const unavailable = Object.keys(this.options.instances).flatMap((poolId) =>
      this.store
        .read({ keys: [availabilityKey(poolId)] })
        .flatMap(({ value }) => availabilitySchema.parse(value).entries),
    );
    return (
      unavailable.every(({ cause }) => cause === 'unplanned') &&
      this.store.states().every((s) => s.state === 'serving' && s.poolId === configuredPool(s.instanceId))
    );
  }

  /** Begins work on instances in turn; with 3 members and 9 instances, about two attempts run on each at any time. */
  private beginPeriodicWork(): void {
    const second = Math.floor(this.clock.monotonicMs() / LOAD_INTERVAL_MS);
    for (const index of this.members.keys()) {
      const target = this.instances[(second * 4 + index * 3) % this.instances.length];
      if (target) this.beginWork(index, target.instanceId, WORK_DURATION_MS);
    }
  }

  /** Fences members that have been paused for too long and exchanges in-flight counts between the others. */
  private exchangeReports(): void {
    const nowMs = this.clock.monotonicMs();
    for (const member of this.members) {
      const { memberId } = member.identity();
      if (!member.isPaused()) {
        this.pausedAtMs.delete(memberId);
        member.registerAgainIfFenced();
      } else if (
        nowMs - (this.pausedAtMs.get(memberId) ?? this.recordPause(memberId)) >=
        CONTACT_TIMEOUT_MS
      ) {
        this.list.fence(memberId);
      }
    }
    const reachable = this.members.filter((member) => !member.isPaused() && member.configuration.isFresh());
    for (const from of reachable)
      for (const to of reachable)
        if (from !== to) to.inFlightTracker.receive(from.identity(), from.inFlightTracker.compose());
  }

  /** Records that the member was found paused for the first time; returns the current time. */
  private recordPause(memberId: string): number {
    this.pausedAtMs.set(memberId, this.clock.monotonicMs());
    return this.clock.monotonicMs();
  }

  private recordDowntime(): void {
    for (const { instanceId } of this.instances) {
      if (this.platform.isRunning(instanceId)) this.downSinceMs.delete(instanceId);
      else if (!this.downSinceMs.has(instanceId)) this.downSinceMs.set(instanceId, this.clock.monotonicMs());
    }
  }

  /**
   * Checks that an instance changes its pool only by a move and without work in
   * progress, and that taking it out of service keeps the availability budget.
   */
  private checkChange(before: InstanceState, after: InstanceState): void {
    if (before.poolId !== after.poolId && (before.state !== 'moving' || before.movingTo !== after.poolId))
      this.violations.push(`${after.instanceId} left pool ${before.poolId} without moving`);
    if (before.poolId !== after.poolId && this.hasWorkInProgress(after.instanceId))
      this.violations.push(`${after.instanceId} left pool ${before.poolId} with work in progress`);
    if (before.state !== 'serving' || after.state === 'serving') return;
    const pool = this.store.readObject(`config/pools/${after.poolId}`) as Pool;
    const unavailable = this.store
      .states()
      .filter((state) => state.poolId === after.poolId)
      .filter((state) => state.state !== 'serving' || this.isKnownDown(state.instanceId));
    if (unavailable.length > pool.maxUnavailable)
      this.violations.push(
        `${after.instanceId} was taken out of service as unavailable instance ${unavailable.length} of at most ${pool.maxUnavailable}`,
      );
  }

  /** Whether the instance has been down for so long that every list recent enough for a decision shows it. */
  private isKnownDown(instanceId: string): boolean {
    const sinceMs = this.downSinceMs.get(instanceId);
    if (sinceMs === undefined || this.platform.isRunning(instanceId)) return false;
    return this.clock.monotonicMs() - sinceMs > LIST_MAX_AGE_MS + COMMIT_DELAY_MS + STEP_MS;
  }

  /** Checks that the instance is in the state `rebooting` and has no work in progress. */
  private checkReboot(instanceId: string): void {
    const state = this.store.states().find((candidate) => candidate.instanceId === instanceId);
    if (state?.state !== 'rebooting')
      this.violations.push(`${instanceId} was rebooted while ${state?.state ?? 'unknown'}`);
    if (this.hasWorkInProgress(instanceId))
      this.violations.push(`${instanceId} was rebooted with work in progress`);
  }

  private hasWorkInProgress(instanceId: string): boolean {
    const nowMs = this.clock.monotonicMs();
    return (this.workInProgress.get(instanceId) ?? []).some(({ untilMs }) => untilMs > nowMs);
  }

  private writeInitialConfiguration(): void {
    const objectWrite = (kind: string, objectId: string, value: object): Write => ({
      key: `config/${kind}/${objectId}`,
      value: { ticketNumber: 1, value },
    });
    const { maxUnavailable } = this.options;
    const pools = Object.keys(this.options.instances).map((poolId) =>
      objectWrite('pools', poolId, { poolId, maxUnavailable, spare: false }),
    );
    const instances = this.instances.map((value) => objectWrite('instances', value.instanceId, value));
    const states = this.instances.map(({ instanceId, poolId }) =>
      objectWrite('instanceStates', instanceId, {
        instanceId,
        poolId,
        movingTo: null,
        state: 'serving',
        epoch: 0,
      }),
    );
    const head = { key: HEAD_KEY, value: { revision: 1, membershipEpoch: 1 } };
    this.store.transact({ conditions: [], writes: [head, ...pools, ...instances, ...states] });
  }
}

function newInstances(options: SimulationOptions): readonly Instance[] {
  return Object.entries(options.instances).flatMap(([poolId, count]) =>
    Array.from({ length: count }, (_, index) =>
      instanceSchema.parse({
        instanceId: `${poolId}-${String(index + 1).padStart(3, '0')}`,
        poolId,
        host: 'local',
        port: 1,
        availabilityZone: `zone-${(Math.floor(index / options.perRack) % options.zones) + 1}`,
        rack: `rack-${Math.floor(index / options.perRack) + 1}`,
      }),
    ),
  );
}
