/** Keeps what the forecast knows about bursts in the store, so that the next leader knows it too. */
import { BurstForecast, type BurstMemory } from '../scheduling/burst_forecast';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowStore } from '../store/row_store';
import {
  BURST_MEMORY_TABLE,
  burstMemoryAddress,
  decodeBurstMemory,
  encodeBurstMemory,
} from './burst_memory_rows';
import type { FencedWriter } from './fenced_writer';

export interface BurstMemoryKeeperOptions {
  readonly store: RowStore;
  readonly writer: FencedWriter;
  readonly forecast: BurstForecast;
}

/**
 * Loads the memory of earlier leaders and stores changes of it.
 *
 * @example
 * ```ts
 * await keeper.load();
 * keeper.update(new Map([['quotes', 40]]));
 * ```
 */
export class BurstMemoryKeeper {
  private readonly stored = new Map<string, BurstMemory>();

  constructor(private readonly options: BurstMemoryKeeperOptions) {}

  /** Throws the errors of {@link RowStore.read}. */
  async load(): Promise<void> {
    const { store, forecast } = this.options;
    const { rows } = await store.read({ table: BURST_MEMORY_TABLE, partition: PLACEMENT_PARTITION });
    for (const { key, value } of rows) {
      const memory = decodeBurstMemory(value);
      if (memory === null) continue;
      this.stored.set(key, memory);
      forecast.remember(key, memory);
    }
  }

  /**
   * Stores changed memories. `instancesByPool` contains the current size of each pool; the
   * first one that is seen of a pool counts as what the operator has provisioned.
   */
  update(instancesByPool: ReadonlyMap<string, number>): void {
    const { forecast, writer } = this.options;
    for (const [poolId, provisionedInstances] of instancesByPool) {
      const known = forecast.memoryOf(poolId);
      const memory = known ?? { provisionedInstances, heights: [] };
      if (known === null) forecast.remember(poolId, memory);
      if (this.stored.get(poolId) === memory) continue;
      this.stored.set(poolId, memory);
      writer.stage({ ...burstMemoryAddress(poolId), value: encodeBurstMemory(memory) });
    }
  }
}
