/** A process that can be stopped in the middle of anything and continued later, for simulations. */

/**
 * Holds back what a paused process would have done.
 *
 * @example
 * ```ts
 * const process = new PausableProcess();
 * process.pause();
 * process.runOrDefer(() => console.log('later')); // printed by resume()
 * process.resume();
 * ```
 */
export class PausableProcess {
  private paused = false;
  private waiting: readonly (() => void)[] = [];

  isPaused(): boolean {
    return this.paused;
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const tasks = this.waiting;
    this.waiting = [];
    for (const task of tasks) this.runOrDefer(task);
  }

  /** Runs a task now, or when the process continues. */
  runOrDefer(task: () => void): void {
    if (this.paused) this.waiting = [...this.waiting, task];
    else task();
  }

  /** Resolves once the process runs. */
  whenRunning(): Promise<void> {
    return new Promise((resolve) => {
      this.runOrDefer(resolve);
    });
  }
}
