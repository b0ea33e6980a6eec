/** HTTP/1.1 calls to one address, with a limit on time and a clear statement of whether a call may have arrived. */
import { Pool } from 'undici';

/**
 * Time to open a connection, in milliseconds. A machine without power does not
 * answer the opening packet, and one that is back answers a new packet sooner
 * than the repetition of an old one, which follows after seconds.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Idle connections are kept this long, in milliseconds; new connections to workers are priced. */
const KEEP_ALIVE_MS = 60_000;

/** Longest answer that is read, in bytes; the store answers at most 1 MB of rows, which base64 and JSON enlarge. */
const MAX_ANSWER_BYTES = 8 * 2 ** 20;

/** The call never left this process. */
export class CallNotSentError extends Error {
  override readonly name = 'CallNotSentError';
}

/** The call may have arrived, and no answer came. */
export class CallOutcomeUnknownError extends Error {
  override readonly name = 'CallOutcomeUnknownError';
}

export interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly timeoutMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly body?: unknown;
}

export interface HttpResponse {
  readonly status: number;
  /** Decoded JSON; `null` if the answer has none. */
  readonly body: unknown;
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Calls one address over a bounded number of connections.
 *
 * @example
 * ```ts
 * const channel = new HttpChannel('10.0.0.7:8344', 4);
 * const { status, body } = await channel.call({ method: 'GET', path: '/rows', timeoutMs: 500 });
 * ```
 */
export class HttpChannel {
  private readonly pool: Pool;

  constructor(address: string, connections: number) {
    this.pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
  }

  /** Throws {@link CallNotSentError} or {@link CallOutcomeUnknownError}. */
  async call({ method, path, timeoutMs, headers, body }: HttpCall): Promise<HttpResponse> {
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort();
    }, timeoutMs);
    try {
      const answer = await this.pool.request({
        method,
        path,
        signal: abort.signal,
        headers: body === undefined ? { ...headers } : { 'content-type': 'application/json', ...headers },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      return { status: answer.statusCode, body: parseJson(await answer.body.text()) };
    } catch (error) {
      throw classify(error);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections; calls under way fail. */
  close(): void {
    void this.pool.destroy();
  }
}

function parseJson(text: string): unknown {
  if (text === '') return null;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new CallOutcomeUnknownError('The answer is not JSON.');
  }
}

function classify(error: unknown): Error {
  if (error instanceof CallOutcomeUnknownError) return error;
  const { code, message } = describe(error);
  if (NOT_SENT_CODES.has(code)) return new CallNotSentError(`The connection was not opened: ${message}`);
  return new CallOutcomeUnknownError(`No answer arrived: ${message}`);
}

/** Errors of sockets may come from another realm, so that they are told by their fields. */
function describe(error: unknown): { readonly code: string; readonly message: string } {
  if (typeof error !== 'object' || error === null) return { code: '', message: String(error) };
  const text = (value: unknown): string => (typeof value === 'string' ? value : '');
  return {
    code: text('code' in error ? error.code : ''),
    message: text('message' in error ? error.message : ''),
  };
}
