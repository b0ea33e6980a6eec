/** Progress of a wave as it is stored in the table. */
import { z } from 'zod';

/** Value of the row `wave_progress/<waveId>`. */
export const waveRecordSchema = z.object({
  waveId: z.string(),
  /** Instances that have been rebooted and returned to service. */
  done: z.array(z.string()).readonly(),
  /** Why no further instance is taken out of service, `null` if the wave is in progress or complete. */
  paused: z.string().nullable(),
});

export type WaveRecord = Readonly<z.infer<typeof waveRecordSchema>>;

export const WAVE_PROGRESS_PREFIX = 'wave_progress/';

/** Key of the progress row of a wave. */
export function waveRecordKey(waveId: string): string {
  return `${WAVE_PROGRESS_PREFIX}${waveId}`;
}

/** The record of a wave that has not started. */
export function newWaveRecord(waveId: string): WaveRecord {
  return { waveId, done: [], paused: null };
}
