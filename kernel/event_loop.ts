/** Runs turns one after the other; shared state changes only within a turn. */

/** One unit of work, which runs to completion before the next one starts. */
export type Turn = () => void;

/** Called with the error that a turn threw. */
export type TurnErrorHandler = (error: unknown) => void;

/**
 * First-in, first-out queue of turns on the process's single thread. No
 * callback is scheduled while the queue is empty.
 *
 * @example
 * ```ts
 * const loop = new EventLoop((error) => console.error(error));
 * loop.post(() => console.log('first'));
 * loop.post(() => console.log('second'));
 * ```
 */
export class EventLoop {
  private queued: Turn[] = [];
  private isScheduled = false;

  constructor(private readonly onError: TurnErrorHandler) {}

  /** Appends a turn. An error that it throws is passed to the error handler, and later turns still run. */
  post(turn: Turn): void {
    this.queued.push(turn);
    if (this.isScheduled) return;
    this.isScheduled = true;
    queueMicrotask(() => {
      this.runQueued();
    });
  }

  private runQueued(): void {
    const batch = this.queued;
    this.queued = [];
    this.isScheduled = false;
    for (const turn of batch) this.run(turn);
  }

  private run(turn: Turn): void {
    try {
      turn();
    } catch (error) {
      this.onError(error);
    }
  }
}
