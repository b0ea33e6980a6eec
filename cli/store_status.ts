/** What the platform's store says about the system: who places, what waits, how far the waves are. */
import { decodeLease, LEASE_ADDRESS } from '../placement/lease_row';
import { decodeQueueStatus, queueStatusAddress } from '../placement/queue_status';
import { decodeWaveProgress, WAVE_TABLE } from '../placement/wave_rows';
import {
  cancelledJobOf,
  decodeProgress,
  JOB_PARTITIONS,
  JOB_TABLE,
  PLACEMENT_PARTITION,
  PROGRESS_TABLE,
} from '../scheduling/job_rows';
import { UnusableRowError, type PlatformRowCodec } from '../scheduling/platform_row_codec';
import type { FleetRules } from '../scheduling/fleet_rules';
import type { RowStore, StoredRow } from '../store/row_store';
import { renderFields, renderTable } from './render';

export interface StoreStatus {
  /** Machine of the process that places; `null` if nobody does. */
  readonly holder: string | null;
  readonly epoch: number;
  readonly rulesVersion: number | null;
  readonly jobsByState: Readonly<Record<string, number>>;
  readonly pools: readonly { readonly poolId: string; readonly spare: boolean; readonly workers: number }[];
  readonly queues: readonly {
    readonly queueId: string;
    readonly poolId: string;
    readonly pending: number;
  }[];
  readonly waves: readonly {
    readonly wave: string;
    readonly begun: number;
    readonly isCompleted: boolean;
  }[];
}

export interface StoreStatusOptions {
  readonly store: RowStore;
  readonly rows: PlatformRowCodec;
}

/** Reads the status. Throws `StoreUnavailableError`, and `RowFormatError` for rows of a later version. */
export async function readStoreStatus({ store, rows }: StoreStatusOptions): Promise<StoreStatus> {
  const lease = await store.readOne(LEASE_ADDRESS);
  const holder = lease === null ? null : decodeLease(lease.value);
  const inPlacement = async (table: string): Promise<readonly StoredRow[]> =>
    (await store.read({ table, partition: PLACEMENT_PARTITION })).rows;
  const { partition } = rows;
  const operator = await store.read({ table: rows.operatorTable, partition });
  const workers = await store.read({ table: rows.workerTable, partition });
  const rules = newestRules(operator.rows, rows);
  const pending = new Map(
    (await inPlacement(queueStatusAddress('').table)).map(({ key, value }) => [
      key,
      decodeQueueStatus(value).pending,
    ]),
  );
  return {
    holder: holder === null || holder.nodeName === '' ? null : holder.nodeName,
    epoch: holder?.epoch ?? 0,
    rulesVersion: rules?.version ?? null,
    jobsByState: await countJobs(store, await inPlacement(PROGRESS_TABLE)),
    pools: [...(rules?.pools.values() ?? [])].map(({ poolId, spare }) => ({
      poolId,
      spare,
      workers: workers.rows.filter((row) => poolOf(row, rows) === poolId).length,
    })),
    queues: [...(rules?.queues.values() ?? [])].map(({ queueId, poolId }) => ({
      queueId,
      poolId,
      pending: pending.get(queueId) ?? 0,
    })),
    waves: (await inPlacement(WAVE_TABLE)).map(({ key, value }) => {
      const { begun, isCompleted } = decodeWaveProgress(value);
      return { wave: key, begun: begun.length, isCompleted };
    }),
  };
}

/** Text for people. */
export function renderStoreStatus({ jobsByState, pools, queues, waves, ...fields }: StoreStatus): string {
  const sections = [
    renderFields({ ...fields, ...jobsByState }),
    `Pools\n${renderTable(pools)}`,
    `Queues\n${renderTable(queues)}`,
    `Waves\n${renderTable(waves)}`,
  ];
  return sections.join('\n');
}

/** Jobs without a row of progress have not been looked at yet and count as queued. */
async function countJobs(
  store: RowStore,
  progress: readonly StoredRow[],
): Promise<Readonly<Record<string, number>>> {
  const counts: Record<string, number> = { queued: 0, running: 0, completed: 0, failed: 0, cancelled: 0 };
  const known = new Set<string>();
  for (const { key, value } of progress) {
    const { state } = decodeProgress(value);
    known.add(key);
    counts[state] = (counts[state] ?? 0) + 1;
  }
  for (const partition of JOB_PARTITIONS) {
    const { rows } = await store.read({ table: JOB_TABLE, partition });
    const fresh = rows.filter(({ key }) => cancelledJobOf(key) === null && !known.has(key));
    counts.queued = (counts.queued ?? 0) + fresh.length;
  }
  return counts;
}

function newestRules(stored: readonly StoredRow[], rows: PlatformRowCodec): FleetRules | null {
  let newest: FleetRules | null = null;
  for (const { key, value } of stored) {
    const row = rows.decodeOperatorRow(key, value);
    if (row.kind === 'rules' && row.rules.version >= (newest?.version ?? 0)) newest = row.rules;
  }
  return newest;
}

/** The pool of a worker; `null` for an entry that names no usable worker, which another writer may have left. */
function poolOf({ key, value }: StoredRow, rows: PlatformRowCodec): string | null {
  try {
    return rows.decodeWorkerEntry(key, value).poolId;
  } catch (error) {
    if (!(error instanceof UnusableRowError)) throw error;
    return null;
  }
}
