/** Progress of maintenance waves as reported to operators. */
import { capability } from '../kernel/capability';
import type { FleetConfiguration } from '../model/fleet';
import type { TableService } from '../platform/table_service';
import { availabilityKey, availabilitySchema } from './availability_budget';
import { instancesToReboot, wavesOfPool } from './tick_plan';
import { WAVE_PROGRESS_PREFIX, waveRecordSchema } from './wave_record';

/** Progress of one wave. Instances that have left its pool are in none of the lists. */
export interface WaveProgress {
  readonly waveId: string;
  readonly poolId: string;
  readonly done: readonly string[];
  readonly inProgress: readonly string[];
  readonly waiting: readonly string[];
  /** Why the wave takes no further instance out of service, `null` if it is in progress or complete. */
  readonly paused: string | null;
}

export const MAINTENANCE_PROGRESS = capability<MaintenanceProgress>('maintenance.progress');

/** Reports the progress of waves; available on every entry instance. */
export abstract class MaintenanceProgress {
  /** Waves by id. Throws `TableUnavailableError`. */
  abstract waves(): Promise<readonly WaveProgress[]>;
}

/** Reads the progress that the maintainers of the pools store in the table. */
export class TableMaintenanceProgress extends MaintenanceProgress {
  constructor(
    private readonly table: TableService,
    private readonly fleet: () => FleetConfiguration,
  ) {
    super();
  }

  override async waves(): Promise<readonly WaveProgress[]> {
    const fleet = this.fleet();
    const poolIds = [...new Set([...fleet.waves.values()].map(({ poolId }) => poolId))];
    const rows = await this.table.read({
      keys: poolIds.map(availabilityKey),
      prefixes: [WAVE_PROGRESS_PREFIX],
    });
    const isRecord = ({ key }: { readonly key: string }): boolean => key.startsWith(WAVE_PROGRESS_PREFIX);
    const records = rows.filter(isRecord).map(({ value }) => waveRecordSchema.parse(value));
    const entries = rows
      .filter((row) => !isRecord(row))
      .flatMap(({ value }) => availabilitySchema.parse(value).entries);
    const waves = poolIds.flatMap((poolId) => wavesOfPool(fleet, poolId));
    return waves.map((wave): WaveProgress => {
      const record = records.find(({ waveId }) => waveId === wave.waveId);
      const toReboot = instancesToReboot(wave, fleet, record);
      const outOfService = new Set(
        entries.filter(({ waveId }) => waveId === wave.waveId).map((entry) => entry.instanceId),
      );
      return {
        waveId: wave.waveId,
        poolId: wave.poolId,
        done: record?.done ?? [],
        inProgress: toReboot.filter((id) => outOfService.has(id)),
        waiting: toReboot.filter((id) => !outOfService.has(id)),
        paused: record?.paused ?? null,
      };
    });
  }
}
