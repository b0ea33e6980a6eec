/** Follows the leases that the leader does not renew, until nothing runs under them. */
import type { Clock } from '../kernel/clock';
import type { RunResult, TaskRun } from '../scheduling/job_record';
import type { LeaseEndKeeper } from './lease_end_keeper';
import type { LostRunLog, LostRunReason } from './lost_run_log';
import type { PlacementState } from './placement_state';
import type { WorkerFleet } from './worker_fleet';
import { WorkerLease } from './worker_lease';

/**
 * A worker whose calls have been failing for this long, in milliseconds, gets a row. It is
 * longer than one lease call, so that a single command without a response costs no row.
 */
const RECORD_AFTER_MS = 2_500;

export interface UnrenewedLeasesOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly leaseEnds: LeaseEndKeeper;
  readonly lostRunLog: LostRunLog;
  readonly maxLeaseMs: number;
  /** Whether the instance list shows since a time on the monotonic clock that no instance runs the worker. */
  readonly checkWorkerAbsent: (workerId: string, sinceMs: number) => boolean;
  /** Called when a run no longer exists and its outcome will never be known. */
  readonly onRunLost: (result: RunResult) => void;
}

/** The lease of a worker that is not registered; times are on the monotonic clock. */
interface AwaitedLease {
  readonly workerStartedAtMs: number;
  readonly requestedAtMs: number;
  readonly endsAtMs: number;
  readonly awaitedSinceMs: number;
}

/**
 * Reports runs as lost whose worker is not registered, once its lease has certainly ended
 * or no instance runs the worker any more. Stores the ends of such leases and of those of
 * unreachable workers, so that a successor waits only for the rest.
 *
 * @example
 * ```ts
 * const leases = new UnrenewedLeases(options);
 * leases.tick(); // several times a second
 * ```
 */
export class UnrenewedLeases {
  /** Leases of workers that are not registered, by worker. */
  private readonly awaited = new Map<string, AwaitedLease>();

  constructor(private readonly options: UnrenewedLeasesOptions) {}

  tick(): void {
    const { state, fleet, leaseEnds } = this.options;
    const added: TaskRun[] = [];
    for (const workerId of this.awaited.keys())
      if (fleet.get(workerId) !== undefined) this.awaited.delete(workerId);
    for (const workerId of state.workerIdsWithRuns())
      if (fleet.get(workerId) === undefined) this.follow(workerId, added);
    if (added.length > 0) this.logAwaited(added);
    this.recordUnreachable();
    for (const workerId of leaseEnds.workerIds())
      if (state.runCountOn(workerId) === 0) leaseEnds.release(workerId);
  }

  /** Adds to `added` the runs of a worker that has not been awaited before. */
  private follow(workerId: string, added: TaskRun[]): void {
    const { clock, state, leaseEnds } = this.options;
    const runs = state.runsOn(workerId);
    // A later incarnation than the one that a run is recorded for may have accepted it.
    const workerStartedAtMs = Math.max(...runs.map((run) => run.workerStartedAtMs));
    const known = this.awaited.get(workerId);
    const lease =
      known?.workerStartedAtMs === workerStartedAtMs ? known : this.beginWaiting(workerId, workerStartedAtMs);
    if (clock.monotonicMs() >= lease.endsAtMs) {
      this.awaited.delete(workerId);
      this.reportLost(workerId, runs, 'lease of an unregistered worker expired');
      return;
    }
    if (this.options.checkWorkerAbsent(workerId, lease.awaitedSinceMs)) {
      this.awaited.delete(workerId);
      this.reportLost(workerId, runs, 'stopped according to the platform');
      return;
    }
    leaseEnds.record({ workerId, ...lease });
    if (known !== lease) added.push(...runs);
  }

  private beginWaiting(workerId: string, workerStartedAtMs: number): AwaitedLease {
    const { clock, maxLeaseMs, leaseEnds } = this.options;
    const nowMs = clock.monotonicMs();
    const knownEndMs = leaseEnds.endOf(workerId, workerStartedAtMs);
    const lease = new WorkerLease({ maxLeaseMs, nowMs, knownEndMs });
    const awaited = {
      workerStartedAtMs,
      requestedAtMs: lease.requestedAtMs(),
      endsAtMs: lease.expiredAtMs(),
      awaitedSinceMs: nowMs,
    };
    this.awaited.set(workerId, awaited);
    return awaited;
  }

  private logAwaited(runs: readonly TaskRun[]): void {
    const ends = runs.map(({ workerId }) => this.awaited.get(workerId)?.endsAtMs ?? 0);
    this.options.lostRunLog.recordWaiting(runs, Math.max(...ends) - this.options.clock.monotonicMs());
  }

  private recordUnreachable(): void {
    const { clock, fleet, state, leaseEnds } = this.options;
    const nowMs = clock.monotonicMs();
    for (const session of fleet.all()) {
      const sinceMs = session.unreachableSinceMs();
      const { workerId } = session.worker;
      if (sinceMs === null || nowMs - sinceMs < RECORD_AFTER_MS || state.runCountOn(workerId) === 0) continue;
      leaseEnds.record({
        workerId,
        workerStartedAtMs: session.entry.startedAtMs,
        ...session.leaseTimes(),
      });
    }
  }

  private reportLost(workerId: string, runs: readonly TaskRun[], reason: LostRunReason): void {
    this.options.lostRunLog.record(workerId, reason, runs);
    for (const { task, run } of runs)
      this.options.onRunLost({ task, run, workerId, outcome: 'lost', checkpoint: '' });
  }
}
