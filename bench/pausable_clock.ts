/** Clock of a process that can be stopped for a while, as by SIGSTOP. */
import { Clock, type Timer } from '../kernel/clock';

/** Time goes on during a pause; timers that fall due run after it. */
export class PausableClock extends Clock {
  private paused = false;
  private overdue: readonly (() => void)[] = [];

  constructor(private readonly base: Clock) {
    super();
  }

  override monotonicMs(): number {
    return this.base.monotonicMs();
  }

  override wallMs(): number {
    return this.base.wallMs();
  }

  override schedule(delayMs: number, task: () => void): Timer {
    let isCancelled = false;
    const run = (): void => {
      if (isCancelled) return;
      if (this.paused) this.overdue = [...this.overdue, run];
      else task();
    };
    const timer = this.base.schedule(delayMs, run);
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  isPaused(): boolean {
    return this.paused;
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const due = this.overdue;
    this.overdue = [];
    for (const run of due) run();
  }

  /** Resolves once the process runs. */
  async whenRunning(): Promise<void> {
    if (this.paused) await this.delay(0);
  }
}
