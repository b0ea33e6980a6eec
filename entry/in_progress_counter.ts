/** Counts the work in progress, so that a shutdown can wait until it has ended. */

export class InProgressCounter {
  private count = 0;
  private readonly idleWaiters: (() => void)[] = [];

  /** Counts one piece of work; the returned function ends it, and calling that again has no effect. */
  begin(): () => void {
    this.count += 1;
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      this.count -= 1;
      if (this.count === 0) for (const resolve of this.idleWaiters.splice(0)) resolve();
    };
  }

  /** Resolves once no work is in progress. */
  whenIdle(): Promise<void> {
    if (this.count === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.push(resolve);
    });
  }
}
