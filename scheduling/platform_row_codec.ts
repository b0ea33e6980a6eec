/** Rows of the store that the platform's operator and workers write, in the product's terms. */
import type { RowWrite } from '../store/row_store';
import type { FleetRules } from './fleet_rules';
import type { MaintenanceWave } from './maintenance_wave';
import type { WorkerEntry } from './worker_entry';

/** What a row of the operator says. */
export type OperatorRow =
  | { readonly kind: 'rules'; readonly rules: FleetRules }
  | { readonly kind: 'wave'; readonly wave: MaintenanceWave }
  | { readonly kind: 'unknown' };

/** The row is not what the platform promises. */
export class UnusableRowError extends Error {
  override readonly name = 'UnusableRowError';
}

/** Translates rows; the only place that knows their encoding. */
export abstract class PlatformRowCodec {
  /** Table of the operator's rows. */
  abstract readonly operatorTable: string;
  /** Table in which workers register themselves, by their id. */
  abstract readonly workerTable: string;
  /** Partition of both tables. */
  abstract readonly partition: string;

  /** Throws {@link UnusableRowError}. */
  abstract decodeOperatorRow(key: string, value: string): OperatorRow;
  /** Throws {@link UnusableRowError} for a row that names no usable worker. */
  abstract decodeWorkerEntry(workerId: string, value: string): WorkerEntry;
  /** The row that tells the operator how a wave goes. */
  abstract encodeWaveStatus(waveNumber: number, isCompleted: boolean): RowWrite;
}
