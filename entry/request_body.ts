/** Reads request bodies, with limits on their size and on the time they take to arrive. */
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';

export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** Time for the whole body to arrive, in milliseconds. */
  readonly timeoutMs: number;
}

/** Reads a whole body. Rejects with `RequestError`, outcome `not_run`, if it is too large or too slow. */
export async function readBody(
  body: ReadableStream<Uint8Array> | null,
  options: ReadBodyOptions,
): Promise<Buffer> {
  if (body === null) return Buffer.alloc(0);
  const reader = body.getReader();
  const chunks: Uint8Array[] = [];
  let timedOut = false;
  let lengthBytes = 0;
  const timer = setTimeout(() => {
    timedOut = true;
    void reader.cancel();
  }, options.timeoutMs);
  try {
    for (let chunk = await reader.read(); !chunk.done; chunk = await reader.read()) {
      lengthBytes += chunk.value.byteLength;
      if (lengthBytes > options.maxBytes)
        throw new RequestError(RESULT_CODES.bodyTooLarge, { outcome: 'not_run' });
      chunks.push(chunk.value);
    }
  } finally {
    clearTimeout(timer);
  }
  // The timer may have set `timedOut` while the loop waited, which the compiler does not see.
  if (timedOut as boolean) throw new RequestError(RESULT_CODES.bodyTimeout, { outcome: 'not_run' });
  return Buffer.concat(chunks);
}
