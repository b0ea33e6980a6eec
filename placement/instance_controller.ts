/** Carries out maintenance waves and keeps the pools at the size that their demand asks for. */
import type { Clock } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import {
  InstanceOperationsError,
  type InstanceOperations,
  type InstanceStatus,
  type CommandIssuer,
  type InstanceCommandResult,
} from '../scheduling/instance_operations';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { PlatformRowCodec } from '../scheduling/platform_row_codec';
import { planPoolSizes, type PoolDemand, type SizedInstance } from '../scheduling/pool_sizing';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import { planWave, type WaveInstance } from '../scheduling/wave_plan';
import type { RowStore } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { InstanceDirectory } from './instance_directory';
import type { FencedWriter } from './fenced_writer';
import type { PlacementState } from './placement_state';
import type { PoolDemandTracker } from './pool_demand';
import {
  decodeWaveProgress,
  encodeWaveProgress,
  WAVE_TABLE,
  waveAddress,
  type WaveProgress,
} from './wave_rows';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerSession } from './worker_session';

/** Time that one instance of a wave is expected to be away, in milliseconds: draining, maintenance and registration. */
const EXPECTED_MAINTENANCE_MS = 5_000;

/** An instance whose order went unanswered is not ordered again for this long, in milliseconds. */
const COMMAND_RETRY_MS = 700;

export interface InstanceControllerOptions {
  readonly clock: Clock;
  readonly store: RowStore;
  readonly rowCodec: PlatformRowCodec;
  readonly operations: InstanceOperations;
  readonly writer: FencedWriter;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly issuer: CommandIssuer;
  /** When orders may be given, on the steady clock. */
  readonly commandsFromMs: number;
  readonly waves: () => ReadonlyMap<number, MaintenanceWave>;
  readonly demand: PoolDemandTracker;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Called when the platform refuses this holder's token. */
  readonly onFenced: () => void;
}

export class InstanceController {
  private readonly directory: InstanceDirectory;
  private readonly waveProgress = new Map<number, WaveProgress>();
  private readonly drainingForWave = new Set<string>();
  /** Instances of open waves whose maintenance has not begun. */
  private readonly dueForWave = new Set<string>();
  private drainingForMove: ReadonlySet<string> = new Set();
  private readonly retryAtMs = new Map<string, number>();
  private readonly commandsInFlight = new Set<string>();

  constructor(private readonly options: InstanceControllerOptions) {
    const { clock, operations, counters } = options;
    this.directory = new InstanceDirectory({ clock, operations, counters });
  }

  /** Reads how far earlier holders have come. Throws as {@link RowStore.read}. */
  async load(): Promise<void> {
    const { rows } = await this.options.store.read({ table: WAVE_TABLE, partition: PLACEMENT_PARTITION });
    for (const { key, value } of rows) this.waveProgress.set(Number(key), decodeWaveProgress(value));
  }

  /** Whether a worker's instance takes no further tasks because it is about to be moved or maintained. */
  isDraining({ entry }: WorkerSession): boolean {
    const { instanceId } = entry;
    return (
      this.drainingForWave.has(instanceId) ||
      this.drainingForMove.has(instanceId) ||
      this.commandsInFlight.has(instanceId) ||
      this.directory.hasPendingCommand(instanceId)
    );
  }

  /** Whether an instance still has to be maintained for an open wave. */
  isDueForMaintenance(instanceId: string): boolean {
    return this.dueForWave.has(instanceId);
  }

  /** Decides anew; called several times a second. */
  tick(rules: FleetRules): void {
    void this.directory.refresh();
    if (!this.directory.isLoaded() || !this.options.writer.isValid()) return;
    this.retireStoppedWorkers();
    if (this.options.clock.monotonicMs() < this.options.commandsFromMs) return;
    this.drainingForWave.clear();
    this.dueForWave.clear();
    for (const wave of this.options.waves().values()) this.advanceWave(wave, rules);
    this.resizePools(rules);
  }

  /** Ends sessions with workers that do not answer and whose instance has crashed or runs another worker. */
  private retireStoppedWorkers(): void {
    for (const session of [...this.options.fleet.all()]) {
      const sinceMs = session.unreachableSinceMs();
      if (sinceMs === null) continue;
      this.directory.readSoon();
      const { instanceId, workerId } = session.entry;
      if (!this.directory.hasWorkerStopped(instanceId, workerId, sinceMs)) continue;
      this.options.counters.increment('workers.gone');
      this.options.fleet.retire(session);
    }
  }

  private advanceWave(wave: MaintenanceWave, rules: FleetRules): void {
    const progress = this.progressOf(wave);
    if (progress.isCompleted) return;
    const begun = new Set(progress.begun);
    const remaining = wave.instanceIds.filter((id) => !begun.has(id) && this.directory.get(id) !== undefined);
    if (remaining.length === 0) {
      this.saveWave(wave, { ...progress, isCompleted: true });
      return;
    }
    for (const id of remaining) this.dueForWave.add(id);
    const { maintain, drain: close } = planWave({
      remaining: remaining.map((id) => this.waveInstance(id, rules)),
      downCount: wave.instanceIds.filter((id) => this.isDownForWave(id, begun)).length,
      maxConcurrent: wave.maxConcurrent,
      timeLeftMs: progress.orderedAtMs + wave.timeLimitMs - this.options.clock.wallMs(),
      expectedDownMs: EXPECTED_MAINTENANCE_MS,
    });
    for (const id of close) this.drainingForWave.add(id);
    for (const id of maintain) void this.maintain(id, wave);
  }

  private progressOf(wave: MaintenanceWave): WaveProgress {
    const known = this.waveProgress.get(wave.waveNumber);
    if (known !== undefined) return known;
    const progress = { begun: [], isCompleted: false, orderedAtMs: this.options.clock.wallMs() };
    this.saveWave(wave, progress);
    return progress;
  }

  private saveWave({ waveNumber }: MaintenanceWave, progress: WaveProgress): void {
    const isNews = this.waveProgress.get(waveNumber)?.isCompleted !== progress.isCompleted;
    this.waveProgress.set(waveNumber, progress);
    this.options.writer.stage({ ...waveAddress(waveNumber), value: encodeWaveProgress(progress) });
    if (!isNews) return;
    this.options.writer.stage(this.options.rowCodec.encodeWaveStatus(waveNumber, progress.isCompleted));
    if (progress.isCompleted) this.options.logger.info(LOG_EVENTS.waveCompleted, { waveNumber });
  }

  private waveInstance(instanceId: string, rules: FleetRules): WaveInstance {
    const instance = this.directory.get(instanceId);
    const isDispensable = instance !== undefined && this.isDispensable(instance, rules);
    const isBusy =
      this.commandsInFlight.has(instanceId) ||
      this.directory.hasPendingCommand(instanceId) ||
      this.isBackingOff(instanceId);
    const runCount = this.runCount(instanceId);
    const isClosing = this.drainingForWave.has(instanceId) || this.drainingForMove.has(instanceId);
    return {
      instanceId,
      isUp: instance?.state === 'up' && !isBusy,
      isDispensable,
      runCount,
      isDraining: isClosing,
    };
  }

  /** Whether a pool has its wanted number of instances without this one. */
  private isDispensable({ poolId }: InstanceStatus, rules: FleetRules): boolean {
    if (rules.pools.get(poolId)?.spare === true) return true;
    let others = -1;
    for (const other of this.directory.all()) {
      const isThere =
        other.poolId === poolId && other.state === 'up' && this.directory.effectivePoolId(other) === poolId;
      if (isThere && !this.commandsInFlight.has(other.instanceId)) others += 1;
    }
    return others >= this.options.demand.desiredInstances(poolId);
  }

  /** Whether an instance is away for the wave, or may be since its order has not been shown or answered. */
  private isDownForWave(instanceId: string, begun: ReadonlySet<string>): boolean {
    if (this.directory.get(instanceId)?.state === 'upkeep') return true;
    return (
      this.commandsInFlight.has(instanceId) ||
      (begun.has(instanceId) && this.directory.hasPendingCommand(instanceId))
    );
  }

  private resizePools(rules: FleetRules): void {
    const instances = [...this.directory.all()];
    const pools = [...rules.pools.values()].map((pool): PoolDemand => {
      const incoming = instances.filter(
        (instance) =>
          instance.poolId !== pool.poolId && this.directory.effectivePoolId(instance) === pool.poolId,
      ).length;
      const { poolId, spare } = pool;
      const { demand } = this.options;
      const wantedInstances = demand.desiredInstances(poolId);
      return {
        poolId,
        isSpare: spare,
        incoming,
        desiredInstances: wantedInstances,
        minInstances: demand.minInstances(poolId),
      };
    });
    const sizedInstance = instances
      .filter(
        (instance) =>
          this.directory.effectivePoolId(instance) === instance.poolId && instance.state !== 'down',
      )
      .map((instance) => this.toSizedInstance(instance, rules));
    const { moves, draining: closing } = planPoolSizes({ pools, instances: sizedInstance });
    this.drainingForMove = new Set(closing);
    for (const { instanceId, toPoolId } of moves) void this.move(instanceId, toPoolId);
  }

  private toSizedInstance(instance: InstanceStatus, rules: FleetRules): SizedInstance {
    const { instanceId, poolId, workerId } = instance;
    const isSpare = rules.pools.get(poolId)?.spare === true;
    const isWaiting =
      this.commandsInFlight.has(instanceId) ||
      this.directory.hasPendingCommand(instanceId) ||
      this.isBackingOff(instanceId);
    const isInWave = this.drainingForWave.has(instanceId);
    const isUsable = isSpare || this.options.fleet.get(workerId)?.isReachable() === true;
    return {
      instanceId,
      poolId,
      isMovable: instance.state === 'up' && !isWaiting && !isInWave && isUsable,
      runCount: this.runCount(instanceId),
      longRunningCount: this.options.state
        .runsOn(workerId)
        .filter(({ record, task }) => record.step(task.step).isLongRunning).length,
    };
  }

  /**
   * Runs on an instance by every worker that is known to be a life of it. The
   * list may still name the worker before a move, which runs nothing any more.
   */
  private runCount(instanceId: string): number {
    const { fleet, state } = this.options;
    let count = state.runCountOn(this.directory.get(instanceId)?.workerId ?? '');
    for (const session of fleet.all()) {
      if (session.entry.instanceId !== instanceId) continue;
      count += Math.max(state.runCountOn(session.worker.workerId), session.activeRuns().length);
    }
    return count;
  }

  private isBackingOff(instanceId: string): boolean {
    return this.options.clock.monotonicMs() < (this.retryAtMs.get(instanceId) ?? 0);
  }

  private async maintain(instanceId: string, wave: MaintenanceWave): Promise<void> {
    const poolId = this.directory.get(instanceId)?.poolId ?? '';
    const result = await this.sendCommand(instanceId, poolId, () =>
      this.options.operations.maintain(instanceId, wave.waveNumber, this.options.issuer),
    );
    this.options.counters.increment('instances.maintain', result ?? 'unanswered');
    if (result !== 'accepted' && result !== 'not_in_wave') return;
    const progress = this.waveProgress.get(wave.waveNumber);
    if (progress === undefined || progress.begun.includes(instanceId)) return;
    this.saveWave(wave, { ...progress, begun: [...progress.begun, instanceId] });
  }

  private async move(instanceId: string, poolId: string): Promise<void> {
    const result = await this.sendCommand(instanceId, poolId, () =>
      this.options.operations.move(instanceId, poolId, this.options.issuer),
    );
    this.options.counters.increment('instances.move', result ?? 'unanswered');
    this.options.logger.info(LOG_EVENTS.instanceMoveCommanded, { instanceId, poolId, result });
  }

  /** Sends an order unless one is under way. Returns `null` if there was no answer. */
  private async sendCommand(
    instanceId: string,
    poolId: string,
    send: () => Promise<InstanceCommandResult>,
  ): Promise<InstanceCommandResult | null> {
    const { clock, writer: journal, onFenced } = this.options;
    if (this.commandsInFlight.has(instanceId) || !journal.isValid()) return null;
    this.commandsInFlight.add(instanceId);
    this.directory.recordCommand(instanceId, poolId);
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
      // The order may have been carried out: it stays noted until the list shows the instance.
      this.retryAtMs.set(instanceId, clock.monotonicMs() + COMMAND_RETRY_MS);
      return null;
    } finally {
      this.commandsInFlight.delete(instanceId);
    }
  }

  /** The platform has ended the worker of this instance; its entry stays listed for some seconds. */
  private retireWorkerOf(instanceId: string): void {
    for (const session of [...this.options.fleet.all()]) {
      if (session.entry.instanceId === instanceId) this.options.fleet.retire(session);
    }
  }
}
