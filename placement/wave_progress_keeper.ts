/** Keeps the progress of maintenance waves, and stores each change with the leader's next commit. */
import type { Clock } from '../kernel/clock';
import { PLACEMENT_PARTITION, RowFormatError } from '../scheduling/job_rows';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import type { PlatformRowCodec } from '../scheduling/platform_row_codec';
import type { RowStore } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { FencedWriter } from './fenced_writer';
import {
  decodeWaveProgress,
  encodeWaveProgress,
  WAVE_TABLE,
  waveAddress,
  type WaveProgress,
} from './wave_rows';

export interface WaveProgressKeeperOptions {
  readonly clock: Clock;
  readonly store: RowStore;
  readonly rowCodec: PlatformRowCodec;
  readonly writer: FencedWriter;
  readonly counters: Counters;
  readonly logger: Logger;
}

/**
 * @example
 * ```ts
 * await waves.load();
 * const progress = waves.progressOf(wave);
 * ```
 */
export class WaveProgressKeeper {
  private readonly progressByWave = new Map<number, WaveProgress>();
  /** Waves whose stored progress cannot be decoded; continuing them might maintain an instance twice. */
  private readonly unusableWaves = new Set<number>();

  constructor(private readonly options: WaveProgressKeeperOptions) {}

  /** Loads what earlier leaders have stored. Throws the errors of {@link RowStore.read}. */
  async load(): Promise<void> {
    const { rows } = await this.options.store.read({ table: WAVE_TABLE, partition: PLACEMENT_PARTITION });
    // Another form of a number is no key of this system, and must not stand for the wave of that number.
    for (const { key, value } of rows) if (String(Number(key)) === key) this.loadRow(Number(key), value);
  }

  /** Progress of a wave, which begins now if it is new; `null` if it may not be continued. */
  progressOf(wave: MaintenanceWave): WaveProgress | null {
    if (this.unusableWaves.has(wave.waveNumber)) return null;
    const known = this.progressByWave.get(wave.waveNumber);
    if (known !== undefined) return known;
    const progress = { begun: [], isCompleted: false, orderedAtMs: this.options.clock.wallMs() };
    this.save(wave, progress);
    return progress;
  }

  save({ waveNumber, instanceIds }: MaintenanceWave, progress: WaveProgress): void {
    const { writer, rowCodec, logger } = this.options;
    const known = this.progressByWave.get(waveNumber);
    const hasStateChanged = known?.isCompleted !== progress.isCompleted;
    this.progressByWave.set(waveNumber, progress);
    writer.stage({ ...waveAddress(waveNumber), value: encodeWaveProgress(progress) });
    if (!hasStateChanged) return;
    writer.stage(rowCodec.encodeWaveStatus(waveNumber, progress.isCompleted));
    const counts = { ordered: instanceIds.length, begun: progress.begun.length };
    if (progress.isCompleted) logger.info(LOG_EVENTS.waveCompleted, { waveNumber, ...counts });
    else if (known !== undefined) logger.warn(LOG_EVENTS.waveReopened, { waveNumber, ...counts });
  }

  private loadRow(waveNumber: number, value: string): void {
    try {
      this.progressByWave.set(waveNumber, decodeWaveProgress(value));
    } catch (error) {
      if (!(error instanceof RowFormatError)) throw error;
      this.unusableWaves.add(waveNumber);
      this.options.counters.increment('placement.wave_row_unusable');
      this.options.logger.warn(LOG_EVENTS.waveRowUnusable, { waveNumber, reason: error.message });
    }
  }
}
