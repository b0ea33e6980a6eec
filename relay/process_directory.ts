/** Rows under which the processes of the system find each other. */
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import { isStoreFailure, type RowChange, type RowStore } from '../store/row_store';
import { TableFollower } from '../store/table_follower';

const TABLE = 'processes';
const PARTITION = '';

/** How long one call for changed processes waits, in milliseconds; a stale address costs one refused connection. */
const FEED_WAIT_MS = 20_000;

/** Pause before a registration that failed is tried again, in milliseconds. */
const RETRY_MS = 1_000;

/** A process with this many times the processors of another one is preferred as the holder of a role. */
const STRONGER_FACTOR = 1.5;

const processSchema = z.object({
  address: z.string(),
  /** Earlier versions do not write it. */
  processors: z.number().default(0),
});

type ProcessRow = Readonly<z.infer<typeof processSchema>>;

export interface ProcessDirectoryOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly nodeName: string;
  /** IP address and port at which this process serves the others. */
  readonly address: string;
  /** Processors that this process may use. */
  readonly processors: number;
}

/** Registers this process and knows the addresses of the others. */
export class ProcessDirectory {
  private readonly processes = new Map<string, ProcessRow>();
  private readonly follower: TableFollower;
  private isStopped = false;

  constructor(private readonly options: ProcessDirectoryOptions) {
    this.follower = new TableFollower({
      store: options.store,
      clock: options.clock,
      table: TABLE,
      partitions: [PARTITION],
      waitMs: FEED_WAIT_MS,
      onChanges: (changes) => {
        for (const change of changes) this.take(change);
      },
    });
  }

  /** Addresses of the other processes, those with most processors first. */
  others(): readonly string[] {
    return [...this.processes.values()]
      .sort((a, b) => b.processors - a.processors)
      .map(({ address }) => address);
  }

  /** Whether a process with far more processors than this one is known; it may be gone. */
  hasLargerPeer(): boolean {
    const limit = this.options.processors * STRONGER_FACTOR;
    return [...this.processes.values()].some(({ processors }) => processors >= limit);
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
    const row = { table: TABLE, partition: PARTITION, key: nodeName, value };
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

  private take({ key, value }: RowChange): void {
    if (key === this.options.nodeName) return;
    const parsed = value === null ? null : processSchema.safeParse(JSON.parse(value));
    if (parsed?.success === true) this.processes.set(key, parsed.data);
    else this.processes.delete(key);
  }
}
