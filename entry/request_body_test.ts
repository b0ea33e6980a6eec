/** Guards against bodies that exceed the size limit or never end, which would occupy memory and connections. */
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { readBody } from './request_body';

function streamOf(parts: readonly string[], ends: boolean): ReadableStream<Uint8Array> {
  return new ReadableStream({
    start(controller) {
      for (const part of parts) controller.enqueue(Buffer.from(part));
      if (ends) controller.close();
    },
  });
}

async function errorOf(body: ReadableStream<Uint8Array>, timeoutMs: number): Promise<RequestError | null> {
  try {
    await readBody(body, { maxBytes: 8, timeoutMs });
    return null;
  } catch (error) {
    if (error instanceof RequestError) return error;
    throw error;
  }
}

describe('readBody', () => {
  test('joins the parts of a body up to the limit', async () => {
    const body = await readBody(streamOf(['abcd', 'efgh'], true), { maxBytes: 8, timeoutMs: 10_000 });
    expect(body.toString()).toBe('abcdefgh');
  });

  test('rejects a body over the limit without waiting for its end', async () => {
    const requestError = await errorOf(streamOf(['abcd', 'efghi'], false), 10_000);
    expect(requestError?.result).toBe(RESULT_CODES.bodyTooLarge);
    expect(requestError?.outcome).toBe('not_run');
  });

  test('rejects a body that does not arrive within the time limit', async () => {
    const requestError = await errorOf(streamOf(['abcd'], false), 10);
    expect(requestError?.result).toBe(RESULT_CODES.bodyTimeout);
  });
});
