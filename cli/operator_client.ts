/** Client of the operators API. */
import { request } from 'undici';
import { z } from 'zod';

/**
 * Time limit of a call, in milliseconds. A ticket takes up to 3 s to take effect;
 * the rest allows for slow calls of the table service.
 */
const CALL_TIMEOUT_MS = 15_000;

const problemSchema = z.object({
  code: z.number(),
  title: z.string(),
  detail: z.string(),
  outcome: z.string(),
});

/** The system rejected the request. */
export class OperatorRequestRejectedError extends Error {
  override readonly name = 'OperatorRequestRejectedError';

  constructor(
    readonly code: number,
    message: string,
  ) {
    super(message);
  }
}

/** No entry instance responded. */
export class UnreachableError extends Error {
  override readonly name = 'UnreachableError';
}

export interface OperatorClientOptions {
  readonly urls: readonly string[];
  readonly token: string;
}

/**
 * Calls the first entry instance that responds. Every call is safe to retry:
 * a ticket that was accepted before is recognised by its number.
 *
 * @example
 * ```ts
 * const client = new OperatorClient({ urls: ['http://10.0.0.1:8081'], token });
 * const status = await client.get('/v1/status');
 * ```
 */
export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  get(path: string): Promise<unknown> {
    return this.callFirstAvailable('GET', path, null);
  }

  post(path: string, body: string): Promise<unknown> {
    return this.callFirstAvailable('POST', path, body);
  }

  private async callFirstAvailable(
    method: 'GET' | 'POST',
    path: string,
    body: string | null,
  ): Promise<unknown> {
    const failures: string[] = [];
    for (const url of this.options.urls) {
      try {
        return await this.call(new URL(path, url), method, body);
      } catch (error) {
        if (error instanceof OperatorRequestRejectedError) throw error;
        failures.push(`${url}: ${error instanceof Error ? error.message : String(error)}`);
      }
    }
    throw new UnreachableError(`No entry instance responded. ${failures.join(' ')}`);
  }

  private async call(url: URL, method: 'GET' | 'POST', body: string | null): Promise<unknown> {
    const response = await request(url, {
      method,
      body,
      headers: { authorization: `Bearer ${this.options.token}`, 'content-type': 'application/json' },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const responseBody: unknown = await response.body.json();
    if (response.statusCode < 400) return responseBody;
    const problem = problemSchema.parse(responseBody);
    throw new OperatorRequestRejectedError(
      problem.code,
      `${problem.title} ${problem.detail === problem.title ? '' : problem.detail}(code ${problem.code}, ${problem.outcome})`,
    );
  }
}
