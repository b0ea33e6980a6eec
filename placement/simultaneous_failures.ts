/** Recognizes workers that fail together, as those of a rack or an availability zone do. */
import type { WorkerEntry } from '../scheduling/worker_entry';

/** Workers that become unreachable within this time of each other have failed together, in milliseconds. */
const TOGETHER_MS = 150;

/** Two workers may crash at the same time by chance; with more, a common cause is likelier. */
const MIN_OTHERS = 2;

/** Fraction of the other workers that fail with one if the cause is common to them. */
const MIN_SHARE = 0.75;

/** A worker with the time since which it has been unreachable; `null` while it responds. */
export interface WorkerReachability {
  readonly entry: Pick<WorkerEntry, 'workerId' | 'rack' | 'availabilityZone'>;
  readonly unreachableSinceMs: number | null;
}

/**
 * @example
 * ```ts
 * failures.record({ entry, unreachableSinceMs }, otherWorkers); // true if most of its rack failed with it
 * ```
 */
export class SimultaneousFailures {
  private recent: readonly WorkerReachability[] = [];

  /**
   * Records a crash. Returns whether most of the other workers of its rack or of its
   * availability zone failed at the same time.
   */
  record(crashed: WorkerReachability, others: readonly WorkerReachability[]): boolean {
    const atMs = crashed.unreachableSinceMs ?? 0;
    const isTogether = ({ unreachableSinceMs }: WorkerReachability): boolean =>
      unreachableSinceMs !== null && Math.abs(unreachableSinceMs - atMs) <= TOGETHER_MS;
    this.recent = this.recent.filter(isTogether);
    // A worker that has crashed may be listed again as its next incarnation.
    const known = new Map([...others, ...this.recent].map((worker) => [worker.entry.workerId, worker]));
    known.delete(crashed.entry.workerId);
    this.recent = [...this.recent, crashed];
    return (['rack', 'availabilityZone'] as const).some((domain) => {
      const members = [...known.values()].filter(({ entry }) => entry[domain] === crashed.entry[domain]);
      const failed = members.filter(isTogether).length;
      return failed >= MIN_OTHERS && failed >= members.length * MIN_SHARE;
    });
  }
}
