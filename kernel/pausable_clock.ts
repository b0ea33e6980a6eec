/** Clock of a process that can be stopped for a while, as by SIGSTOP. */
import { Clock, type Timer } from './clock';
import { PausableProcess } from './pausable_process';

/** Time goes on during a pause; timers that fall due run after it. */
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

  override schedule(delayMs: number, task: () => void): Timer {
    let isCancelled = false;
    const run = (): void => {
      if (!isCancelled) task();
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

  /** Resolves once the process runs. */
  whenRunning(): Promise<void> {
    return this.process.whenRunning();
  }
}
