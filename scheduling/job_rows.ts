/** Rows in which jobs and their progress are stored, and their encoding. */
import { z } from 'zod';
import type { RowAddress } from '../store/row_store';
import type { AcceptedJob } from './job_definition';
import type { JobProgress, TaskProgress } from './job_progress';

/** Accepted jobs and requests to cancel them; written by the process that received the caller's request. */
export const JOB_TABLE = 'jobs';
/** Progress of jobs; written only by the placement leader. */
export const PROGRESS_TABLE = 'progress';
/**
 * Partition of the lease and of the rows that the placement leader writes, so that one
 * transaction can write the lease together with several of them.
 */
export const PLACEMENT_PARTITION = 'placement';

/** Version of both encodings. Readers accept rows of this version and ignore unknown fields. */
const ENCODING_VERSION = 1;

/**
 * Number of partitions of {@link JOB_TABLE}. Several are used because a partition
 * accepts a limited number of transactions per second.
 */
const JOB_PARTITION_COUNT = 4;
export const JOB_PARTITIONS: readonly string[] = Array.from({ length: JOB_PARTITION_COUNT }, (_, index) =>
  String(index),
);

/**
 * Maximum size of an encoded progress value, in bytes. The store encodes 3 bytes as 4,
 * and a row holds at most 64 KiB.
 */
export const MAX_PROGRESS_BYTES = 45_000;

const CANCEL_SUFFIX = '/cancel';

/** The row was written by a later version of this system or is corrupted. */
export class RowFormatError extends Error {
  override readonly name = 'RowFormatError';
}

function partitionOf(jobId: string): string {
  let sum = 0;
  for (let index = 0; index < jobId.length; index += 1) sum += jobId.charCodeAt(index);
  return String(sum % JOB_PARTITION_COUNT);
}

export function jobAddress(jobId: string): RowAddress {
  return { table: JOB_TABLE, partition: partitionOf(jobId), key: jobId };
}

export function cancelAddress(jobId: string): RowAddress {
  return { table: JOB_TABLE, partition: partitionOf(jobId), key: jobId + CANCEL_SUFFIX };
}

export function progressAddress(jobId: string): RowAddress {
  return { table: PROGRESS_TABLE, partition: PLACEMENT_PARTITION, key: jobId };
}

/** The id of the job that a key of {@link JOB_TABLE} requests to cancel; `null` for the row of a job itself. */
export function cancelledJobId(key: string): string | null {
  return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : null;
}

const resourcesSchema = z.object({
  processors: z.number(),
  memoryBytes: z.number(),
  accelerators: z.number(),
});

const stepSchema = z.object({
  taskCount: z.int(),
  demand: resourcesSchema,
  estimateMs: z.number(),
  after: z.array(z.int()).readonly(),
  savesProgress: z.boolean(),
  isGang: z.boolean(),
  isRackSensitive: z.boolean(),
  requiredLabel: z.string().nullable(),
  dataRack: z.string().nullable(),
  maxPerWorker: z.int().nullable(),
  isSpeculative: z.boolean(),
  isLongRunning: z.boolean(),
  image: z.string(),
  targetMs: z.number().nullable(),
  isFiller: z.boolean(),
  maxUnavailable: z.int().nullable(),
});

const jobRowSchema = z.object({
  encoding: z.literal(ENCODING_VERSION),
  jobId: z.string(),
  queueId: z.string(),
  teamId: z.string().nullable(),
  acceptedAtMs: z.number(),
  definition: z.object({
    spec: z.string(),
    steps: z.array(stepSchema).readonly(),
    repeat: z.object({ count: z.int(), firstMs: z.number(), intervalMs: z.number() }).nullable(),
  }),
});

export function encodeJob(job: AcceptedJob): string {
  return JSON.stringify({ encoding: ENCODING_VERSION, ...job });
}

/** Throws {@link RowFormatError}. */
export function decodeJob(value: string): AcceptedJob {
  const { jobId, queueId, teamId, acceptedAtMs, definition } = decodeJsonRow(jobRowSchema, value);
  return { jobId, queueId, teamId, acceptedAtMs, definition };
}

const runSchema = z.tuple([z.int(), z.string(), z.number()]);
const taskSchema = z.tuple([
  z.string(),
  z.union([z.literal(0), z.literal(1)]),
  z.int(),
  z.int(),
  z.int(),
  z.string(),
  z.array(runSchema),
]);
const progressRowSchema = z.object({
  encoding: z.literal(ENCODING_VERSION),
  state: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
  tasks: z.array(taskSchema).default([]),
  // A field of its own, since versions that do not know it reject longer rows of tasks.
  crashes: z.array(z.tuple([z.string(), z.int().min(0), z.int().min(0), z.int().min(0)])).default([]),
});

export function encodeProgress({ state, tasks, crashes }: JobProgress): string {
  const rows = [...tasks].map(([key, task]) => [
    key,
    task.isDone ? 1 : 0,
    task.failures,
    task.lastFailedRun,
    task.lastRun,
    task.checkpoint,
    task.runs.map(({ run, workerId, workerStartedAtMs }) => [run, workerId, workerStartedAtMs]),
  ]);
  const counts = [...crashes].map(([key, count]) => [
    key,
    count.crashes,
    count.firstCrashes,
    count.soleCrashes,
  ]);
  return JSON.stringify({
    encoding: ENCODING_VERSION,
    state,
    ...(rows.length > 0 ? { tasks: rows } : {}),
    ...(counts.length > 0 ? { crashes: counts } : {}),
  });
}

/** Throws {@link RowFormatError}. */
export function decodeProgress(value: string): JobProgress {
  const { state, tasks, crashes } = decodeJsonRow(progressRowSchema, value);
  const counts = crashes.map(
    ([key, count, firstCrashes, soleCrashes]) =>
      [key, { crashes: count, firstCrashes, soleCrashes }] as const,
  );
  return { state, tasks: new Map(tasks.map(decodeTask)), crashes: new Map(counts) };
}

function decodeTask(row: z.infer<typeof taskSchema>): readonly [string, TaskProgress] {
  const [key, isDone, failures, lastFailedRun, lastRun, checkpoint, runs] = row;
  const records = runs.map(([run, workerId, workerStartedAtMs]) => ({ run, workerId, workerStartedAtMs }));
  return [key, { isDone: isDone === 1, failures, lastFailedRun, lastRun, checkpoint, runs: records }];
}

/**
 * Decodes a row of JSON. Throws {@link RowFormatError}.
 *
 * @example
 * ```ts
 * const lease = decodeJsonRow(leaseRowSchema, row.value);
 * ```
 */
export function decodeJsonRow<T>(schema: z.ZodType<T>, value: string): T {
  const parsed = schema.safeParse(parseJson(value));
  if (!parsed.success) throw new RowFormatError(`The row cannot be decoded: ${parsed.error.message}`);
  return parsed.data;
}

function parseJson(value: string): unknown {
  try {
    return JSON.parse(value) as unknown;
  } catch {
    throw new RowFormatError('The row is not valid JSON.');
  }
}
