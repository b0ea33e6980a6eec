/** Rows in which jobs and their progress are stored, and their encoding. */
import { z } from 'zod';
import type { RowAddress } from '../store/row_store';
import { NO_CRASHES } from './crash_evidence';
import type { QueueRule } from './fleet_rules';
import type { AcceptedJob } from './job_definition';
import { decodeIndexes, encodeIndexes, INDEXES_PATTERN } from './index_set';
import { DONE_TASK_PROGRESS, type JobProgress, type TaskProgress } from './job_progress';
import { MAX_STORED_EVIDENCE } from './progress_size';

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
 * Version of progress with done tasks that are not listed one by one. Readers of version 1
 * reject it, since they would start these tasks again.
 */
const COMPACT_PROGRESS_VERSION = 2;

/**
 * Number of partitions of {@link JOB_TABLE}. Several are used because a partition
 * accepts a limited number of transactions per second.
 */
const JOB_PARTITION_COUNT = 4;
export const JOB_PARTITIONS: readonly string[] = Array.from({ length: JOB_PARTITION_COUNT }, (_, index) =>
  String(index),
);

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

const acceptedUnderSchema = z.object({
  host: z.string(),
  pathPrefix: z.string(),
  poolId: z.string(),
  priority: z.number(),
  maxAttempts: z.int(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  advice: z.object({ decideMs: z.number(), perWorkerMs: z.number(), validMs: z.number() }).optional(),
});

const jobRowSchema = z.object({
  encoding: z.literal(ENCODING_VERSION),
  jobId: z.string(),
  queueId: z.string(),
  teamId: z.string().nullable(),
  acceptedAtMs: z.number(),
  acceptedUnder: acceptedUnderSchema.optional().catch(undefined),
  definition: z.object({
    spec: z.string(),
    steps: z.array(stepSchema).readonly(),
    repeat: z.object({ count: z.int(), firstMs: z.number(), intervalMs: z.number() }).nullable(),
  }),
});

export function encodeJob({ acceptedUnder, ...job }: AcceptedJob): string {
  const fields = acceptedUnder === undefined ? {} : { acceptedUnder: encodeRule(acceptedUnder) };
  return JSON.stringify({ encoding: ENCODING_VERSION, ...job, ...fields });
}

/** Leaves out what the row contains already and what does not matter once a job is accepted. */
function encodeRule(rule: QueueRule): z.infer<typeof acceptedUnderSchema> {
  const { host, pathPrefix, poolId, priority, maxAttempts, stretch, targetLatencyMs, advice } = rule;
  const fields = { host, pathPrefix, poolId, priority, maxAttempts, stretch, targetLatencyMs };
  return advice === null ? fields : { ...fields, advice };
}

/** Throws {@link RowFormatError}. */
export function decodeJob(value: string): AcceptedJob {
  const row = decodeJsonRow(jobRowSchema, value);
  const { jobId, queueId, teamId, acceptedAtMs, acceptedUnder, definition } = row;
  const job = { jobId, queueId, teamId, acceptedAtMs, definition };
  if (acceptedUnder === undefined) return job;
  const { advice = null, ...rule } = acceptedUnder;
  return { ...job, acceptedUnder: { ...rule, queueId, openToAll: false, advice } };
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
  encoding: z.union([z.literal(ENCODING_VERSION), z.literal(COMPACT_PROGRESS_VERSION)]),
  state: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
  tasks: z.array(taskSchema).default([]),
  // A field of its own, since versions that do not know it reject longer rows of tasks.
  crashes: z.array(z.tuple([z.string(), z.int().min(0), z.int().min(0), z.int().min(0)])).default([]),
  /** Crashes that only a task explains, with the marks of their workers. */
  ownCrashes: z.array(z.tuple([z.string(), z.int().min(0), z.array(z.string())])).default([]),
  /** Ranges of done occurrences. */
  doneOccurrences: z.array(z.tuple([z.int().min(0), z.int().min(0)])).default([]),
  doneSteps: z.array(z.string()).default([]),
  /** Done tasks of each step that is not done, as in {@link encodeIndexes}. */
  doneTasks: z.array(z.tuple([z.string(), z.string().regex(INDEXES_PATTERN)])).default([]),
});

export function encodeProgress({ state, tasks, crashes, doneSteps, doneOccurrences }: JobProgress): string {
  const rows: unknown[] = [];
  const doneIndexes = new Map<string, number[]>();
  for (const [key, task] of tasks)
    if (task.isDone && task.runs.length === 0) {
      const [stepName, index] = splitTaskKey(key);
      const indexes = doneIndexes.get(stepName) ?? [];
      doneIndexes.set(stepName, indexes);
      indexes.push(index);
    } else rows.push(encodeTask(key, task));
  const counts = [...crashes].map(([key, count]) => [
    key,
    count.crashes,
    count.firstCrashes,
    count.soleCrashes,
  ]);
  const ownCrashes = [...crashes]
    .filter(([, count]) => count.ownCrashes > 0)
    .slice(0, MAX_STORED_EVIDENCE)
    .map(([key, count]) => [key, count.ownCrashes, count.workerMarks]);
  const isCompact = doneIndexes.size > 0 || doneSteps.size > 0 || doneOccurrences.length > 0;
  return JSON.stringify({
    encoding: isCompact ? COMPACT_PROGRESS_VERSION : ENCODING_VERSION,
    state,
    ...(rows.length > 0 ? { tasks: rows } : {}),
    ...(counts.length > 0 ? { crashes: counts } : {}),
    ...(ownCrashes.length > 0 ? { ownCrashes } : {}),
    ...(doneOccurrences.length > 0 ? { doneOccurrences } : {}),
    ...(doneSteps.size > 0 ? { doneSteps: [...doneSteps] } : {}),
    ...(doneIndexes.size > 0
      ? { doneTasks: [...doneIndexes].map(([key, indexes]) => [key, encodeIndexes(indexes)]) }
      : {}),
  });
}

/** Throws {@link RowFormatError}. */
export function decodeProgress(value: string): JobProgress {
  const row = decodeJsonRow(progressRowSchema, value);
  const evidence = new Map(
    row.ownCrashes.map(([key, ownCrashes, workerMarks]) => [key, { ownCrashes, workerMarks }] as const),
  );
  const counts = row.crashes.map(
    ([key, count, firstCrashes, soleCrashes]) =>
      [key, { ...NO_CRASHES, crashes: count, firstCrashes, soleCrashes, ...evidence.get(key) }] as const,
  );
  const done = row.doneTasks.flatMap(([stepName, indexes]) =>
    decodeIndexes(indexes).map((index) => [`${stepName}.${index}`, DONE_TASK_PROGRESS] as const),
  );
  return {
    state: row.state,
    doneOccurrences: row.doneOccurrences,
    doneSteps: new Set(row.doneSteps),
    tasks: new Map([...done, ...row.tasks.map(decodeTask)]),
    crashes: new Map(counts),
  };
}

function encodeTask(key: string, task: TaskProgress): readonly unknown[] {
  return [
    key,
    task.isDone ? 1 : 0,
    task.failures,
    task.lastFailedRun,
    task.lastRun,
    task.checkpoint,
    task.runs.map(({ run, workerId, workerStartedAtMs }) => [run, workerId, workerStartedAtMs]),
  ];
}

/** Splits a task key into that of its step and its index. */
function splitTaskKey(key: string): readonly [stepKey: string, index: number] {
  const end = key.lastIndexOf('.');
  return [key.slice(0, end), Number(key.slice(end + 1))];
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
