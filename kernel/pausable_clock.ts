/** Clock of a simulated process that can be paused, as by SIGSTOP. */
import { Clock, type Timer } from './clock';
import { PausableProcess } from './pausable_process';

/** Time advances during a pause; timers that come due during it run when the process resumes. */
export class PausableClock extends Clock {
  private readonly process = new PausableProcess();

  constructor(private readonly base: Clock) {
    super();
  }

  override monotonicMs(): number {
    return this.base.monotonicMs();
  }

  override wallMs(): number {
    return this.base.wallMs();
  }

  override schedule(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const run = (): void => {
      if (!isCancelled) callback();
    };
    const timer = this.base.schedule(delayMs, () => {
      this.process.runOrDefer(run);
    });
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  isPaused(): boolean {
    return this.process.isPaused();
  }

  pause(): void {
    this.process.pause();
  }

  resume(): void {
    this.process.resume();
  }

  /** Resolves at once if the process is running, otherwise when it resumes. */
  whenRunning(): Promise<void> {
    return this.process.whenRunning();
  }
}
