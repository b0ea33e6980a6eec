/** Status of the system according to the platform's store: the placement leader, pending jobs, maintenance waves, closed zones and interference. */
import type { InterferencePair } from '../interference/interference_model';
import { decodeInterferencePairs, INTERFERENCE_ADDRESS } from '../placement/interference_rows';
import { decodeLease, LEASE_ADDRESS } from '../placement/lease_row';
import { decodeQueueStatus, queueStatusAddress } from '../placement/queue_status';
import { decodeWaveProgress, WAVE_TABLE } from '../placement/wave_rows';
import {
  cancelledJobId,
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
  /** Machine of the placement leader; `null` if there is none. */
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
  /** Zones that the operator has closed, with the version of the row. */
  readonly closedZones: readonly { readonly zone: string; readonly rowVersion: number }[];
  /** Learned pairs of images; empty if the row cannot be decoded, which the leader replaces. */
  readonly interference: readonly Readonly<Record<keyof InterferencePair, string | number>>[];
}

export interface StoreStatusOptions {
  readonly store: RowStore;
  readonly rowCodec: PlatformRowCodec;
}

/** Reads the status. Throws `StoreUnavailableError`, and `RowFormatError` for rows of a later version. */
export async function readStoreStatus({ store, rowCodec }: StoreStatusOptions): Promise<StoreStatus> {
  const leaseRow = await store.readOne(LEASE_ADDRESS);
  const leader = leaseRow === null ? null : decodeLease(leaseRow.value);
  const readPlacementRows = async (table: string): Promise<readonly StoredRow[]> =>
    (await store.read({ table, partition: PLACEMENT_PARTITION })).rows;
  const { partition } = rowCodec;
  const operatorSnapshot = await store.read({ table: rowCodec.operatorTable, partition });
  const workerSnapshot = await store.read({ table: rowCodec.workerTable, partition });
  const rules = latestRules(operatorSnapshot.rows, rowCodec);
  const pending = new Map(
    (await readPlacementRows(queueStatusAddress('').table)).map(({ key, value }) => [
      key,
      decodeQueueStatus(value).pending,
    ]),
  );
  return {
    holder: leader === null || leader.nodeName === '' ? null : leader.nodeName,
    epoch: leader?.epoch ?? 0,
    rulesVersion: rules?.version ?? null,
    jobsByState: await countJobs(store, await readPlacementRows(PROGRESS_TABLE)),
    pools: [...(rules?.pools.values() ?? [])].map(({ poolId, spare }) => ({
      poolId,
      spare,
      workers: workerSnapshot.rows.filter((row) => poolIdOf(row, rowCodec) === poolId).length,
    })),
    queues: [...(rules?.queues.values() ?? [])].map(({ queueId, poolId }) => ({
      queueId,
      poolId,
      pending: pending.get(queueId) ?? 0,
    })),
    waves: (await readPlacementRows(WAVE_TABLE)).map(({ key, value }) => {
      const { begun, isCompleted } = decodeWaveProgress(value);
      return { wave: key, begun: begun.length, isCompleted };
    }),
    closedZones: operatorSnapshot.rows.flatMap(({ key, version: rowVersion }) => {
      const zone = rowCodec.closedZone(key);
      return zone === null ? [] : [{ zone, rowVersion }];
    }),
    interference: await readInterference(store),
  };
}

/** Renders the status as text. */
export function renderStoreStatus({
  jobsByState,
  pools,
  queues,
  waves,
  closedZones,
  interference,
  ...fields
}: StoreStatus): string {
  const sections = [
    renderFields({ ...fields, ...jobsByState }),
    `Pools\n${renderTable(pools)}`,
    `Queues\n${renderTable(queues)}`,
    `Waves\n${renderTable(waves)}`,
    `Closed zones\n${renderTable(closedZones)}`,
    `Interference\n${renderTable(interference)}`,
  ];
  return sections.join('\n');
}

async function readInterference(store: RowStore): Promise<StoreStatus['interference']> {
  const row = await store.readOne(INTERFERENCE_ADDRESS);
  return row === null ? [] : (decodeInterferencePairs(row.value) ?? []).map((pair) => ({ ...pair }));
}

/** Counts jobs by state; a job without a progress row has not been processed yet and counts as queued. */
async function countJobs(
  store: RowStore,
  progress: readonly StoredRow[],
): Promise<Readonly<Record<string, number>>> {
  const counts: Record<string, number> = { queued: 0, running: 0, completed: 0, failed: 0, cancelled: 0 };
  const jobsWithProgress = new Set<string>();
  for (const { key, value } of progress) {
    const { state } = decodeProgress(value);
    jobsWithProgress.add(key);
    counts[state] = (counts[state] ?? 0) + 1;
  }
  for (const partition of JOB_PARTITIONS) {
    const { rows } = await store.read({ table: JOB_TABLE, partition });
    const jobsWithoutProgress = rows.filter(
      ({ key }) => cancelledJobId(key) === null && !jobsWithProgress.has(key),
    );
    counts.queued = (counts.queued ?? 0) + jobsWithoutProgress.length;
  }
  return counts;
}

function latestRules(operatorRows: readonly StoredRow[], rowCodec: PlatformRowCodec): FleetRules | null {
  let latest: FleetRules | null = null;
  for (const { key, value } of operatorRows) {
    const row = rowCodec.decodeOperatorRow(key, value);
    if (row.kind === 'rules' && row.rules.version >= (latest?.version ?? 0)) latest = row.rules;
  }
  return latest;
}

/** Returns the pool of a worker; `null` for an entry that cannot be decoded, which another writer may have left. */
function poolIdOf({ key, value }: StoredRow, rowCodec: PlatformRowCodec): string | null {
  try {
    return rowCodec.decodeWorkerEntry(key, value).poolId;
  } catch (error) {
    if (!(error instanceof UnusableRowError)) throw error;
    return null;
  }
}
