/** The body of an answer as a stream with back-pressure towards the target. */
import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';

export interface AnswerBodyOptions {
  readonly controller: Dispatcher.DispatchController;
  /** Called once when the reader gives the body up or it ends early. */
  readonly onDestroyed: (error: Error | null) => void;
}

export class AnswerBody extends Readable {
  constructor(private readonly options: AnswerBodyOptions) {
    super();
  }

  /** Passes on a part; pauses the connection while the reader is behind. */
  append(chunk: Buffer): void {
    if (!this.push(chunk)) this.options.controller.pause();
  }

  override _read(): void {
    this.options.controller.resume();
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    this.options.onDestroyed(error);
    callback(error);
  }
}
