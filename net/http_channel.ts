/**
 * HTTP/1.1 calls to one address, with a time limit. The errors distinguish calls
 * that were not sent from calls that may have arrived.
 */
import { Pool, type Dispatcher } from 'undici';

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
  /** Asked when the call has got a connection; if `false`, it is not sent. */
  readonly maySend?: () => boolean;
}

export interface HttpResponse {
  readonly status: number;
  /** Decoded JSON; `null` if the response has no body. */
  readonly body: unknown;
}

/** `UND_ERR_INVALID_ARG`: the client refused to send the call, for example because of a header's characters. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
]);

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
  /** `null` if the address cannot be called. */
  private readonly connectionPool: Pool | null;
  private changeCount = 0;

  /** Calls to an `address` that is not a host and a port fail with {@link CallNotSentError}. */
  constructor(
    private readonly address: string,
    connections: number,
  ) {
    this.connectionPool = createPool(address, connections);
    const countChange = (): void => {
      this.changeCount += 1;
    };
    this.connectionPool?.on('connect', countChange).on('disconnect', countChange);
  }

  /** How often a connection was opened or closed. */
  get connectionChanges(): number {
    return this.changeCount;
  }

  /** Throws {@link CallNotSentError} or {@link CallOutcomeUnknownError}. */
  call({ method, path, timeoutMs, headers, body, maySend }: HttpCall): Promise<HttpResponse> {
    const { connectionPool } = this;
    if (connectionPool === null)
      return Promise.reject(
        new CallNotSentError(`The address ${JSON.stringify(this.address)} is malformed.`),
      );
    return new Promise((resolve, reject) => {
      const options = {
        method,
        path,
        headers: body === undefined ? { ...headers } : { 'content-type': 'application/json', ...headers },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      };
      connectionPool.dispatch(options, new CallHandler({ timeoutMs, resolve, reject, maySend }));
    });
  }

  /** Closes all connections; calls in progress fail. */
  close(): void {
    void this.connectionPool?.destroy();
  }
}

/** Returns `null` for an address for which the HTTP client throws. */
function createPool(address: string, connections: number): Pool | null {
  try {
    return new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  } catch {
    return null;
  }
}

interface CallHandlerOptions {
  readonly timeoutMs: number;
  readonly maySend: (() => boolean) | undefined;
  readonly resolve: (response: HttpResponse) => void;
  readonly reject: (error: Error) => void;
}

/**
 * Collects the response to one call. The handler interface of the HTTP client costs
 * about half the processor time of its promise interface, which creates a stream and
 * an abort signal for each call.
 */
class CallHandler implements Dispatcher.DispatchHandler {
  private readonly timer: NodeJS.Timeout;
  private readonly chunks: Buffer[] = [];
  private controller: Dispatcher.DispatchController | null = null;
  private status = 0;
  private hasTimedOut = false;

  constructor(private readonly options: CallHandlerOptions) {
    this.timer = setTimeout(() => {
      this.hasTimedOut = true;
      const error =
        this.controller === null
          ? new CallNotSentError('No connection became free within the time limit.')
          : new CallOutcomeUnknownError('No response arrived within the time limit.');
      this.controller?.abort(error);
      options.reject(error);
    }, options.timeoutMs);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    // The call waited for a connection until after its time limit, and must not be sent any more.
    if (this.hasTimedOut) controller.abort(new CallNotSentError('The time limit had passed.'));
    else if (this.options.maySend?.() === false)
      controller.abort(new CallNotSentError('The permission to send the call had ended.'));
  }

  onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.status = statusCode;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    clearTimeout(this.timer);
    const [first, ...rest] = this.chunks;
    const text = (rest.length === 0 ? first : Buffer.concat(this.chunks))?.toString('utf8') ?? '';
    try {
      this.options.resolve({ status: this.status, body: parseJson(text) });
    } catch (error) {
      this.options.reject(toCallError(error));
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    clearTimeout(this.timer);
    this.options.reject(toCallError(error));
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
  if (error instanceof CallOutcomeUnknownError || error instanceof CallNotSentError) return error;
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
