/** Rows with the progress of maintenance waves, from which a successor of the leader continues. */
import { z } from 'zod';
import { decodeJsonRow, PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowAddress } from '../store/row_store';

export const WAVE_TABLE = 'waves';

const waveProgressSchema = z.object({
  /** Instances whose maintenance has begun. */
  begun: z.array(z.string()).readonly(),
  isCompleted: z.boolean(),
  /** Unix time at which a leader first read the wave, in milliseconds. */
  orderedAtMs: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
});

export type WaveProgress = Readonly<z.infer<typeof waveProgressSchema>>;

export function waveAddress(waveNumber: number): RowAddress {
  return { table: WAVE_TABLE, partition: PLACEMENT_PARTITION, key: String(waveNumber) };
}

export function encodeWaveProgress(progress: WaveProgress): string {
  return JSON.stringify(progress);
}

/** Throws {@link RowFormatError} if the row cannot be decoded. */
export function decodeWaveProgress(value: string): WaveProgress {
  return decodeJsonRow(waveProgressSchema, value);
}
