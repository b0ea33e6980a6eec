/** A simulated process that can be paused at any point and resumed later. */

/**
 * Defers the callbacks of a paused process until it resumes.
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
  private deferred: readonly (() => void)[] = [];

  isPaused(): boolean {
    return this.paused;
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
    const callbacks = this.deferred;
    this.deferred = [];
    for (const callback of callbacks) this.runOrDefer(callback);
  }

  /** Runs a callback now or, if the process is paused, when it resumes. */
  runOrDefer(callback: () => void): void {
    if (this.paused) this.deferred = [...this.deferred, callback];
    else callback();
  }

  /** Resolves at once if the process is running, otherwise when it resumes. */
  whenRunning(): Promise<void> {
    return new Promise((resolve) => {
      this.runOrDefer(resolve);
    });
  }
}
