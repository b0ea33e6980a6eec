/** The placement leader's session with one worker: sends commands in order and caches the reports of its tasks. */
import { CLOCK_RATE_MARGIN } from '../config/freshness';
import type { Clock } from '../kernel/clock';
import {
  SessionEndedError,
  TASK_END_WAIT_MS,
  TASK_LEASE_MS,
  TaskRefusedError,
  type RenewRequest,
  type TaskReport,
  type TaskSpec,
  type WorkerAddress,
  type WorkerControl,
  type WorkerSession,
} from '../platform/worker_control';

/** Idle time after which a session is replaced by a new one, in milliseconds. */
const SESSION_REUSE_MS = TASK_LEASE_MS / 2;

/** {@link TASK_END_WAIT_MS} as measured by a clock that may run faster than the worker's, in milliseconds. */
export const SAFE_TASK_END_WAIT_MS = TASK_END_WAIT_MS * (1 + CLOCK_RATE_MARGIN);

/** This entry instance may not command workers now, because it may no longer be the placement leader; nothing was sent. */
export class NotHolderError extends Error {
  override readonly name = 'NotHolderError';
}

export interface WorkerLinkOptions {
  readonly clock: Clock;
  readonly control: WorkerControl;
  readonly worker: WorkerAddress;
  readonly poolId: string;
  readonly epoch: number;
  /**
   * Whether this entry instance has recently been confirmed as the placement leader;
   * called before every command.
   */
  readonly mayAct: () => boolean;
  /**
   * Time by which the tasks of earlier placement leaders have ended unless their
   * leases are renewed, in monotonic milliseconds.
   */
  readonly earlierTasksEndAtMs: number;
  /** Called when the worker has accepted a newer epoch. */
  readonly onStaleEpoch: () => void;
}

/**
 * Sends one command at a time. While the link is open, its reports are
 * complete: a task that is not among them does not run and can never start,
 * because the commands that could start it belong to sessions that have ended.
 *
 * @example
 * ```ts
 * await link.poll(() => ({ keep: ['a/1'], stop: [], forget: [] }));
 * link.isOpen() && link.report('a/1')?.phase;
 * ```
 */
export class WorkerLink {
  private session: WorkerSession | null = null;
  private reports = new Map<string, TaskReport>();
  /** Resolves once all queued commands have completed. */
  private lastQueued: Promise<unknown> = Promise.resolve();
  private lastContactMs = Number.NEGATIVE_INFINITY;
  private firstAttemptCompleted = false;

  constructor(private readonly options: WorkerLinkOptions) {}

  /** Whether a session with the worker is open. */
  isOpen(): boolean {
    return this.session !== null;
  }

  /** Whether the first attempt to list the tasks of earlier epochs has ended, successfully or not. */
  hasCompletedFirstAttempt(): boolean {
    return this.firstAttemptCompleted;
  }

  report(taskId: string): TaskReport | undefined {
    return this.reports.get(taskId);
  }

  allReports(): readonly TaskReport[] {
    return [...this.reports.values()];
  }

  /**
   * Returns the local monotonic time, in milliseconds, by which every task on the
   * worker has ended if contact is not re-established.
   */
  tasksEndAtMs(): number {
    return Math.max(this.options.earlierTasksEndAtMs, this.lastContactMs + SAFE_TASK_END_WAIT_MS);
  }

  /**
   * Renews the leases of tasks and caches the reports. `request` is called only when
   * the command is about to be sent, so that it reflects the latest state.
   */
  poll(request: () => RenewRequest): Promise<void> {
    const { control, worker } = this.options;
    return this.enqueue(async (session) => {
      const renewal = request();
      const reports = await control.renew(worker, session, renewal);
      this.setReports(reports.filter(({ taskId }) => !renewal.forget.includes(taskId)));
    });
  }

  start(spec: TaskSpec): Promise<void> {
    const { control, worker } = this.options;
    return this.enqueueForReport((session) => control.start(worker, session, spec));
  }

  checkpoint(taskId: string): Promise<void> {
    const { control, worker } = this.options;
    return this.enqueueForReport((session) => control.checkpoint(worker, session, taskId));
  }

  throttle(taskId: string, fraction: number): Promise<void> {
    const { control, worker } = this.options;
    return this.enqueueForReport((session) => control.throttle(worker, session, taskId, fraction));
  }

  stop(taskId: string): Promise<void> {
    const { control, worker } = this.options;
    return this.enqueueForReport((session) => control.stop(worker, session, taskId));
  }

  private enqueueForReport(command: (session: WorkerSession) => Promise<TaskReport>): Promise<void> {
    return this.enqueue(async (session) => {
      const report = await command(session);
      this.reports.set(report.taskId, report);
    });
  }

  private enqueue(command: (session: WorkerSession) => Promise<void>): Promise<void> {
    const result = this.lastQueued.then(async () => {
      try {
        const session = await this.ensureSession();
        await this.send(() => command(session));
      } finally {
        this.firstAttemptCompleted = true;
      }
    });
    this.lastQueued = result.catch(() => undefined);
    return result;
  }

  private async ensureSession(): Promise<WorkerSession> {
    const idleMs = this.options.clock.monotonicMs() - this.lastContactMs;
    if (this.session !== null && idleMs < SESSION_REUSE_MS) return this.session;
    const { control, worker, poolId, epoch } = this.options;
    const session = await this.send(() => control.open(worker, poolId, epoch));
    this.session = session;
    this.setReports(session.tasks);
    return session;
  }

  private async send<T>(command: () => Promise<T>): Promise<T> {
    if (!this.options.mayAct()) throw new NotHolderError('This entry instance does not hold the role now.');
    try {
      const response = await command();
      this.lastContactMs = this.options.clock.monotonicMs();
      return response;
    } catch (error) {
      if (error instanceof TaskRefusedError) this.lastContactMs = this.options.clock.monotonicMs();
      else this.discardSession();
      if (error instanceof SessionEndedError && error.staleEpoch) this.options.onStaleEpoch();
      throw error;
    }
  }

  /** Discards the session after a failed command, because only a new session lists all tasks. */
  private discardSession(): void {
    this.session = null;
    this.reports.clear();
  }

  private setReports(reports: readonly TaskReport[]): void {
    this.reports = new Map(reports.map((report) => [report.taskId, report]));
  }
}
