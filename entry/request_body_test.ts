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

async function refusalOf(body: ReadableStream<Uint8Array>, timeoutMs: number): Promise<RequestError | null> {
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

  test('refuses a body over the limit without waiting for its end', async () => {
    const refusal = await refusalOf(streamOf(['abcd', 'efghi'], false), 10_000);
    expect(refusal?.result).toBe(RESULT_CODES.bodyTooLarge);
    expect(refusal?.outcome).toBe('not_run');
  });

  test('does not wait for ever for a caller that stops sending', async () => {
    const refusal = await refusalOf(streamOf(['abcd'], false), 10);
    expect(refusal?.result).toBe(RESULT_CODES.bodyTimeout);
  });
});
