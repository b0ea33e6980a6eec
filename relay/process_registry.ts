/** Registry of the addresses of the scheduler processes, in rows of the store. */
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import { isSocketAddress } from '../net/socket_address';
import { isStoreFailure, type RowChange, type RowStore } from '../store/row_store';
import { TableFollower, type FollowerFailure } from '../store/table_follower';

export const PROCESS_TABLE = 'processes';
export const PROCESS_PARTITION = '';

/**
 * Time for which one call of the change feed waits for changes, in milliseconds.
 * It can be long: a call to an outdated address is refused at once and made to
 * another process instead.
 */
const CHANGE_FEED_WAIT_MS = 20_000;

/** Delay before a failed registration is retried, in milliseconds. */
const RETRY_MS = 1_000;

/** A process with at least this many times the processors of another one is preferred as the placement leader. */
const LARGER_PEER_FACTOR = 1.5;

/** Largest number of processors of a machine; a row with more was not written by a process. */
const MAX_PROCESSORS = 10_000;

const processSchema = z.object({
  address: z.string().refine(isSocketAddress),
  /** Absent from rows that earlier versions wrote. */
  processors: z.number().min(0).max(MAX_PROCESSORS).default(0),
});

type ProcessRow = Readonly<z.infer<typeof processSchema>>;

export interface ProcessRegistryOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly nodeName: string;
  /** IP address and port at which this process serves the others. */
  readonly address: string;
  /** Processors that this process may use. */
  readonly processors: number;
  /** As in {@link TableFollowerOptions}. */
  readonly onFailure: (failure: FollowerFailure) => void;
}

/** Registers this process and tracks the addresses of the other processes. */
export class ProcessRegistry {
  private readonly processes = new Map<string, ProcessRow>();
  private readonly follower: TableFollower;
  private isStopped = false;

  constructor(private readonly options: ProcessRegistryOptions) {
    this.follower = new TableFollower({
      store: options.store,
      clock: options.clock,
      table: PROCESS_TABLE,
      partitions: [PROCESS_PARTITION],
      waitMs: CHANGE_FEED_WAIT_MS,
      onChanges: (changes) => {
        for (const change of changes) this.applyChange(change);
      },
      onFailure: options.onFailure,
    });
  }

  /** Addresses of the other processes, those with the most processors first. */
  peerAddresses(): readonly string[] {
    return [...this.processes.values()]
      .sort((a, b) => b.processors - a.processors)
      .map(({ address }) => address);
  }

  /**
   * Addresses of the processes with far more processors than this one, those with the
   * most first; they may have stopped since.
   */
  largerPeerAddresses(): readonly string[] {
    const minProcessors = this.options.processors * LARGER_PEER_FACTOR;
    return [...this.processes.values()]
      .filter(({ processors }) => processors >= minProcessors)
      .sort((a, b) => b.processors - a.processors)
      .map(({ address }) => address);
  }

  start(): void {
    void this.register();
    void this.follower.run();
  }

  stop(): void {
    this.isStopped = true;
    this.follower.stop();
  }

  private async register(): Promise<void> {
    const { store, clock, nodeName, address, processors } = this.options;
    const value = JSON.stringify({ address, processors });
    const row = { table: PROCESS_TABLE, partition: PROCESS_PARTITION, key: nodeName, value };
    while (!this.isStopped) {
      try {
        await store.transact({ conditions: [], writes: [row] });
        return;
      } catch (error) {
        if (!isStoreFailure(error)) throw error;
        await clock.delay(RETRY_MS);
      }
    }
  }

  private applyChange({ key, value }: RowChange): void {
    if (key === this.options.nodeName) return;
    const parsed = value === null ? null : decodeProcessRow(value);
    if (parsed !== null) this.processes.set(key, parsed);
    else this.processes.delete(key);
  }
}

/** Returns `null` for a row that cannot be decoded; its process is not called. */
function decodeProcessRow(value: string): ProcessRow | null {
  try {
    const parsed = processSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : null;
  } catch (error) {
    if (error instanceof SyntaxError) return null;
    throw error;
  }
}
