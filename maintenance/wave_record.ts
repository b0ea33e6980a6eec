/** Progress of a wave as it is kept in the table. */
import { z } from 'zod';

/** Value of the row `wave_progress/<waveId>`. */
export const waveRecordSchema = z.object({
  waveId: z.string(),
  /** Instances that were rebooted and seen serving again. */
  done: z.array(z.string()).readonly(),
  /** Why no further instance is taken, `null` while the wave goes on. */
  paused: z.string().nullable(),
});

export type WaveRecord = Readonly<z.infer<typeof waveRecordSchema>>;

export const WAVE_PROGRESS_PREFIX = 'wave_progress/';

/** Key of the progress row of a wave. */
export function waveRecordKey(waveId: string): string {
  return `${WAVE_PROGRESS_PREFIX}${waveId}`;
}

/** A wave of which nothing has been done. */
export function newWaveRecord(waveId: string): WaveRecord {
  return { waveId, done: [], paused: null };
}
