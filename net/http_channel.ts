/**
 * HTTP/1.1 calls to one address, with a time limit. The errors distinguish calls
 * that were not sent from calls that may have arrived.
 */
import { Pool } from 'undici';

/**
 * Time limit for opening a connection, in milliseconds. A machine without power
 * does not respond to the SYN packet. Once it is running again, it responds
 * sooner to a new attempt than to a retransmitted SYN, which follows only after
 * seconds.
 */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Time for which idle connections stay open, in milliseconds; the platform charges
 * for new connections to workers.
 */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/**
 * Maximum length of a response, in bytes. The store returns at most 1 MB of rows,
 * which base64 and JSON enlarge.
 */
const MAX_RESPONSE_BYTES = 8 * 2 ** 20;

/** The call was not sent. */
export class CallNotSentError extends Error {
  override readonly name = 'CallNotSentError';
}

/** The call may have arrived, but the response is missing or invalid. */
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
  /** Decoded JSON; `null` if the response has no body. */
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
  private readonly connectionPool: Pool;

  constructor(address: string, connections: number) {
    this.connectionPool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }

  /** Throws {@link CallNotSentError} or {@link CallOutcomeUnknownError}. */
  async call({ method, path, timeoutMs, headers, body }: HttpCall): Promise<HttpResponse> {
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort();
    }, timeoutMs);
    try {
      const response = await this.connectionPool.request({
        method,
        path,
        signal: abort.signal,
        headers: body === undefined ? { ...headers } : { 'content-type': 'application/json', ...headers },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      return { status: response.statusCode, body: parseJson(await response.body.text()) };
    } catch (error) {
      throw toCallError(error);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections; calls in progress fail. */
  close(): void {
    void this.connectionPool.destroy();
  }
}

function parseJson(text: string): unknown {
  if (text === '') return null;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new CallOutcomeUnknownError('The response is not valid JSON.');
  }
}

function toCallError(error: unknown): Error {
  if (error instanceof CallOutcomeUnknownError) return error;
  const { code, message } = errorFields(error);
  if (NOT_SENT_CODES.has(code)) return new CallNotSentError(`The connection was not opened: ${message}`);
  return new CallOutcomeUnknownError(`No response arrived: ${message}`);
}

/**
 * Socket errors may come from another realm, where `instanceof Error` fails, so
 * they are recognised by their fields.
 */
function errorFields(error: unknown): { readonly code: string; readonly message: string } {
  if (typeof error !== 'object' || error === null) return { code: '', message: String(error) };
  const text = (value: unknown): string => (typeof value === 'string' ? value : '');
  return {
    code: text('code' in error ? error.code : ''),
    message: text('message' in error ? error.message : ''),
  };
}
