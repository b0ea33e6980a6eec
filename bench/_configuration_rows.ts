/** Configurations of any size for benchmarks, as rows of the table service. */
import { objectKey, type ObjectRow } from '../config/change';
import { hashKey } from '../admission/key_index';
import { instanceSchema, instanceStateSchema, keySchema, teamSchema } from '../model/fleet';
import type { ObjectKind } from '../model/ticket';

/** A row of the table service that holds a configuration object. */
export interface ConfigurationRow {
  readonly key: string;
  readonly value: unknown;
}

const INSTANCES_PER_POOL = 67;

/** Rows of instances and their states. */
export function instanceRows(count: number): readonly ConfigurationRow[] {
  return Array.from({ length: count }, (_, index) => {
    const instanceId = `worker-${index}`;
    const poolId = `pool-${Math.floor(index / INSTANCES_PER_POOL)}`;
    const instance = instanceSchema.parse({
      instanceId,
      poolId,
      host: `10.${index % 200}.${Math.floor(index / 200)}.7`,
      port: 8080,
      availabilityZone: `zone-${index % 20}`,
      rack: `rack-${Math.floor(index / 4)}`,
    });
    const state = instanceStateSchema.parse({ instanceId, poolId, state: 'serving', epoch: 0 });
    return [toRow('instances', instanceId, instance), toRow('instanceStates', instanceId, state)];
  }).flat();
}

/** Rows of teams with one API key each. */
export function teamRows(count: number): readonly ConfigurationRow[] {
  return Array.from({ length: count }, (_, index) => {
    const teamId = `team-${index}`;
    const team = teamSchema.parse({ teamId, shareWeight: 1 + (index % 7), upperLimit: 100 });
    const key = keySchema.parse({ keyId: `key-${index}`, teamId, keyHashHex: hashKey(`secret-${index}`) });
    return [toRow('teams', teamId, team), toRow('keys', key.keyId, key)];
  }).flat();
}

function toRow(kind: ObjectKind, objectId: string, value: unknown): ConfigurationRow {
  const row: ObjectRow = { ticketNumber: 1, value };
  return { key: objectKey(kind, objectId), value: JSON.parse(JSON.stringify(row)) as unknown };
}
