/** What callers were promised and what workers saw, and which promises were broken. */
import type {
  StandinEnd,
  StandinObserver,
  StandinStart,
  StandinWorker,
} from '../platform/standins/standin_worker';

/** How a caller's submission ended, from the caller's side. */
export type SubmissionOutcome = 'accepted' | 'rejected' | 'unknown';

/**
 * Collects violations while a deployment runs.
 *
 * @example
 * ```ts
 * const worker = new StandinWorker({ ...options, observer: ledger.observer });
 * ledger.recordSubmission(jobId, 'accepted');
 * ```
 */
export class PromiseLedger {
  private readonly found: string[] = [];
  private readonly submissions = new Map<string, SubmissionOutcome>();
  private readonly running = new Map<string, string>();
  private readonly done = new Set<string>();
  private readonly startedJobs = new Set<string>();
  startCount = 0;

  readonly observer: StandinObserver = {
    onStarted: (worker, order) => {
      this.recordStart(worker, order);
    },
    onEnded: (worker, end) => {
      this.recordEnd(worker, end);
    },
  };

  /** Broken promises so far, each as a sentence. */
  violations(): readonly string[] {
    return this.found;
  }

  acceptedJobs(): readonly string[] {
    return [...this.submissions].flatMap(([jobId, outcome]) => (outcome === 'accepted' ? [jobId] : []));
  }

  /** Records the response to a call; an accepted job stays accepted, and a rejection counts only if all calls had it. */
  recordSubmission(jobId: string, outcome: SubmissionOutcome): void {
    const known = this.submissions.get(jobId);
    if (known === 'accepted' || (known === 'unknown' && outcome === 'rejected')) return;
    this.submissions.set(jobId, outcome);
    this.checkRejected(jobId);
  }

  report(violation: string): void {
    this.found.push(violation);
  }

  private recordStart(worker: StandinWorker, { taskName, run }: StandinStart): void {
    this.startCount += 1;
    const jobId = taskName.split('.')[0] ?? '';
    this.startedJobs.add(jobId);
    const other = this.running.get(taskName);
    if (other !== undefined)
      this.report(`${taskName} run ${run} on ${worker.workerId} while it runs on ${other}`);
    if (this.done.has(taskName)) this.report(`${taskName} run ${run} starts after it was done`);
    this.running.set(taskName, worker.workerId);
    this.checkRejected(jobId);
  }

  private recordEnd(worker: StandinWorker, { taskName, outcome }: StandinEnd): void {
    if (this.running.get(taskName) === worker.workerId) this.running.delete(taskName);
    if (outcome === 'done') this.done.add(taskName);
  }

  private checkRejected(jobId: string): void {
    if (this.submissions.get(jobId) === 'rejected' && this.startedJobs.has(jobId))
      this.report(`job ${jobId} was rejected as not run and has started`);
  }
}
