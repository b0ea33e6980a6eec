/** The body of a response as a stream with back-pressure towards the target. */
import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';

export interface ResponseBodyOptions {
  readonly controller: Dispatcher.DispatchController;
  /** Called once when the stream is destroyed: at its end, when it ends early or when the reader abandons it. */
  readonly onDestroyed: (error: Error | null) => void;
}

export class ResponseBody extends Readable {
  constructor(private readonly options: ResponseBodyOptions) {
    super();
  }

  /** Adds a chunk; pauses the connection while the buffer of the reader is full. */
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
