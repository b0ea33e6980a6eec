/** Serial execution of turns: the only place where shared state changes. */

/** One unit of work; runs to completion before the next one starts. */
export type Turn = () => void;

/** Receives what a failing turn threw. */
export type TurnErrorHandler = (error: unknown) => void;

/**
 * First-in, first-out queue of turns on the process's single thread. The
 * queue sleeps while it is empty.
 *
 * @example
 * ```ts
 * const loop = new EventLoop((error) => console.error(error));
 * loop.post(() => console.log('first'));
 * loop.post(() => console.log('second'));
 * ```
 */
export class EventLoop {
  private turns: Turn[] = [];
  private scheduled = false;

  constructor(private readonly onError: TurnErrorHandler) {}

  /** Appends a turn. A turn that throws is reported and does not stop the loop. */
  post(turn: Turn): void {
    this.turns.push(turn);
    if (this.scheduled) return;
    this.scheduled = true;
    queueMicrotask(() => {
      this.drain();
    });
  }

  private drain(): void {
    const batch = this.turns;
    this.turns = [];
    this.scheduled = false;
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
