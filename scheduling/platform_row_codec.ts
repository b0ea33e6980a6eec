/** Decoding and encoding of rows that this system shares with the platform's operator and workers. */
import type { RowWrite } from '../store/row_store';
import type { FleetRules } from './fleet_rules';
import type { MaintenanceWave } from './maintenance_wave';
import type { WorkerEntry } from './worker_entry';

/** Content of a row that the operator wrote. */
export type OperatorRow =
  | {
      readonly kind: 'rules';
      readonly rules: FleetRules;
      /** Why entries of the configuration were left out. */
      readonly unusableEntries: readonly string[];
    }
  | { readonly kind: 'wave'; readonly wave: MaintenanceWave }
  /** The row exists as long as the zone is closed. */
  | { readonly kind: 'zone_closed'; readonly zone: string }
  | { readonly kind: 'unknown' };

/** The row does not have the format that the platform specifies. */
export class UnusableRowError extends Error {
  override readonly name = 'UnusableRowError';
}

/** Decodes and encodes rows; the only place that knows their encoding. */
export abstract class PlatformRowCodec {
  /** Table of the operator's rows. */
  abstract readonly operatorTable: string;
  /** Table in which workers register themselves, by worker id. */
  abstract readonly workerTable: string;
  /** Partition of both tables. */
  abstract readonly partition: string;

  /** Throws {@link UnusableRowError}. */
  abstract decodeOperatorRow(key: string, value: string): OperatorRow;
  /**
   * The availability zone that an operator's row closes; `null` for any other row. The key
   * alone says so, also of a row that was removed.
   */
  abstract closedZone(key: string): string | null;
  /** Throws {@link UnusableRowError} for an entry that does not describe a usable worker. */
  abstract decodeWorkerEntry(workerId: string, value: string): WorkerEntry;
  /** The row that reports the status of a wave to the operator. */
  abstract encodeWaveStatus(waveNumber: number, isCompleted: boolean): RowWrite;
}
