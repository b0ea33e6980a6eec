/** Detects workers that fail far more tasks than their peers, and suspends them from placement for some time. */

/** Number of latest outcomes of a worker that are considered. */
const WINDOW_OUTCOMES = 20;

/**
 * Minimum number of failures, and minimum failure rate, among a worker's latest
 * outcomes for the worker to be suspended.
 */
const MIN_FAILURES = 3;
const MIN_FAILURE_RATE = 0.5;

/**
 * A worker is suspended only if its failure rate is at least this multiple of its
 * peers' rate: if all workers fail alike, the cause is the jobs.
 */
const PEER_MULTIPLE = 3;

const INITIAL_BACKOFF_MS = 10_000;
const MAX_BACKOFF_MS = 600_000;

interface Suspension {
  readonly untilMs: number;
  readonly backoffMs: number;
}

interface OutcomeCounts {
  readonly failures: number;
  readonly total: number;
}

/**
 * Tracks the health of the workers of one pool.
 *
 * @example
 * ```ts
 * health.record('worker-3', false, nowMs, poolSize);
 * const usable = health.status('worker-3', nowMs) === 'usable';
 * ```
 */
export class WorkerHealth {
  private readonly outcomes = new Map<string, readonly boolean[]>();
  private readonly suspensions = new Map<string, Suspension>();

  /** `random` returns numbers from 0 up to 1, for jitter. */
  constructor(private readonly random: () => number) {}

  /** Records the outcome of a task. Returns whether that suspended the worker. */
  record(instanceId: string, succeeded: boolean, nowMs: number, poolSize: number): boolean {
    const recorded = this.outcomes.get(instanceId) ?? [];
    this.outcomes.set(instanceId, [...recorded, succeeded].slice(-WINDOW_OUTCOMES));
    if (succeeded) {
      if (this.suspensions.delete(instanceId)) this.outcomes.set(instanceId, [true]);
      return false;
    }
    const suspension = this.suspensions.get(instanceId);
    if (suspension) {
      if (nowMs < suspension.untilMs) return false;
      this.suspend(instanceId, Math.min(MAX_BACKOFF_MS, 2 * suspension.backoffMs), nowMs);
      return true;
    }
    if (!this.isSuspect(instanceId) || this.suspensions.size + 1 > poolSize / 3) return false;
    this.suspend(instanceId, INITIAL_BACKOFF_MS, nowMs);
    return true;
  }

  /** `probe` allows one task at a time, which shows whether the worker has recovered. */
  status(instanceId: string, nowMs: number): 'usable' | 'probe' | 'suspended' {
    const suspension = this.suspensions.get(instanceId);
    if (suspension === undefined) return 'usable';
    return nowMs >= suspension.untilMs ? 'probe' : 'suspended';
  }

  /**
   * Drops workers that have left the pool, so that they do not count towards the
   * limit on suspended workers, which is a third of the pool.
   */
  retainOnly(instanceIds: ReadonlySet<string>): void {
    for (const instanceId of this.outcomes.keys()) {
      if (instanceIds.has(instanceId)) continue;
      this.outcomes.delete(instanceId);
      this.suspensions.delete(instanceId);
    }
  }

  private suspend(instanceId: string, backoffMs: number, nowMs: number): void {
    const jitteredMs = backoffMs * (0.75 + this.random() / 2);
    this.suspensions.set(instanceId, { untilMs: nowMs + jitteredMs, backoffMs });
  }

  private isSuspect(instanceId: string): boolean {
    const own = this.countOutcomes((id) => id === instanceId);
    const peers = this.countOutcomes((id) => id !== instanceId && !this.suspensions.has(id));
    const rate = own.failures / own.total;
    const peerRate = peers.total === 0 ? 0 : peers.failures / peers.total;
    return own.failures >= MIN_FAILURES && rate >= MIN_FAILURE_RATE && rate >= PEER_MULTIPLE * peerRate;
  }

  private countOutcomes(matches: (instanceId: string) => boolean): OutcomeCounts {
    const outcomes = [...this.outcomes].flatMap(([instanceId, list]) => (matches(instanceId) ? list : []));
    return { failures: outcomes.filter((succeeded) => !succeeded).length, total: outcomes.length };
  }
}
