/** The platform's list of instances, combined with commands whose effect the list does not show yet. */
import type { Clock } from '../kernel/clock';
import {
  InstanceOperationsError,
  type InstanceOperations,
  type InstanceInventory,
  type InstanceStatus,
} from '../scheduling/instance_operations';
import type { Counters } from '../telemetry/counters';

/** Interval at which the list is read, in milliseconds; each read costs money. */
const READ_INTERVAL_MS = 1_000;

/**
 * Delay of the next read after a command, or after the previous read if a worker is
 * unreachable, in milliseconds.
 */
const EARLY_READ_MS = 250;

/**
 * A read counts as showing the effect of a command, or a new worker, only if it began more
 * than this time, in milliseconds, after the command was sent or the worker was in use. A
 * read may overtake a command, and moves and maintenance take longer than this.
 */
const MIN_EFFECT_MS = 1_000;

/**
 * After this time, in milliseconds, a command is no longer pending even if the list
 * does not show the instance up.
 */
const PENDING_LIMIT_MS = 6_000;

/** A move, or maintenance for a wave. */
export type CommandKind = 'move' | 'maintain';

interface PendingCommand {
  readonly kind: CommandKind;
  readonly poolId: string;
  readonly sentAtMs: number;
}

export interface InstanceDirectoryOptions {
  readonly clock: Clock;
  readonly operations: InstanceOperations;
  readonly counters: Counters;
}

/** One read of the list. */
interface InstanceListRead {
  /** When the read began, on the monotonic clock. */
  readonly beganAtMs: number;
  /** Whether an instance that is not among them does not exist. */
  readonly showsAbsence: boolean;
  readonly instances: ReadonlyMap<string, InstanceStatus>;
  /** Workers of the instances that are up; contains the empty string if one of them names no worker. */
  readonly upWorkerIds: ReadonlySet<string>;
}

const NOT_READ: InstanceListRead = {
  beganAtMs: -Infinity,
  showsAbsence: false,
  instances: new Map(),
  upWorkerIds: new Set(),
};

function readOf({ instances, isComplete }: InstanceInventory, beganAtMs: number): InstanceListRead {
  const up = instances.filter(({ state }) => state === 'up');
  return {
    beganAtMs,
    // A platform without any instance runs no worker, so that an empty list is a fault of the list.
    showsAbsence: isComplete && instances.length > 0,
    instances: new Map(instances.map((instance) => [instance.instanceId, instance])),
    upWorkerIds: new Set(up.map(({ workerId }) => workerId)),
  };
}

/** Tracks the state of each instance and the pool that it belongs to or is moving to. */
export class InstanceDirectory {
  private current: InstanceListRead = NOT_READ;
  private previous: InstanceListRead = NOT_READ;
  private nextReadAtMs = 0;
  private isReading = false;
  private readonly pendingCommands = new Map<string, PendingCommand>();

  constructor(private readonly options: InstanceDirectoryOptions) {}

  /** Brings the next read forward to {@link EARLY_READ_MS} after the previous one. */
  readSoon(): void {
    this.nextReadAtMs = Math.min(this.nextReadAtMs, this.current.beganAtMs + EARLY_READ_MS);
  }

  /**
   * Whether reads that began after `unreachableSinceMs` show that the worker no longer runs
   * on its instance. A worker that is only unreachable is still shown as up.
   */
  hasWorkerStopped(instanceId: string, workerId: string, unreachableSinceMs: number): boolean {
    // The entry of a worker may lack its instance.
    if (instanceId === '' || this.current.beganAtMs <= unreachableSinceMs) return false;
    const instance = this.current.instances.get(instanceId);
    if (instance?.state === 'down') return true;
    if (instance === undefined) return this.isInstanceAbsent(instanceId, unreachableSinceMs);
    if (!this.isUpToDate(unreachableSinceMs)) return false;
    return instance.workerId !== '' && instance.workerId !== workerId;
  }

  /**
   * Whether the last two reads show that there is no such instance, and the list is not
   * behind `sinceMs`. Two reads have to agree, since a list of several pages may miss an
   * instance while others are added or removed.
   */
  isInstanceAbsent(instanceId: string, sinceMs: number): boolean {
    return (
      this.isUpToDate(sinceMs) &&
      [this.current, this.previous].every(
        ({ showsAbsence, instances }) => showsAbsence && !instances.has(instanceId),
      )
    );
  }

  /**
   * Whether the last two reads show the worker on no instance that is up, and the list is not
   * behind `sinceMs`. An instance that is up without a worker id may run any worker.
   */
  isWorkerAbsent(workerId: string, sinceMs: number): boolean {
    return (
      this.isUpToDate(sinceMs) &&
      [this.current, this.previous].every(
        ({ showsAbsence, upWorkerIds }) => showsAbsence && !upWorkerIds.has(workerId) && !upWorkerIds.has(''),
      )
    );
  }

  /**
   * Whether the last two reads began after `sinceMs` and the last one so much later that it
   * shows instances and workers that were new at that time.
   */
  private isUpToDate(sinceMs: number): boolean {
    return this.previous.beganAtMs > sinceMs && this.current.beganAtMs > sinceMs + MIN_EFFECT_MS;
  }

  isLoaded(): boolean {
    return this.current !== NOT_READ;
  }

  all(): Iterable<InstanceStatus> {
    return this.current.instances.values();
  }

  get(instanceId: string): InstanceStatus | undefined {
    return this.current.instances.get(instanceId);
  }

  /** Whether the list may not show yet the effect of a command that was sent for the instance. */
  hasPendingCommand(instanceId: string): boolean {
    return this.pendingCommands.has(instanceId);
  }

  /** Like {@link hasPendingCommand}, for maintenance only. */
  hasPendingMaintenance(instanceId: string): boolean {
    return this.pendingCommands.get(instanceId)?.kind === 'maintain';
  }

  /** The pool that an instance belongs to or is moving to. */
  effectivePoolId({ instanceId, poolId }: InstanceStatus): string {
    return this.pendingCommands.get(instanceId)?.poolId ?? poolId;
  }

  /** Records a command; it stays pending until the list shows the instance up again. */
  recordCommand(instanceId: string, kind: CommandKind, poolId: string): void {
    const nowMs = this.options.clock.monotonicMs();
    this.pendingCommands.set(instanceId, { kind, poolId, sentAtMs: nowMs });
    this.nextReadAtMs = Math.min(this.nextReadAtMs, nowMs + EARLY_READ_MS);
  }

  /** Removes a command that was rejected. */
  removeCommand(instanceId: string): void {
    this.pendingCommands.delete(instanceId);
  }

  /** Reads the list if a read is due. */
  async refresh(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (this.isReading || nowMs < this.nextReadAtMs) return;
    this.isReading = true;
    this.nextReadAtMs = nowMs + READ_INTERVAL_MS;
    try {
      const inventory = await this.options.operations.list();
      this.previous = this.current;
      this.current = readOf(inventory, nowMs);
      this.removeCompletedCommands(nowMs);
    } catch (error) {
      if (!(error instanceof InstanceOperationsError)) throw error;
      this.options.counters.increment('instances.list_failed');
    } finally {
      this.isReading = false;
    }
  }

  /**
   * Removes commands after which a read that began late enough shows the instance up,
   * and commands that are too old.
   */
  private removeCompletedCommands(readAtMs: number): void {
    for (const [instanceId, { sentAtMs }] of this.pendingCommands) {
      const isListedAsUp = this.current.instances.get(instanceId)?.state === 'up';
      if (readAtMs - sentAtMs > MIN_EFFECT_MS && (isListedAsUp || readAtMs - sentAtMs > PENDING_LIMIT_MS))
        this.pendingCommands.delete(instanceId);
    }
  }
}
