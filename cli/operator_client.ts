/** Client of the operators API. */
import { request } from 'undici';
import { z } from 'zod';

/** A ticket needs up to 3 s to be in effect; the rest is for the table service. */
const CALL_TIMEOUT_MS = 15_000;

const problemSchema = z.object({
  code: z.number(),
  title: z.string(),
  detail: z.string(),
  outcome: z.string(),
});

/** The system refused the call. */
export class OperatorRefusedError extends Error {
  override readonly name = 'OperatorRefusedError';

  constructor(
    readonly code: number,
    message: string,
  ) {
    super(message);
  }
}

/** No entry instance answered. */
export class UnreachableError extends Error {
  override readonly name = 'UnreachableError';
}

export interface OperatorClientOptions {
  readonly urls: readonly string[];
  readonly token: string;
}

/**
 * Calls the first entry instance that answers. Every call may be repeated:
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
    return this.callAny('GET', path, null);
  }

  post(path: string, body: string): Promise<unknown> {
    return this.callAny('POST', path, body);
  }

  private async callAny(method: 'GET' | 'POST', path: string, body: string | null): Promise<unknown> {
    const failures: string[] = [];
    for (const url of this.options.urls) {
      try {
        return await this.call(new URL(path, url), method, body);
      } catch (error) {
        if (error instanceof OperatorRefusedError) throw error;
        failures.push(`${url}: ${error instanceof Error ? error.message : String(error)}`);
      }
    }
    throw new UnreachableError(`No entry instance answered. ${failures.join(' ')}`);
  }

  private async call(url: URL, method: 'GET' | 'POST', body: string | null): Promise<unknown> {
    const answer = await request(url, {
      method,
      body,
      headers: { authorization: `Bearer ${this.options.token}`, 'content-type': 'application/json' },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const content: unknown = await answer.body.json();
    if (answer.statusCode < 400) return content;
    const problem = problemSchema.parse(content);
    throw new OperatorRefusedError(
      problem.code,
      `${problem.title} ${problem.detail === problem.title ? '' : problem.detail}(code ${problem.code}, ${problem.outcome})`,
    );
  }
}
