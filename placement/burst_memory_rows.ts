/** Rows in which the leader stores what it knows about the bursts of each pool. */
import { z } from 'zod';
import type { BurstMemory } from '../scheduling/burst_forecast';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowAddress } from '../store/row_store';

export const BURST_MEMORY_TABLE = 'bursts';

/** Largest size of a pool. A larger one would make the sizes of all pools infinite in proportion to it. */
const MAX_INSTANCES = 1_000_000;

const instancesSchema = z.number().min(0).max(MAX_INSTANCES);

const memorySchema = z.object({
  provisionedInstances: instancesSchema,
  heights: z.array(instancesSchema).readonly(),
});

export function burstMemoryAddress(poolId: string): RowAddress {
  return { table: BURST_MEMORY_TABLE, partition: PLACEMENT_PARTITION, key: poolId };
}

export function encodeBurstMemory(memory: BurstMemory): string {
  return JSON.stringify(memory);
}

/** Returns `null` for a row that cannot be decoded; the forecast then starts without it. */
export function decodeBurstMemory(value: string): BurstMemory | null {
  try {
    const parsed = memorySchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
