/** Slots of a target stand-in: a fixed number of requests runs at once, the others wait in order. */

export class WorkerSlots {
  private running = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly slots: number) {}

  /** Number of requests that are running now. */
  busy(): number {
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
