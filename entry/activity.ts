/** Counts what is still going on, so that a shutdown can wait for its end. */

export class Activity {
  private ongoing = 0;
  private readonly idleWaiters: (() => void)[] = [];

  /** Begins one activity; the returned function ends it, once. */
  begin(): () => void {
    this.ongoing += 1;
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      this.ongoing -= 1;
      if (this.ongoing === 0) for (const resolve of this.idleWaiters.splice(0)) resolve();
    };
  }

  /** Resolves once nothing is going on. */
  idle(): Promise<void> {
    if (this.ongoing === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.push(resolve);
    });
  }
}
