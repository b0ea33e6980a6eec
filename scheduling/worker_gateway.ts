/** Orders to workers, and what they answer. */
import type { TaskId } from './job_definition';

/** Names the incarnation that an order is meant for. */
export interface WorkerAddress {
  readonly workerId: string;
  /** IP address and port. */
  readonly address: string;
}

export interface StartCommand {
  readonly task: TaskId;
  readonly run: number;
  readonly spec: string;
  /** Time on the worker's clock until which everything there may run, in milliseconds. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  /** Saved progress to resume from; empty if there is none. */
  readonly checkpoint: string;
  /** Permission of the queue's policy, if it asks for one. */
  readonly ticket: string | null;
}

export interface RunCommand {
  readonly task: TaskId;
  readonly run: number;
  readonly fencingToken: number;
}

export interface ThrottleCommand extends RunCommand {
  /** Part of its speed at which the task works, in percent. */
  readonly speedPercent: number;
}

export interface RenewLeaseCommand {
  readonly fencingToken: number;
  /** Ends up to this number need not be reported again. */
  readonly acknowledgedEndNumber: number;
  /** As in {@link StartCommand.leaseUntilMs}; `null` extends nothing. */
  readonly leaseUntilMs: number | null;
  /** How long the answer may wait for an end, in milliseconds. */
  readonly waitMs: number;
}

/** Why a worker did not carry out an order; it has done nothing. */
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
  /** `null` if the order was carried out. */
  readonly rejection: Rejection | null;
  /** The worker's clock when it answered, in milliseconds; `null` if the answer has none. */
  readonly clockMs: number | null;
}

export interface ActiveRun {
  readonly task: TaskId;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress of a task that ends; 100 for a task that lasts and is at work. */
  readonly progressPercent: number;
  /** Tail of the response times in milliseconds for a serving task, otherwise processors in use; rough. */
  readonly load: number | null;
}

export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedRun {
  /** Number of the end within the worker's incarnation. */
  readonly number: number;
  readonly task: TaskId;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly checkpoint: string;
}

export interface LeaseResponse extends WorkerResponse {
  /** Start of the answering incarnation, in Unix milliseconds; `null` if it does not say. */
  readonly workerStartedAtMs: number | null;
  readonly running: readonly ActiveRun[];
  readonly ended: readonly EndedRun[];
}

/** The order surely did not reach the worker. */
export class WorkerNotReachedError extends Error {
  override readonly name = 'WorkerNotReachedError';
}

/** No answer: the order may have been carried out, or may be later. */
export class WorkerOutcomeUnknownError extends Error {
  override readonly name = 'WorkerOutcomeUnknownError';
}

/** Sends orders. Every method throws {@link WorkerNotReachedError} or {@link WorkerOutcomeUnknownError}. */
export abstract class WorkerGateway {
  abstract start(worker: WorkerAddress, order: StartCommand): Promise<WorkerResponse>;
  abstract stop(worker: WorkerAddress, order: RunCommand): Promise<WorkerResponse>;
  abstract throttle(worker: WorkerAddress, order: ThrottleCommand): Promise<WorkerResponse>;
  /** Extends the lease of everything that runs there and reports what runs and what has ended. */
  abstract renewLease(worker: WorkerAddress, order: RenewLeaseCommand): Promise<LeaseResponse>;
  /** Closes the connections to a worker that is gone. */
  abstract disconnect(worker: WorkerAddress): void;
}
