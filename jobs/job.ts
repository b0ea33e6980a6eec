/** Jobs as callers submit them and as the table stores them. */
import { z } from 'zod';
import type { Resources } from '../model/resources';

/** Maximum length of a job's payload, in characters; larger inputs belong in the team's own storage. */
export const MAX_PAYLOAD_CHARACTERS = 16_384;

const MAX_RUN_TIME_MS = 30 * 24 * 3_600_000;
const count = z.int().min(0);

/** What a caller declares about a job. Declared sizes and run times may be far off. */
export const jobRequestSchema = z.strictObject({
  queueId: z.string().min(1),
  priority: z.enum(['urgent', 'normal', 'batch']).optional(),
  processors: z.number().positive().max(4096),
  memoryBytes: z
    .int()
    .min(1)
    .max(2 ** 50),
  accelerators: z.int().min(0).max(1024).default(0),
  runTimeMs: z.int().min(1).max(MAX_RUN_TIME_MS),
  /** Passed to the worker without being interpreted. */
  payload: z.string().max(MAX_PAYLOAD_CHARACTERS).default(''),
});

export const JOB_STATES = [
  'waiting',
  'placed',
  'running',
  'checkpointed',
  'done',
  'failed',
  'cancelled',
  'cannot_run',
] as const;

/** Row value of `job/<jobId>`. */
export const jobSchema = z.object({
  jobId: z.string(),
  teamId: z.string(),
  queueId: z.string(),
  poolId: z.string(),
  processors: z.number(),
  memoryBytes: z.number(),
  accelerators: z.number(),
  runTimeMs: z.number(),
  priority: z.enum(['urgent', 'normal', 'batch']),
  payload: z.string(),
  /** SHA-256 of the request, to distinguish a repeated submission from another one with the same idempotency key. */
  fingerprint: z.string(),
  /**
   * Time of the submission, in Unix milliseconds. The jobs of a pool are ordered by
   * it, which is only as exact as the clocks of the entry instances.
   */
  submittedAtMs: z.number(),
  state: z.enum(JOB_STATES),
  /** Number of times that the job was placed on a worker. */
  attempt: count,
  /** Epoch of the placement leader that placed it last. */
  epoch: count,
  /** Worker on which it was placed last. */
  instanceId: z.string().nullable(),
  /** Where the next attempt resumes; `null` if it starts from the beginning. */
  checkpoint: z.string().nullable(),
  cancelRequested: z.boolean(),
  /** Number of attempts that failed on a worker, and the workers on which they failed. */
  failures: count,
  failedOn: z.array(z.string()).readonly(),
  /** Number of attempts that were lost because their worker stopped or their lease expired. */
  losses: count,
  /** Why it failed or cannot run. */
  reason: z.string().nullable(),
});

export type JobRequest = Readonly<z.infer<typeof jobRequestSchema>>;
export type Job = Readonly<z.infer<typeof jobSchema>>;
export type JobState = Job['state'];

export function isTerminal(state: JobState): boolean {
  return state === 'done' || state === 'failed' || state === 'cancelled' || state === 'cannot_run';
}

/** Whether a worker may have a task of the job. */
export function isOnWorker(state: JobState): boolean {
  return state === 'placed' || state === 'running';
}

export function declaredDemand(job: Job): Resources {
  return { processors: job.processors, memoryBytes: job.memoryBytes, accelerators: job.accelerators };
}

/** Id of the task of the current attempt; workers start each task at most once. */
export function taskIdOf(job: Job): string {
  return `${job.jobId}/${job.attempt}`;
}

/** Progress of a job that has just been accepted. */
export const INITIAL_PROGRESS = {
  state: 'waiting',
  attempt: 0,
  epoch: 0,
  instanceId: null,
  checkpoint: null,
  cancelRequested: false,
  failures: 0,
  failedOn: [],
  losses: 0,
  reason: null,
} as const satisfies Partial<Job>;
