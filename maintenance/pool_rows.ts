/** Reads and encodes the rows that maintenance of one pool keeps. */
import type { FleetConfiguration } from '../model/fleet';
import type { Condition, Row, TableService, Write } from '../platform/table_service';
import {
  byInstance,
  availabilityKey,
  availabilitySchema,
  type UnavailableInstances,
} from './availability_budget';
import { wavesOfPool, type TickPlan } from './tick_plan';
import { waveRecordKey, waveRecordSchema, type WaveRecord } from './wave_record';

/** The rows of a pool at the versions at which they were read. */
export interface PoolRows {
  readonly entries: UnavailableInstances;
  readonly records: ReadonlyMap<string, WaveRecord>;
  readonly versions: ReadonlyMap<string, number>;
}

/** Reads the ledger of a pool and the progress of its waves. Throws `TableUnavailableError`. */
export async function readPoolRows(
  table: TableService,
  fleet: FleetConfiguration,
  poolId: string,
): Promise<PoolRows> {
  const waves = wavesOfPool(fleet, poolId);
  const keys = [availabilityKey(poolId), ...waves.map(({ waveId }) => waveRecordKey(waveId))];
  const rows = await table.read({ keys });
  const ledger = rows.find(({ key }) => key === availabilityKey(poolId));
  const records = rows.filter(({ key }) => key !== availabilityKey(poolId)).map(parseRecord);
  return {
    entries: byInstance(ledger ? availabilitySchema.parse(ledger.value).entries : []),
    records: new Map(records.map((record) => [record.waveId, record])),
    versions: new Map(rows.map(({ key, version }) => [key, version])),
  };
}

/** The writes that lead from `rows` to `plan`, and conditions that nobody else has written them. */
export function diffPoolRows(
  poolId: string,
  rows: PoolRows,
  plan: TickPlan,
): { readonly conditions: readonly Condition[]; readonly writes: readonly Write[] } {
  const ledger = { entries: [...plan.entries.values()] };
  const hasLedgerChanged = JSON.stringify(ledger.entries) !== JSON.stringify([...rows.entries.values()]);
  const ledgerWrites: readonly Write[] = hasLedgerChanged
    ? [{ key: availabilityKey(poolId), value: ledger }]
    : [];
  const recordWrites = [...plan.records.values()]
    .filter((record) => rows.records.get(record.waveId) !== record)
    .map((record): Write => ({ key: waveRecordKey(record.waveId), value: record }));
  const writes = [...ledgerWrites, ...recordWrites];
  // A decision depends on the ledger even if it does not change it.
  const keys = new Set([availabilityKey(poolId), ...writes.map(({ key }) => key)]);
  const conditions = [...keys].map((key) => ({ key, version: rows.versions.get(key) ?? null }));
  return { conditions, writes };
}

function parseRecord(row: Row): WaveRecord {
  return waveRecordSchema.parse(row.value);
}
