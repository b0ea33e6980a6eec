/** Reads and encodes the rows in which the maintenance of one pool is stored. */
import type { FleetConfiguration } from '../model/fleet';
import type { Condition, Row, TableService, Write } from '../platform/table_service';
import {
  indexByInstance,
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

/** Reads the unavailable instances of a pool and the progress of its waves. Throws `TableUnavailableError`. */
export async function readPoolRows(
  table: TableService,
  fleet: FleetConfiguration,
  poolId: string,
): Promise<PoolRows> {
  const waves = wavesOfPool(fleet, poolId);
  const keys = [availabilityKey(poolId), ...waves.map(({ waveId }) => waveRecordKey(waveId))];
  const rows = await table.read({ keys });
  const availabilityRow = rows.find(({ key }) => key === availabilityKey(poolId));
  const records = rows.filter(({ key }) => key !== availabilityKey(poolId)).map(parseRecord);
  return {
    entries: indexByInstance(availabilityRow ? availabilitySchema.parse(availabilityRow.value).entries : []),
    records: new Map(records.map((record) => [record.waveId, record])),
    versions: new Map(rows.map(({ key, version }) => [key, version])),
  };
}

/** Returns the writes that change `rows` into `plan`, and conditions that fail if `rows` have changed since. */
export function buildPoolTransaction(
  poolId: string,
  rows: PoolRows,
  plan: TickPlan,
): { readonly conditions: readonly Condition[]; readonly writes: readonly Write[] } {
  const availability = { entries: [...plan.entries.values()] };
  const haveEntriesChanged =
    JSON.stringify(availability.entries) !== JSON.stringify([...rows.entries.values()]);
  const availabilityWrites: readonly Write[] = haveEntriesChanged
    ? [{ key: availabilityKey(poolId), value: availability }]
    : [];
  const recordWrites = [...plan.records.values()]
    .filter((record) => rows.records.get(record.waveId) !== record)
    .map((record): Write => ({ key: waveRecordKey(record.waveId), value: record }));
  const writes = [...availabilityWrites, ...recordWrites];
  // The plan depends on the availability row even if it does not change it.
  const keys = new Set([availabilityKey(poolId), ...writes.map(({ key }) => key)]);
  const conditions = [...keys].map((key) => ({ key, version: rows.versions.get(key) ?? null }));
  return { conditions, writes };
}

function parseRecord(row: Row): WaveRecord {
  return waveRecordSchema.parse(row.value);
}
