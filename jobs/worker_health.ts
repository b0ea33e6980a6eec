/** Finds workers that fail far more tasks than their peers, and takes them out of placement for a while. */

/** Outcomes per worker that count. */
const WINDOW_OUTCOMES = 20;
const SUSPECT_FAILURES = 3;
const SUSPECT_RATE = 0.5;

/** A failure rate is conspicuous at this multiple of the peers'; if all fail, the jobs are to blame. */
const PEER_MULTIPLE = 3;

const FIRST_BACK_OFF_MS = 10_000;
const LONGEST_BACK_OFF_MS = 600_000;

interface Suspension {
  readonly untilMs: number;
  readonly backOffMs: number;
}

interface Tally {
  readonly failures: number;
  readonly total: number;
}

/**
 * Health of the workers of one pool.
 *
 * @example
 * ```ts
 * health.record('worker-3', false, nowMs, poolSize);
 * const usable = health.standing('worker-3', nowMs) === 'usable';
 * ```
 */
export class WorkerHealth {
  private readonly outcomes = new Map<string, readonly boolean[]>();
  private readonly suspensions = new Map<string, Suspension>();

  /** `random` gives numbers from 0 up to 1, for jitter. */
  constructor(private readonly random: () => number) {}

  /** Takes in the end of a task. Returns whether the worker has just been taken out of placement. */
  record(instanceId: string, succeeded: boolean, nowMs: number, poolSize: number): boolean {
    const known = this.outcomes.get(instanceId) ?? [];
    this.outcomes.set(instanceId, [...known, succeeded].slice(-WINDOW_OUTCOMES));
    if (succeeded) {
      if (this.suspensions.delete(instanceId)) this.outcomes.set(instanceId, [true]);
      return false;
    }
    const suspension = this.suspensions.get(instanceId);
    if (suspension) {
      if (nowMs < suspension.untilMs) return false;
      this.suspend(instanceId, Math.min(LONGEST_BACK_OFF_MS, 2 * suspension.backOffMs), nowMs);
      return true;
    }
    if (!this.isSuspect(instanceId) || this.suspensions.size + 1 > poolSize / 3) return false;
    this.suspend(instanceId, FIRST_BACK_OFF_MS, nowMs);
    return true;
  }

  /** `probe` allows one task at a time, to find out whether the worker has recovered. */
  standing(instanceId: string, nowMs: number): 'usable' | 'probe' | 'suspended' {
    const suspension = this.suspensions.get(instanceId);
    if (suspension === undefined) return 'usable';
    return nowMs >= suspension.untilMs ? 'probe' : 'suspended';
  }

  /** Drops workers that have left the pool, so that they do not count towards the third of it. */
  retain(instanceIds: ReadonlySet<string>): void {
    for (const instanceId of this.outcomes.keys()) {
      if (instanceIds.has(instanceId)) continue;
      this.outcomes.delete(instanceId);
      this.suspensions.delete(instanceId);
    }
  }

  private suspend(instanceId: string, backOffMs: number, nowMs: number): void {
    const jitteredMs = backOffMs * (0.75 + this.random() / 2);
    this.suspensions.set(instanceId, { untilMs: nowMs + jitteredMs, backOffMs });
  }

  private isSuspect(instanceId: string): boolean {
    const own = this.tally((id) => id === instanceId);
    const peers = this.tally((id) => id !== instanceId && !this.suspensions.has(id));
    const rate = own.failures / own.total;
    const peerRate = peers.total === 0 ? 0 : peers.failures / peers.total;
    return own.failures >= SUSPECT_FAILURES && rate >= SUSPECT_RATE && rate >= PEER_MULTIPLE * peerRate;
  }

  private tally(counts: (instanceId: string) => boolean): Tally {
    const outcomes = [...this.outcomes].flatMap(([instanceId, list]) => (counts(instanceId) ? list : []));
    return { failures: outcomes.filter((succeeded) => !succeeded).length, total: outcomes.length };
  }
}
