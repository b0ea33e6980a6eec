/** Orders to workers, and what they answer. */
import type { TaskId } from './job_definition';

/** Names the incarnation that an order is meant for. */
export interface WorkerAddress {
  readonly workerId: string;
  /** IP address and port. */
  readonly address: string;
}

export interface StartOrder {
  readonly task: TaskId;
  readonly run: number;
  readonly spec: string;
  /** Time on the worker's clock until which everything there may run, in milliseconds. */
  readonly untilMs: number;
  readonly fencingToken: number;
  /** Saved progress to resume from; empty if there is none. */
  readonly checkpoint: string;
  /** Permission of the queue's policy, if it asks for one. */
  readonly ticket: string | null;
}

export interface RunOrder {
  readonly task: TaskId;
  readonly run: number;
  readonly fencingToken: number;
}

export interface PaceOrder extends RunOrder {
  /** Part of its speed at which the task works, in percent. */
  readonly percent: number;
}

export interface LeaseOrder {
  readonly fencingToken: number;
  /** Ends up to this number need not be reported again. */
  readonly acknowledgedEnd: number;
  /** As in {@link StartOrder.untilMs}; `null` extends nothing. */
  readonly untilMs: number | null;
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

export interface WorkerReply {
  /** `null` if the order was carried out. */
  readonly rejection: Rejection | null;
  /** The worker's clock when it answered, in milliseconds; `null` if the answer has none. */
  readonly clockMs: number | null;
}

export interface RunningTask {
  readonly task: TaskId;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress of a task that ends; 100 for a task that lasts and is at work. */
  readonly percent: number;
  /** Tail of the response times in milliseconds for a serving task, otherwise processors in use; rough. */
  readonly load: number | null;
}

export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedTask {
  /** Number of the end within the worker's incarnation. */
  readonly number: number;
  readonly task: TaskId;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

export interface LeaseReply extends WorkerReply {
  /** Start of the answering incarnation, in Unix milliseconds; `null` if it does not say. */
  readonly bornMs: number | null;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
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
  abstract start(worker: WorkerAddress, order: StartOrder): Promise<WorkerReply>;
  abstract stop(worker: WorkerAddress, order: RunOrder): Promise<WorkerReply>;
  abstract pace(worker: WorkerAddress, order: PaceOrder): Promise<WorkerReply>;
  /** Extends the lease of everything that runs there and reports what runs and what has ended. */
  abstract extendLease(worker: WorkerAddress, order: LeaseOrder): Promise<LeaseReply>;
  /** Closes the connections to a worker that is gone. */
  abstract forget(worker: WorkerAddress): void;
}
