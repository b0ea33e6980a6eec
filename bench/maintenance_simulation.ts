/** Simulated deployment for properties and measurements of maintenance. */
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
import { CheckedTableStore } from './_checked_table';
import { MaintenanceMember } from './_maintenance_member';
import { SimulatedMemberList } from './_simulated_members';

const EXCHANGE_MS = 500;
const STEP_MS = 100;
const LOAD_INTERVAL_MS = 1_000;
const LOAD_DURATION_MS = 6_000;
/** Silence after which the others fence a member, in milliseconds. */
const SILENCE_MS = 5_000;
/** A commit may follow its decision by this long, in milliseconds: the time limit of one call to the table. */
const COMMIT_DELAY_MS = 1_000;

export interface SimulationOptions {
  readonly members: number;
  /** Instances per pool. */
  readonly instances: Readonly<Record<string, number>>;
  readonly maxUnavailable: number;
  readonly perRack: number;
  readonly zones: number;
  readonly lagMs: number;
  readonly rebootMs: number;
  readonly newPolicy: () => WavePolicy;
  /** Every member begins work on one instance a second. */
  readonly hasLoad?: boolean;
}

/**
 * Runs the maintenance code of several members against one table and one
 * platform, and notes every violation of an invariant.
 *
 * @example
 * ```ts
 * const simulation = await MaintenanceSimulation.start(options);
 * await simulation.addWave('wave-1', 'a');
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
  private readonly work = new Map<string, readonly { readonly untilMs: number }[]>();
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
    this.writeConfiguration();
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

  static async start(options: SimulationOptions): Promise<MaintenanceSimulation> {
    const simulation = new MaintenanceSimulation(options);
    await simulation.run(2 * options.lagMs + 1_000);
    return simulation;
  }

  /** Advances time; work starts and ends, members exchange counts and fence silent ones. */
  async run(ms: number, until: () => boolean = () => false): Promise<void> {
    const endMs = this.clock.monotonicMs() + ms;
    while (this.clock.monotonicMs() < endMs && !until()) {
      this.clock.advance(STEP_MS);
      await settlePromises();
      this.trackDowntime();
      if (this.clock.monotonicMs() % EXCHANGE_MS === 0) this.exchange();
      if (this.options.hasLoad === true && this.clock.monotonicMs() % LOAD_INTERVAL_MS === 0) this.load();
    }
  }

  /** Adds a wave over all instances of a pool. */
  addWave(waveId: string, poolId: string): void {
    const instanceIds = this.instances.filter((i) => i.poolId === poolId).map((i) => i.instanceId);
    this.set('waves', waveId, { waveId, poolId, instanceIds });
  }

  /** Sets a configuration object as an operator's ticket would. */
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

  /** Lets a member begin work on an instance that it believes to serve a pool. */
  beginWork(memberIndex: number, instanceId: string, durationMs: number): void {
    const member = this.members[memberIndex % this.members.length];
    if (!member || member.isPaused() || !member.configuration.isFresh()) return;
    const believed = member.configuration.fleet().instanceStates.get(instanceId);
    if (believed?.state !== 'serving') return;
    const actual = this.store.states().find((state) => state.instanceId === instanceId);
    if (actual && actual.poolId !== believed.poolId)
      this.violations.push(`${instanceId} got work of pool ${believed.poolId} while in ${actual.poolId}`);
    const end = member.counts.begin(instanceId);
    const item = { untilMs: this.clock.monotonicMs() + Math.min(durationMs, MAX_WORK_MS) };
    this.work.set(instanceId, [...(this.work.get(instanceId) ?? []), item]);
    this.clock.schedule(Math.min(durationMs, MAX_WORK_MS), end);
  }

  pause(memberIndex: number): void {
    this.members[memberIndex % this.members.length]?.pause();
  }

  resumeAll(): void {
    for (const member of this.members) member.resume();
  }

  /** Whether every listed instance of the wave is done or has left the pool. */
  isComplete(waveId: string): boolean {
    const wave = this.store.object(`config/waves/${waveId}`) as { poolId: string; instanceIds: string[] };
    const [row] = this.store.read({ keys: [waveRecordKey(waveId)] });
    const done = row ? waveRecordSchema.parse(row.value).done : [];
    const inPool = new Set(
      this.store.states().flatMap((state) => (state.poolId === wave.poolId ? [state.instanceId] : [])),
    );
    return wave.instanceIds.every((id) => done.includes(id) || !inPool.has(id));
  }

  /** Whether all instances serve the pool that is configured for them, and no ledger has an entry. */
  isSettled(): boolean {
    const wanted = (id: string): string => (this.store.object(`config/instances/${id}`) as Instance).poolId;
    const ledgers = Object.keys(this.options.instances).flatMap((poolId) =>
      this.store
        .read({ keys: [availabilityKey(poolId)] })
        .flatMap(({ value }) => availabilitySchema.parse(value).entries),
    );
    return (
      ledgers.every(({ cause }) => cause === 'unplanned') &&
      this.store.states().every((s) => s.state === 'serving' && s.poolId === wanted(s.instanceId))
    );
  }

  /** Begins work on instances in turn; about two pieces run on each at any moment. */
  private load(): void {
    const second = Math.floor(this.clock.monotonicMs() / LOAD_INTERVAL_MS);
    for (const index of this.members.keys()) {
      const target = this.instances[(second * 4 + index * 3) % this.instances.length];
      if (target) this.beginWork(index, target.instanceId, LOAD_DURATION_MS);
    }
  }

  private exchange(): void {
    const nowMs = this.clock.monotonicMs();
    for (const member of this.members) {
      const { memberId } = member.identity();
      if (!member.isPaused()) {
        this.pausedAtMs.delete(memberId);
        member.rejoin();
      } else if (nowMs - (this.pausedAtMs.get(memberId) ?? this.notePause(memberId)) >= SILENCE_MS) {
        this.list.fence(memberId);
      }
    }
    const running = this.members.filter((member) => !member.isPaused() && member.configuration.isFresh());
    for (const from of running)
      for (const to of running) if (from !== to) to.watch.receive(from.identity(), from.watch.compose());
  }

  private notePause(memberId: string): number {
    this.pausedAtMs.set(memberId, this.clock.monotonicMs());
    return this.clock.monotonicMs();
  }

  private trackDowntime(): void {
    for (const { instanceId } of this.instances) {
      if (this.platform.isRunning(instanceId)) this.downSinceMs.delete(instanceId);
      else if (!this.downSinceMs.has(instanceId)) this.downSinceMs.set(instanceId, this.clock.monotonicMs());
    }
  }

  private checkChange(before: InstanceState, after: InstanceState): void {
    if (before.poolId !== after.poolId && (before.state !== 'moving' || before.movingTo !== after.poolId))
      this.violations.push(`${after.instanceId} left pool ${before.poolId} without moving`);
    if (before.poolId !== after.poolId && this.isWorking(after.instanceId))
      this.violations.push(`${after.instanceId} left pool ${before.poolId} with work in progress`);
    if (before.state !== 'serving' || after.state === 'serving') return;
    const pool = this.store.object(`config/pools/${after.poolId}`) as Pool;
    const out = this.store
      .states()
      .filter((state) => state.poolId === after.poolId)
      .filter((state) => state.state !== 'serving' || this.isSurelyDown(state.instanceId));
    if (out.length > pool.maxUnavailable)
      this.violations.push(`${after.instanceId} was taken as loss ${out.length} of ${pool.maxUnavailable}`);
  }

  /** Down for so long that every list recent enough for a decision shows it. */
  private isSurelyDown(instanceId: string): boolean {
    const sinceMs = this.downSinceMs.get(instanceId);
    if (sinceMs === undefined || this.platform.isRunning(instanceId)) return false;
    return this.clock.monotonicMs() - sinceMs > LIST_MAX_AGE_MS + COMMIT_DELAY_MS + STEP_MS;
  }

  private checkReboot(instanceId: string): void {
    const state = this.store.states().find((candidate) => candidate.instanceId === instanceId);
    if (state?.state !== 'rebooting')
      this.violations.push(`${instanceId} was rebooted while ${state?.state ?? 'unknown'}`);
    if (this.isWorking(instanceId)) this.violations.push(`${instanceId} was rebooted with work in progress`);
  }

  private isWorking(instanceId: string): boolean {
    const nowMs = this.clock.monotonicMs();
    return (this.work.get(instanceId) ?? []).some(({ untilMs }) => untilMs > nowMs);
  }

  private writeConfiguration(): void {
    const object = (kind: string, objectId: string, value: object): Write => ({
      key: `config/${kind}/${objectId}`,
      value: { ticketNumber: 1, value },
    });
    const { maxUnavailable } = this.options;
    const pools = Object.keys(this.options.instances).map((poolId) =>
      object('pools', poolId, { poolId, maxUnavailable, spare: false }),
    );
    const instances = this.instances.map((value) => object('instances', value.instanceId, value));
    const states = this.instances.map(({ instanceId, poolId }) =>
      object('instanceStates', instanceId, {
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
