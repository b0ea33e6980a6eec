/** Carries out maintenance waves and resizes the pools to their demand. */
import type { Clock } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import {
  InstanceOperationsError,
  type InstanceOperations,
  type InstanceStatus,
  type CommandIssuer,
  type InstanceCommandResult,
} from '../scheduling/instance_operations';
import type { PlatformRowCodec } from '../scheduling/platform_row_codec';
import type { ClosedZones } from '../scheduling/closed_zones';
import { CommandBudget } from '../scheduling/command_budget';
import { planPoolSizes, type PoolDemand, type SizedInstance } from '../scheduling/pool_sizing';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import { planWave, type WaveInstance } from '../scheduling/wave_plan';
import type { RowStore } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { InstanceZones } from './instance_zones';
import { InstanceDirectory, type CommandKind } from './instance_directory';
import type { FencedWriter } from './fenced_writer';
import { OutstandingInstances } from './outstanding_instances';
import type { PlacementState } from './placement_state';
import type { PoolDemandTracker } from './pool_demand';
import { WaveProgressKeeper } from './wave_progress_keeper';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerSession } from './worker_session';

/**
 * Expected time for which one instance of a wave is unavailable, in milliseconds. It
 * covers draining, maintenance and registration.
 */
const EXPECTED_MAINTENANCE_MS = 5_000;

/** Backoff before an instance gets another command after one was rejected or timed out, in milliseconds. */
const COMMAND_RETRY_MS = 700;

const WAVE_LOG_INTERVAL_MS = 1_000;

export interface InstanceControllerOptions {
  readonly clock: Clock;
  readonly store: RowStore;
  readonly rowCodec: PlatformRowCodec;
  readonly operations: InstanceOperations;
  readonly writer: FencedWriter;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly issuer: CommandIssuer;
  /** Monotonic time from which commands may be sent, in milliseconds. */
  readonly commandsFromMs: number;
  readonly waves: () => ReadonlyMap<number, MaintenanceWave>;
  readonly closedZones: () => ClosedZones;
  readonly demand: PoolDemandTracker;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Commands that the platform accepts per second. */
  readonly instanceCommandsPerSecond: number;
  /** Number of processor cores that this process may use; may be a fraction. */
  readonly processors: number;
  /** Called when the platform rejects this leader's fencing token. */
  readonly onFenced: () => void;
}

export class InstanceController {
  private readonly directory: InstanceDirectory;
  private readonly outstanding: OutstandingInstances;
  private readonly waveProgress: WaveProgressKeeper;
  private readonly zones: InstanceZones;
  private readonly drainingForWave = new Set<string>();
  /** Instances of open waves whose maintenance has not begun. */
  private readonly dueForWave = new Set<string>();
  private drainingForMove: ReadonlySet<string> = new Set();
  private readonly budget: CommandBudget;
  private readonly waveLoggedAtMs = new Map<number, number>();
  private readonly retryAtMs = new Map<string, number>();
  private readonly commandsInFlight = new Set<string>();
  /** Since when each worker whose interruption is logged has been unreachable. */
  private readonly loggedUnreachableSinceMs = new WeakMap<WorkerSession, number>();
  /** When the latest command was sent or answered, on the monotonic clock. */
  private lastCommandAtMs = -Infinity;
  private areCommandsHeld = false;
  /** Number of instances of open zones that are up and stay in their pool, by pool. */
  private readonly presentByPool = new Map<string, number>();
  /** Number of instances of open zones that are moving to a pool, by pool. */
  private readonly incomingByPool = new Map<string, number>();

  constructor(private readonly options: InstanceControllerOptions) {
    const { clock, operations, counters, instanceCommandsPerSecond, processors } = options;
    this.budget = new CommandBudget({ acceptedPerSecond: instanceCommandsPerSecond, processors });
    this.zones = new InstanceZones(options);
    this.waveProgress = new WaveProgressKeeper(options);
    this.directory = new InstanceDirectory({ clock, operations, counters });
    this.outstanding = new OutstandingInstances({ clock, directory: this.directory });
  }

  /** Loads the wave progress that earlier leaders have stored. Throws the errors of {@link RowStore.read}. */
  async load(): Promise<void> {
    // The list is needed soon, but no decision of the load waits for it.
    void this.directory.refresh();
    await this.waveProgress.load();
  }

  /** Whether a worker's instance takes no new tasks because it is about to be moved or maintained. */
  isDraining({ entry }: WorkerSession): boolean {
    const { instanceId } = entry;
    return (
      this.drainingForWave.has(instanceId) ||
      this.drainingForMove.has(instanceId) ||
      this.commandsInFlight.has(instanceId) ||
      this.directory.hasPendingCommand(instanceId)
    );
  }

  /** Number of instances of each pool other than spare ones; empty before the instances are known. */
  instancesByPool(rules: FleetRules): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const instance of this.directory.all()) {
      const poolId = this.directory.effectivePoolId(instance);
      if (rules.pools.get(poolId)?.spare === false) increment(counts, poolId);
    }
    return counts;
  }

  /** Number of instances of all pools; `Infinity` before they are known. */
  instanceCount(): number {
    return this.directory.isLoaded() ? [...this.directory.all()].length : Infinity;
  }

  /** Whether an instance still has to be maintained for an open wave. */
  isDueForMaintenance(instanceId: string): boolean {
    return this.dueForWave.has(instanceId);
  }

  /** Sends no further commands, and returns when the latest one was sent or answered, on the monotonic clock. */
  holdCommands(): number {
    this.areCommandsHeld = true;
    return this.commandsInFlight.size > 0 ? this.options.clock.monotonicMs() : this.lastCommandAtMs;
  }

  /** Advances the waves and resizes the pools; called several times a second. */
  tick(rules: FleetRules): void {
    void this.directory.refresh();
    if (!this.directory.isLoaded() || !this.options.writer.isValid()) return;
    this.retireStoppedWorkers();
    if (this.areCommandsHeld || this.options.clock.monotonicMs() < this.options.commandsFromMs) return;
    this.drainingForWave.clear();
    this.dueForWave.clear();
    this.countInstances();
    for (const wave of this.options.waves().values()) this.advanceWave(wave, rules);
    this.resizePools(rules);
  }

  /** Counts the instances of each pool in open zones, once for all decisions of a tick. */
  private countInstances(): void {
    this.presentByPool.clear();
    this.incomingByPool.clear();
    for (const instance of this.directory.all()) {
      if (this.zones.isClosed(instance)) continue;
      const poolId = this.directory.effectivePoolId(instance);
      if (instance.poolId !== poolId) increment(this.incomingByPool, poolId);
      else if (instance.state === 'up' && !this.commandsInFlight.has(instance.instanceId))
        increment(this.presentByPool, poolId);
    }
  }

  /** Asks for a read of the list, and returns what {@link InstanceDirectory.isWorkerAbsent} says until then. */
  checkWorkerAbsent(workerId: string, sinceMs: number): boolean {
    this.directory.readSoon();
    return this.directory.isWorkerAbsent(workerId, sinceMs);
  }

  /** Retires the sessions of unreachable workers whose instance has crashed, was removed, or runs another worker. */
  private retireStoppedWorkers(): void {
    for (const session of [...this.options.fleet.all()]) {
      const unreachableSinceMs = session.unreachableSinceMs();
      if (unreachableSinceMs === null) continue;
      this.directory.readSoon();
      const { instanceId, workerId } = session.entry;
      this.logUnreachable(session);
      if (!this.directory.hasWorkerStopped(instanceId, workerId, unreachableSinceMs)) continue;
      this.options.counters.increment('workers.gone');
      const isPlanned = this.isDraining(session);
      this.options.fleet.retire(session, isPlanned ? null : 'instance_stopped');
    }
  }

  /** Logs once for each interruption of the contact with a worker that has runs. */
  private logUnreachable(session: WorkerSession): void {
    const { instanceId, workerId } = session.entry;
    const unreachableSinceMs = session.unreachableSinceMs();
    if (unreachableSinceMs === null || session.runCount() === 0) return;
    if (this.loggedUnreachableSinceMs.get(session) === unreachableSinceMs) return;
    this.loggedUnreachableSinceMs.set(session, unreachableSinceMs);
    this.options.logger.info(LOG_EVENTS.workerUnreachable, {
      workerId,
      count: session.runCount(),
      instanceState: this.directory.get(instanceId)?.state ?? null,
    });
  }

  private advanceWave(wave: MaintenanceWave, rules: FleetRules): void {
    const progress = this.waveProgress.progressOf(wave);
    if (progress === null) return;
    const outstanding = this.outstanding.of(wave, progress);
    const remaining = outstanding.filter((id) => this.directory.get(id) !== undefined);
    // An instance may be listed only after the wave was completed without it.
    const isCompleted = outstanding.length === 0 || (progress.isCompleted && remaining.length === 0);
    if (isCompleted !== progress.isCompleted) this.waveProgress.save(wave, { ...progress, isCompleted });
    if (isCompleted) return;
    for (const id of outstanding) this.dueForWave.add(id);
    const { maintain, drain } = planWave({
      remaining: remaining.map((id) => this.waveInstance(id, rules)),
      downCount: wave.instanceIds.filter((id) => this.isDownForWave(id)).length,
      maxConcurrent: wave.maxConcurrent,
      timeLeftMs: progress.orderedAtMs + wave.timeLimitMs - this.options.clock.wallMs(),
      timeLimitMs: wave.timeLimitMs,
      expectedDownMs: EXPECTED_MAINTENANCE_MS,
    });
    for (const id of drain) this.drainingForWave.add(id);
    this.logWave(wave, outstanding);
    for (const id of maintain) {
      if (!this.mayCommand()) break;
      void this.maintain(id, wave);
    }
  }

  /** Logs, at most once a second, why instances of a wave have not begun their maintenance. */
  private logWave({ waveNumber }: MaintenanceWave, outstanding: readonly string[]): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - (this.waveLoggedAtMs.get(waveNumber) ?? -Infinity) < WAVE_LOG_INTERVAL_MS) return;
    this.waveLoggedAtMs.set(waveNumber, nowMs);
    const instances = outstanding.flatMap((id) => this.directory.get(id) ?? []);
    const longRunning = instances.filter(
      ({ workerId }) => this.options.state.longRunningCountOn(workerId) > 0,
    );
    this.options.logger.info(LOG_EVENTS.waveProgress, {
      waveNumber,
      remaining: outstanding.length,
      notListed: outstanding.length - instances.length,
      notUp: instances.filter(({ state }) => state !== 'up').length,
      busy: instances.filter(({ instanceId }) => this.runCount(instanceId) > 0).length,
      withLongRunningTasks: longRunning.length,
      draining: outstanding.filter((id) => this.drainingForWave.has(id)).length,
      blockedByCommand: outstanding.filter((id) => this.isCommandBlocked(id)).length,
      examples: instances.slice(0, 3).map(({ instanceId, poolId }) => [instanceId, poolId]),
    });
  }

  private isCommandBlocked(instanceId: string): boolean {
    return (
      this.commandsInFlight.has(instanceId) ||
      this.directory.hasPendingCommand(instanceId) ||
      this.isBackingOff(instanceId)
    );
  }

  private waveInstance(instanceId: string, rules: FleetRules): WaveInstance {
    const instance = this.directory.get(instanceId);
    const isDispensable = instance !== undefined && this.isDispensable(instance, rules);
    const isCommandBlocked = this.isCommandBlocked(instanceId);
    const runCount = this.runCount(instanceId);
    const hasLongRunningTasks = this.options.state.longRunningCountOn(instance?.workerId ?? '') > 0;
    const isDraining = this.drainingForWave.has(instanceId) || this.drainingForMove.has(instanceId);
    return {
      instanceId,
      isUp: instance?.state === 'up' && !isCommandBlocked,
      isDispensable,
      runCount,
      hasLongRunningTasks,
      isDraining,
    };
  }

  /** Whether the pool has its desired number of instances even without this one. */
  private isDispensable(instance: InstanceStatus, rules: FleetRules): boolean {
    const { poolId } = instance;
    if (rules.pools.get(poolId)?.spare === true || this.zones.isClosed(instance)) return true;
    const others = (this.presentByPool.get(poolId) ?? 0) - 1;
    return others >= this.options.demand.desiredInstances(poolId);
  }

  /** Whether an instance is down for the wave, or may be, since the outcome of its command is not known yet. */
  private isDownForWave(id: string): boolean {
    return this.directory.get(id)?.state === 'upkeep' || this.directory.hasPendingMaintenance(id);
  }

  private resizePools(rules: FleetRules): void {
    const instances = [...this.directory.all()];
    const pools = [...rules.pools.values()].map((pool): PoolDemand => {
      const incoming = this.incomingByPool.get(pool.poolId) ?? 0;
      const { poolId, spare } = pool;
      const { demand } = this.options;
      const desiredInstances = demand.desiredInstances(poolId);
      return {
        poolId,
        isSpare: spare,
        incoming,
        desiredInstances,
        ...demand.levelsOf(poolId),
      };
    });
    const sizedInstances = instances
      .filter(
        (instance) =>
          this.directory.effectivePoolId(instance) === instance.poolId && instance.state !== 'down',
      )
      .map((instance) => this.toSizedInstance(instance, rules));
    const { moves, draining } = planPoolSizes({ pools, instances: sizedInstances });
    this.drainingForMove = new Set(draining);
    for (const { instanceId, toPoolId } of moves) {
      if (!this.mayCommand()) break;
      void this.move(instanceId, toPoolId);
    }
  }

  /** Takes one command from the budget; without one, the instance works on until the next tick. */
  private mayCommand(): boolean {
    const isAllowed = this.budget.take(this.options.clock.monotonicMs());
    if (!isAllowed) this.options.counters.increment('instances.deferred');
    return isAllowed;
  }

  private toSizedInstance(instance: InstanceStatus, rules: FleetRules): SizedInstance {
    const { instanceId, poolId, workerId } = instance;
    const isSpare = rules.pools.get(poolId)?.spare === true;
    const isCommandBlocked = this.isCommandBlocked(instanceId);
    const isInWave = this.drainingForWave.has(instanceId);
    const isSpareOrReachable = isSpare || this.options.fleet.get(workerId)?.isReachable() === true;
    return {
      instanceId,
      poolId,
      isMovable:
        instance.state === 'up' &&
        !isCommandBlocked &&
        !isInWave &&
        isSpareOrReachable &&
        this.zones.mayMove(instance),
      isZoneClosed: this.zones.isClosed(instance),
      runCount: this.runCount(instanceId),
      longRunningCount: this.options.state.longRunningCountOn(workerId),
    };
  }

  /**
   * Number of runs on all known workers of an instance. The platform's list may
   * still name the worker from before a move, which no longer runs anything.
   */
  private runCount(instanceId: string): number {
    const { fleet, state } = this.options;
    let count = state.runCountOn(this.directory.get(instanceId)?.workerId ?? '');
    for (const session of fleet.onInstance(instanceId))
      count += Math.max(state.runCountOn(session.worker.workerId), session.runCount());
    return count;
  }

  private isBackingOff(instanceId: string): boolean {
    return this.options.clock.monotonicMs() < (this.retryAtMs.get(instanceId) ?? 0);
  }

  private async maintain(instanceId: string, wave: MaintenanceWave): Promise<void> {
    const poolId = this.directory.get(instanceId)?.poolId ?? '';
    const result = await this.sendCommand(instanceId, 'maintain', poolId, () =>
      this.options.operations.maintain(instanceId, wave.waveNumber, this.options.issuer),
    );
    this.options.counters.increment('instances.maintain', result ?? 'unanswered');
    if (result !== 'accepted' && result !== 'not_in_wave') return;
    const progress = this.waveProgress.progressOf(wave);
    if (progress === null || progress.begun.includes(instanceId)) return;
    this.waveProgress.save(wave, { ...progress, begun: [...progress.begun, instanceId] });
  }

  private async move(instanceId: string, poolId: string): Promise<void> {
    const result = await this.sendCommand(instanceId, 'move', poolId, () =>
      this.options.operations.move(instanceId, poolId, this.options.issuer),
    );
    this.options.counters.increment('instances.move', result ?? 'unanswered');
    this.options.logger.info(LOG_EVENTS.instanceMoveCommanded, { instanceId, poolId, result });
  }

  /**
   * Sends a command unless one is in flight for the instance. Returns `null` if none
   * was sent or its outcome is unknown.
   */
  private async sendCommand(
    instanceId: string,
    kind: CommandKind,
    poolId: string,
    send: () => Promise<InstanceCommandResult>,
  ): Promise<InstanceCommandResult | null> {
    const { clock, writer, onFenced } = this.options;
    if (this.commandsInFlight.has(instanceId) || !writer.isValid()) return null;
    this.commandsInFlight.add(instanceId);
    this.lastCommandAtMs = clock.monotonicMs();
    this.directory.recordCommand(instanceId, kind, poolId);
    try {
      const result = await send();
      if (result === 'fenced') onFenced();
      if (result === 'accepted') this.retireWorkerOf(instanceId);
      if (result !== 'accepted') {
        this.directory.removeCommand(instanceId);
        this.retryAtMs.set(instanceId, clock.monotonicMs() + COMMAND_RETRY_MS);
      }
      return result;
    } catch (error) {
      if (!(error instanceof InstanceOperationsError)) throw error;
      // The command may have been applied: it stays pending until the list shows the instance up.
      this.retryAtMs.set(instanceId, clock.monotonicMs() + COMMAND_RETRY_MS);
      return null;
    } finally {
      this.commandsInFlight.delete(instanceId);
      this.lastCommandAtMs = clock.monotonicMs();
    }
  }

  /** Retires the worker that the platform has stopped; its registry entry stays listed for some seconds. */
  private retireWorkerOf(instanceId: string): void {
    for (const session of this.options.fleet.onInstance(instanceId)) this.options.fleet.retire(session, null);
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
