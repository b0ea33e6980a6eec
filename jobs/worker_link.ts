/** The placement holder's session with one worker: commands in order, and what is known of its tasks. */
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

/** A session without a command for this long is opened again rather than used, in milliseconds. */
const SESSION_REUSE_MS = TASK_LEASE_MS / 2;

/** {@link TASK_END_WAIT_MS} on a clock that may run faster than the worker's, in milliseconds. */
export const SAFE_END_WAIT_MS = TASK_END_WAIT_MS * (1 + CLOCK_RATE_MARGIN);

/** This entry instance may not command workers now; nothing was sent. */
export class NotHolderError extends Error {
  override readonly name = 'NotHolderError';
}

export interface WorkerLinkOptions {
  readonly clock: Clock;
  readonly control: WorkerControl;
  readonly worker: WorkerAddress;
  readonly poolId: string;
  readonly epoch: number;
  /** Whether this entry instance is still the holder, with recent evidence; asked before every command. */
  readonly mayAct: () => boolean;
  /** When the tasks that earlier holders started have certainly ended if nobody renews them, in monotonic milliseconds. */
  readonly earlierTasksEndAtMs: number;
  /** Called when the worker obeys a newer epoch. */
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
  private tail: Promise<unknown> = Promise.resolve();
  private lastAnswerMs = Number.NEGATIVE_INFINITY;
  private tried = false;

  constructor(private readonly options: WorkerLinkOptions) {}

  isOpen(): boolean {
    return this.session !== null;
  }

  /** Whether the first attempt to list the tasks of earlier epochs has ended, well or not. */
  hasBeenTried(): boolean {
    return this.tried;
  }

  report(taskId: string): TaskReport | undefined {
    return this.reports.get(taskId);
  }

  allReports(): readonly TaskReport[] {
    return [...this.reports.values()];
  }

  /** When every task here has certainly ended unless the link opens again, in monotonic milliseconds. */
  tasksEndAtMs(): number {
    return Math.max(this.options.earlierTasksEndAtMs, this.lastAnswerMs + SAFE_END_WAIT_MS);
  }

  /** Renews the tasks that `request` names when its turn has come, and takes in the reports. */
  poll(request: () => RenewRequest): Promise<void> {
    const { control, worker } = this.options;
    return this.send(async (session) => {
      const wanted = request();
      const reports = await control.renew(worker, session, wanted);
      this.setReports(reports.filter(({ taskId }) => !wanted.forget.includes(taskId)));
    });
  }

  start(spec: TaskSpec): Promise<void> {
    const { control, worker } = this.options;
    return this.sendForReport((session) => control.start(worker, session, spec));
  }

  checkpoint(taskId: string): Promise<void> {
    const { control, worker } = this.options;
    return this.sendForReport((session) => control.checkpoint(worker, session, taskId));
  }

  throttle(taskId: string, fraction: number): Promise<void> {
    const { control, worker } = this.options;
    return this.sendForReport((session) => control.throttle(worker, session, taskId, fraction));
  }

  stop(taskId: string): Promise<void> {
    const { control, worker } = this.options;
    return this.sendForReport((session) => control.stop(worker, session, taskId));
  }

  private sendForReport(command: (session: WorkerSession) => Promise<TaskReport>): Promise<void> {
    return this.send(async (session) => {
      const report = await command(session);
      this.reports.set(report.taskId, report);
    });
  }

  private send(command: (session: WorkerSession) => Promise<void>): Promise<void> {
    const result = this.tail.then(async () => {
      try {
        const session = await this.liveSession();
        await this.attempt(() => command(session));
      } finally {
        this.tried = true;
      }
    });
    this.tail = result.catch(() => undefined);
    return result;
  }

  private async liveSession(): Promise<WorkerSession> {
    const idleMs = this.options.clock.monotonicMs() - this.lastAnswerMs;
    if (this.session !== null && idleMs < SESSION_REUSE_MS) return this.session;
    const { control, worker, poolId, epoch } = this.options;
    const session = await this.attempt(() => control.open(worker, poolId, epoch));
    this.session = session;
    this.setReports(session.tasks);
    return session;
  }

  private async attempt<T>(command: () => Promise<T>): Promise<T> {
    if (!this.options.mayAct()) throw new NotHolderError('This entry instance does not hold the role now.');
    try {
      const answer = await command();
      this.lastAnswerMs = this.options.clock.monotonicMs();
      return answer;
    } catch (error) {
      if (error instanceof TaskRefusedError) this.lastAnswerMs = this.options.clock.monotonicMs();
      else this.drop();
      if (error instanceof SessionEndedError && error.staleEpoch) this.options.onStaleEpoch();
      throw error;
    }
  }

  /** After a failure the session is not used again: only a new one gives a complete list. */
  private drop(): void {
    this.session = null;
    this.reports.clear();
  }

  private setReports(reports: readonly TaskReport[]): void {
    this.reports = new Map(reports.map((report) => [report.taskId, report]));
  }
}
