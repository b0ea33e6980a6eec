/** Commands to workers, and their responses. */
import type { TaskId } from './job_definition';

/** Identifies the worker that a command is for. */
export interface WorkerAddress {
  readonly workerId: string;
  /** IP address and port. */
  readonly address: string;
}

export interface StartCommand {
  readonly task: TaskId;
  /** Number of the run within its task. */
  readonly run: number;
  /** The specification from the job's definition, which is passed on unchanged. */
  readonly spec: string;
  /** End of the lease of all runs on the worker, on the worker's clock, in milliseconds. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  /** Checkpoint to resume from; empty if there is none. */
  readonly checkpoint: string;
  /** Permission to run the step on this worker, if the queue's policy requires one. */
  readonly ticket: string | null;
}

export interface RunCommand {
  readonly task: TaskId;
  readonly run: number;
  readonly fencingToken: number;
}

export interface ThrottleCommand extends RunCommand {
  /** Speed of the run, in percent of its full speed. */
  readonly speedPercent: number;
}

export interface RenewLeaseCommand {
  readonly fencingToken: number;
  /** Ended runs with a {@link EndedRun.sequenceNumber} up to this one need not be reported again. */
  readonly acknowledgedEndNumber: number;
  /** As in {@link StartCommand.leaseUntilMs}; `null` if the lease is not to be extended. */
  readonly leaseUntilMs: number | null;
  /** How long the worker may delay its response until a run ends, in milliseconds. */
  readonly waitMs: number;
}

/**
 * Why a worker rejected a command, which then had no effect. `fenced`: a later
 * leader has sent a higher fencing token. `superseded`: a later run of the task is
 * known, or this one was stopped. `expired`: the requested lease had already ended.
 * `no_room`: not enough free resources. `no_ticket`: no valid permission to run the
 * step there. `unhealthy`: overloaded or unavailable.
 */
export type Rejection =
  | 'fenced'
  | 'superseded'
  | 'expired'
  | 'no_room'
  | 'no_ticket'
  | 'malformed'
  | 'unhealthy'
  | 'other_incarnation';

export interface WorkerResponse {
  /** `null` if the command was applied. */
  readonly rejection: Rejection | null;
  /** The worker's clock when it responded, in milliseconds from 0 on; `null` if the response does not contain it. */
  readonly clockMs: number | null;
}

export interface ActiveRun {
  readonly task: TaskId;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress of the task, from 0 to 100; for a long-running task, 100 once it is ready to serve. */
  readonly progressPercent: number;
  /** Rough tail latency in milliseconds for a serving task, otherwise roughly the number of processors in use. */
  readonly load: number | null;
}

/**
 * How a run ended, as the worker reports it. `lapsed`: the worker's lease expired.
 * `broken`: another member of the run's gang has ended. `alone`: the run is a member
 * of a gang and waited in vain for the others to start.
 */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedRun {
  /** Sequence number of the ended run within the worker's incarnation, from 1 to 2^32. */
  readonly sequenceNumber: number;
  readonly task: TaskId;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

export interface LeaseResponse extends WorkerResponse {
  /** When the responding incarnation started, in Unix milliseconds; `null` if the response does not contain it. */
  readonly workerStartedAtMs: number | null;
  readonly running: readonly ActiveRun[];
  readonly ended: readonly EndedRun[];
  /**
   * Number of entries that could not be decoded and are left out; with any, a run that
   * is not listed may still exist.
   */
  readonly unusableEntries: number;
}

/** The command did not reach the worker: not applied; safe to retry. */
export class WorkerUnreachableError extends Error {
  override readonly name = 'WorkerUnreachableError';
}

/** The outcome of the command is unknown: it may have been applied, or may be applied later. */
export class WorkerOutcomeUnknownError extends Error {
  override readonly name = 'WorkerOutcomeUnknownError';
}

/**
 * Sends commands to workers. The asynchronous methods throw {@link WorkerUnreachableError}
 * or {@link WorkerOutcomeUnknownError}.
 */
export abstract class WorkerGateway {
  abstract start(worker: WorkerAddress, command: StartCommand): Promise<WorkerResponse>;
  abstract stop(worker: WorkerAddress, command: RunCommand): Promise<WorkerResponse>;
  abstract throttle(worker: WorkerAddress, command: ThrottleCommand): Promise<WorkerResponse>;
  /** Renews the lease of all runs on the worker and returns the active and the ended runs. */
  abstract renewLease(worker: WorkerAddress, command: RenewLeaseCommand): Promise<LeaseResponse>;
  /** How often a connection to a worker was opened or closed; rises when the worker restarts. */
  abstract connectionChanges(worker: WorkerAddress): number;
  /** Closes the connections to a worker. */
  abstract disconnect(worker: WorkerAddress): void;
}
