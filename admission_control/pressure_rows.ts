/** The row in which the leader publishes its view of the pools that are short. */
import { z } from 'zod';
import type { Resources } from '../model/resources';
import { decodeJsonRow, PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowAddress } from '../store/row_store';
import type { ArrivalGroup, BacklogGroup, PoolPressure, PressureView } from './pool_pressure';

export const PRESSURE_TABLE = 'pressure';

export const PRESSURE_ADDRESS: RowAddress = {
  table: PRESSURE_TABLE,
  partition: PLACEMENT_PARTITION,
  key: 'view',
};

/** Readers ignore rows of other versions, so that processes of two versions work side by side. */
const ENCODING_VERSION = 1;

/**
 * Maximum size of a view, in bytes. 300 processes that each read it 1.33 times a second
 * then take 6.6 MB/s from the store, a link of 7 Mbit/s is used to 2.5 %.
 */
const MAX_VIEW_BYTES = 16_384;

const amount = z.number().min(0);
const resourcesSchema = z.tuple([amount, amount, amount]);

const KINDS = ['on_time', 'late', 'useless'] as const;

const groupSchema = z.tuple([
  z.int(),
  z.union([z.literal(0), z.literal(1), z.literal(2)]),
  z.union([z.literal(0), z.literal(1)]),
  z.number(),
  z.number(),
  z.number(),
  amount,
  amount,
]);

const arrivalSchema = z.tuple([z.int(), z.union([z.literal(0), z.literal(1)]), z.number(), amount]);

const viewSchema = z.object({
  encoding: z.literal(ENCODING_VERSION),
  epoch: z.int().min(0),
  number: z.int().min(1),
  seconds: amount,
  processCount: z.int().min(1),
  overShareTeamIds: z.array(z.string()).readonly(),
  queues: z.array(z.object({ queueId: z.string(), runTimeFactor: amount, meanWork: amount })).readonly(),
  pools: z.array(
    z.object({
      poolId: z.string(),
      shortForMs: amount,
      startsPerMs: z.number().positive().nullable(),
      capacity: resourcesSchema,
      unplacedDemands: z.array(resourcesSchema),
      backlog: z.array(groupSchema),
      arrivals: z.array(arrivalSchema),
    }),
  ),
});

/** Leaves out pools, those with the least work first, until the row is small enough; nothing is rejected there. */
export function encodePressureView(view: PressureView): string {
  const value = JSON.stringify({ encoding: ENCODING_VERSION, ...view, pools: view.pools.map(encodePool) });
  if (Buffer.byteLength(value) <= MAX_VIEW_BYTES || view.pools.length === 0) return value;
  const byWork = [...view.pools].sort((a, b) => totalWorkMs(b) - totalWorkMs(a));
  return encodePressureView({ ...view, pools: byWork.slice(0, -1) });
}

/** Throws `RowFormatError` if the row cannot be decoded. */
export function decodePressureView(value: string): PressureView {
  const row = decodeJsonRow(viewSchema, value);
  const { epoch, number, seconds, processCount, overShareTeamIds, queues } = row;
  const pools = row.pools.map((pool) => ({
    ...pool,
    capacity: decodeResources(pool.capacity),
    unplacedDemands: pool.unplacedDemands.map(decodeResources),
    backlog: pool.backlog.map(decodeGroup),
    arrivals: pool.arrivals.map(decodeArrivals),
  }));
  return { epoch, number, seconds, processCount, overShareTeamIds, queues, pools };
}

function totalWorkMs({ backlog }: PoolPressure): number {
  return backlog.reduce((sum, { workMs }) => sum + workMs, 0);
}

function encodePool(pool: PoolPressure): object {
  return {
    ...pool,
    capacity: encodeResources(pool.capacity),
    unplacedDemands: pool.unplacedDemands.map(encodeResources),
    backlog: pool.backlog.map(encodeGroup),
    arrivals: pool.arrivals.map(encodeArrivals),
  };
}

function encodeResources({
  processors,
  memoryBytes,
  accelerators,
}: Resources): z.infer<typeof resourcesSchema> {
  return [processors, memoryBytes, accelerators];
}

function decodeResources([processors, memoryBytes, accelerators]: z.infer<
  typeof resourcesSchema
>): Resources {
  return { processors, memoryBytes, accelerators };
}

function encodeGroup(group: BacklogGroup): readonly number[] {
  return [
    group.priority,
    KINDS.indexOf(group.kind),
    group.isOverShare ? 1 : 0,
    Number(group.leastValuePerStart.toPrecision(8)),
    Math.floor(group.leastSlackMs),
    Math.floor(group.leastUsefulSlackMs),
    Math.floor(group.workMs * 10) / 10,
    Math.floor(group.starts),
  ];
}

function decodeGroup(row: z.infer<typeof groupSchema>): BacklogGroup {
  const [priority, kind, isOverShare, leastValuePerStart, leastSlackMs, leastUsefulSlackMs, workMs, starts] =
    row;
  return {
    priority,
    kind: KINDS[kind],
    isOverShare: isOverShare === 1,
    leastValuePerStart,
    leastSlackMs,
    leastUsefulSlackMs,
    workMs,
    starts,
  };
}

function encodeArrivals({
  priority,
  isOverShare,
  leastValuePerStart,
  poolShare,
}: ArrivalGroup): readonly number[] {
  return [
    priority,
    isOverShare ? 1 : 0,
    Number(leastValuePerStart.toPrecision(8)),
    Math.floor(poolShare * 1_000) / 1_000,
  ];
}

function decodeArrivals([priority, isOverShare, leastValuePerStart, poolShare]: z.infer<
  typeof arrivalSchema
>): ArrivalGroup {
  return { priority, isOverShare: isOverShare === 1, leastValuePerStart, poolShare };
}
