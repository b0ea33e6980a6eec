/** Limits how many requests a target stand-in runs at once; the others wait in first-in, first-out order. */

export class WorkerSlots {
  private running = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly slots: number) {}

  /** Number of requests that are running. */
  runningCount(): number {
    return this.running;
  }

  /** Runs `task` once a slot is free. */
  async run<T>(task: () => Promise<T>): Promise<T> {
    if (this.running >= this.slots) await new Promise<void>((resolve) => this.waiting.push(resolve));
    this.running += 1;
    try {
      return await task();
    } finally {
      this.running -= 1;
      this.waiting.shift()?.();
    }
  }
}
