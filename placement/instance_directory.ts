/** The platform's list of instances, and the orders that it does not show yet. */
import type { Clock } from '../kernel/clock';
import {
  InstanceOperationsError,
  type InstanceOperations,
  type InstanceStatus,
} from '../scheduling/instance_operations';
import type { Counters } from '../telemetry/counters';

/** How often the list is read, in milliseconds; every reading is a priced call. */
const READ_INTERVAL_MS = 1_000;

/** After an order the list is read again this soon, in milliseconds. */
const READ_AFTER_COMMAND_MS = 250;

/**
 * A reading shows the effect of an order only if it began this long after the
 * order was sent, in milliseconds: calls may overtake each other, and moves and
 * maintenance take longer.
 */
const MIN_EFFECT_MS = 1_000;

/** An order that the list has not shown for this long has had no effect or is over, in milliseconds. */
const PENDING_LIMIT_MS = 6_000;

interface PendingCommand {
  readonly poolId: string;
  readonly sentAtMs: number;
}

export interface InstanceDirectoryOptions {
  readonly clock: Clock;
  readonly operations: InstanceOperations;
  readonly counters: Counters;
}

/** Knows where each instance is or is going. */
export class InstanceDirectory {
  private instances: ReadonlyMap<string, InstanceStatus> = new Map();
  private readAtMs = -Infinity;
  private nextReadMs = 0;
  private isReading = false;
  private readonly pending = new Map<string, PendingCommand>();

  constructor(private readonly options: InstanceDirectoryOptions) {}

  /** Asks for a reading soon. */
  readSoon(): void {
    this.nextReadMs = Math.min(this.nextReadMs, this.readAtMs + READ_AFTER_COMMAND_MS);
  }

  /**
   * Whether a reading that began after `sinceMs` shows that a worker's life on
   * its instance is over. A worker that is merely cut off is shown as up.
   */
  hasWorkerStopped(instanceId: string, workerId: string, sinceMs: number): boolean {
    const instance = this.instances.get(instanceId);
    if (instance === undefined || this.readAtMs <= sinceMs) return false;
    return instance.state === 'down' || (instance.workerId !== '' && instance.workerId !== workerId);
  }

  isLoaded(): boolean {
    return this.readAtMs > -Infinity;
  }

  all(): Iterable<InstanceStatus> {
    return this.instances.values();
  }

  get(instanceId: string): InstanceStatus | undefined {
    return this.instances.get(instanceId);
  }

  /** Whether an order for the instance was sent that the list may not show yet. */
  hasPendingCommand(instanceId: string): boolean {
    return this.pending.has(instanceId);
  }

  /** The pool that an instance belongs to or moves to. */
  effectivePoolId({ instanceId, poolId }: InstanceStatus): string {
    return this.pending.get(instanceId)?.poolId ?? poolId;
  }

  /** Notes an order; the instance counts as on its way until the list shows it up again. */
  recordCommand(instanceId: string, poolId: string): void {
    const nowMs = this.options.clock.monotonicMs();
    this.pending.set(instanceId, { poolId, sentAtMs: nowMs });
    this.nextReadMs = Math.min(this.nextReadMs, nowMs + READ_AFTER_COMMAND_MS);
  }

  /** Forgets an order that was refused. */
  removeCommand(instanceId: string): void {
    this.pending.delete(instanceId);
  }

  /** Reads the list when its time has come. */
  async refresh(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (this.isReading || nowMs < this.nextReadMs) return;
    this.isReading = true;
    this.nextReadMs = nowMs + READ_INTERVAL_MS;
    try {
      const list = await this.options.operations.list();
      this.instances = new Map(list.map((instance) => [instance.instanceId, instance]));
      this.readAtMs = nowMs;
      this.removeVisibleCommands(nowMs);
    } catch (error) {
      if (!(error instanceof InstanceOperationsError)) throw error;
      this.options.counters.increment('instances.list_failed');
    } finally {
      this.isReading = false;
    }
  }

  /** An order is over when a reading that began after it shows the instance up. */
  private removeVisibleCommands(readAtMs: number): void {
    for (const [instanceId, { sentAtMs }] of this.pending) {
      const isShownUp = this.instances.get(instanceId)?.state === 'up';
      if (readAtMs - sentAtMs > MIN_EFFECT_MS && (isShownUp || readAtMs - sentAtMs > PENDING_LIMIT_MS))
        this.pending.delete(instanceId);
    }
  }
}
