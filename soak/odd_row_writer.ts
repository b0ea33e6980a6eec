/** Leaves odd rows in the store, as another writer may. */
import { seededRandom } from '../bench/seeded_random';
import { BURST_MEMORY_TABLE } from '../placement/burst_memory_rows';
import { queueStatusAddress } from '../placement/queue_status';
import { SHARE_ADDRESS } from '../placement/share_rows';
import { WAVE_TABLE } from '../placement/wave_rows';
import { oddWorkerEntries, type OddEntry } from '../platform/standins/odd_worker_entry_encoding';
import { PROCESS_PARTITION, PROCESS_TABLE } from '../relay/process_registry';
import { JOB_PARTITIONS, JOB_TABLE, PLACEMENT_PARTITION, PROGRESS_TABLE } from '../scheduling/job_rows';
import type { RowWrite } from '../store/row_store';

/** Combined with the seed, so that odd rows do not change which other faults a seed plays. */
const SEED_MASK = 0x5eed;

const NESTING_DEPTH = 20_000;

/** Texts that are unusable in every table of the product. */
const ODD_VALUES = [
  '',
  'null',
  '{"encoding":1',
  '{"encoding":1e400}',
  '['.repeat(NESTING_DEPTH) + ']'.repeat(NESTING_DEPTH),
] as const;

/** Rows of processes that do not exist. */
const ODD_PROCESS_VALUES = [
  '{"address":"127.0.0.1:99999","processors":64}',
  '{"address":"127.0.0.1:1","processors":1e300}',
  '{"address":"","processors":64}',
  '{"address":"127.0.0.1:0","processors":-1}',
  ...ODD_VALUES,
] as const;

const PLACEMENT_TABLES = [
  BURST_MEMORY_TABLE,
  SHARE_ADDRESS.table,
  PROGRESS_TABLE,
  WAVE_TABLE,
  queueStatusAddress('').table,
] as const;

export interface OddRowWriterOptions {
  readonly seed: number;
  readonly poolId: string;
  /** Address of a real worker. */
  readonly workerAddress: string;
  readonly write: (rows: readonly RowWrite[]) => void;
}

/**
 * Writes rows that stay, so that later processes read them as well.
 *
 * @example
 * ```ts
 * new OddRowWriter({ seed: 7, poolId, workerAddress, write }).leaveRows(); // ['port 99999 ...', ...]
 * ```
 */
export class OddRowWriter {
  private readonly random: () => number;
  private readonly entries: readonly OddEntry[];
  private count = 0;

  constructor(private readonly options: OddRowWriterOptions) {
    this.random = seededRandom(options.seed ^ SEED_MASK);
    this.entries = oddWorkerEntries(options.poolId, options.workerAddress);
  }

  /** Writes a row among those of the workers, of the processes, and of one of the other tables. Returns what is odd. */
  leaveRows(): readonly string[] {
    this.count += 1;
    const key = `odd-${this.count}`;
    const { description, row } = this.pick(this.entries);
    const process = {
      table: PROCESS_TABLE,
      partition: PROCESS_PARTITION,
      key,
      value: this.pick(ODD_PROCESS_VALUES),
    };
    const [table, partition] = this.pick([
      ...PLACEMENT_TABLES.map((name) => [name, PLACEMENT_PARTITION] as const),
      ...JOB_PARTITIONS.map((name) => [JOB_TABLE, name] as const),
    ]);
    const other = { table, partition, key, value: this.pick(ODD_VALUES) };
    this.options.write([row, process, other]);
    return [`worker: ${description}`, ...[process, other].map((written) => describe(written))];
  }

  private pick<T>(choices: readonly T[]): T {
    const choice = choices[Math.floor(this.random() * choices.length)];
    if (choice === undefined) throw new Error('There is nothing to choose from.');
    return choice;
  }
}

function describe({ table, value }: { readonly table: string; readonly value: string }): string {
  return `${table}: ${value}`.slice(0, 60);
}
