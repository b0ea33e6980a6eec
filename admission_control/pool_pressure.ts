/** What the placement leader publishes about pools that are short of capacity. */
import type { Resources } from '../model/resources';

/** Kinds of waiting work that delay a job; see `scheduling/queue_order.ts`. */
export type BacklogKind = 'on_time' | 'late' | 'useless';

/** Waiting work of jobs that the order of the queue treats alike. */
export interface BacklogGroup {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly kind: BacklogKind;
  /** Whether the jobs' accounts use more than their shares. */
  readonly isOverShare: boolean;
  /** Least value per start of the jobs in the group. */
  readonly leastValuePerStart: number;
  /** Least time for which a job in the group can still meet its target, in milliseconds. */
  readonly leastSlackMs: number;
  /** Least time for which the result of a job in the group can still be of use, in milliseconds. */
  readonly leastUsefulSlackMs: number;
  /** Time that the whole pool needs for the work of the group, in milliseconds. */
  readonly workMs: number;
  /** Number of tasks in the group. */
  readonly starts: number;
}

/** Work that arrives at a pool, of jobs that the order of the queue treats alike while they can meet their targets. */
export interface ArrivalGroup {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isOverShare: boolean;
  /** Least value per start of the jobs in the group. */
  readonly leastValuePerStart: number;
  /** Fraction of the pool's capacity that the arrivals keep busy. */
  readonly poolShare: number;
}

/** The state of a pool that is short of capacity. */
export interface PoolPressure {
  readonly poolId: string;
  /** For how long the pool has been short, without interruption. */
  readonly shortForMs: number;
  /** Capacity of the pool for tasks that end, with that which it may get. */
  readonly capacity: Resources;
  /**
   * Tasks of the pool that the leader can start, per millisecond; `null` unless waiting
   * tasks are left out for that reason.
   */
  readonly startsPerMs: number | null;
  /** Requests of waiting tasks that fit on no worker. */
  readonly unplacedDemands: readonly Resources[];
  readonly backlog: readonly BacklogGroup[];
  readonly arrivals: readonly ArrivalGroup[];
}

/** What the leader has observed of the jobs of a queue. */
export interface QueueOutlook {
  readonly queueId: string;
  /** Ratio of the actual run times to the estimates. */
  readonly runTimeFactor: number;
  /** Mean work of the queue's waiting jobs, in core-milliseconds. */
  readonly meanWork: number;
}

/** One published view; it lists only pools that are short. */
export interface PressureView {
  /** Epoch of the leader. */
  readonly epoch: number;
  /** Rises with each view of the leader. */
  readonly number: number;
  /** The leader's monotonic clock in seconds, from which return times are computed. */
  readonly seconds: number;
  /** Number of processes that take calls. */
  readonly processCount: number;
  /** Accounts that used more than their shares in most of the latest views. */
  readonly overShareTeamIds: readonly string[];
  readonly queues: readonly QueueOutlook[];
  readonly pools: readonly PoolPressure[];
}

/** A view and its age. */
export interface AgedView {
  readonly view: PressureView;
  /** Time since the view was received. */
  readonly ageMs: number;
}
