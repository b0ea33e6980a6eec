/** Decides which instances of a maintenance wave still have to be maintained. */
import type { Clock } from '../kernel/clock';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import type { InstanceDirectory } from './instance_directory';
import type { WaveProgress } from './wave_rows';

export interface OutstandingInstancesOptions {
  readonly clock: Clock;
  readonly directory: Pick<InstanceDirectory, 'isInstanceAbsent'>;
}

/**
 * An instance is outstanding until its maintenance has begun or it is known to have been
 * removed. An instance that was only not seen yet may have been added since the list was
 * read, so its removal has to be shown by reads that began after this process first met the
 * wave.
 *
 * @example
 * ```ts
 * const outstanding = new OutstandingInstances({ clock, directory });
 * const isDone = outstanding.of(wave, progress).length === 0;
 * ```
 */
export class OutstandingInstances {
  /** By order: the operator may replace the order of a wave with one that names other instances. */
  private readonly firstMetAtMs = new WeakMap<MaintenanceWave, number>();

  constructor(private readonly options: OutstandingInstancesOptions) {}

  of(wave: MaintenanceWave, progress: WaveProgress): readonly string[] {
    const sinceMs = this.meet(wave);
    const begun = new Set(progress.begun);
    return wave.instanceIds.filter(
      (id) => !begun.has(id) && !this.options.directory.isInstanceAbsent(id, sinceMs),
    );
  }

  private meet(wave: MaintenanceWave): number {
    const sinceMs = this.firstMetAtMs.get(wave) ?? this.options.clock.monotonicMs();
    this.firstMetAtMs.set(wave, sinceMs);
    return sinceMs;
  }
}
