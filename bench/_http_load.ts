/** Bounded load over HTTP from a fixed number of concurrent callers. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

export interface HttpLoadOptions {
  /** Origins that requests go to in turn. */
  readonly origins: readonly string[];
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly requests: number;
  readonly concurrency: number;
}

export interface HttpLoadResult {
  readonly requestsPerS: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly maxUs: number;
  /** Answers with a status other than 200, and failed requests. */
  readonly failed: number;
}

/** Sends the requests and resolves with latencies in microseconds. */
export async function runHttpLoad(options: HttpLoadOptions): Promise<HttpLoadResult> {
  const pools = options.origins.map((origin) => new Pool(origin, { connections: options.concurrency }));
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const startMs = performance.now();
  let next = 0;
  let failed = 0;
  const caller = async (): Promise<void> => {
    while (next < options.requests) {
      const pool = pools[next % pools.length];
      next += 1;
      if (pool !== undefined && !(await sendOne(pool, options, histogram))) failed += 1;
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, caller));
  const elapsedS = (performance.now() - startMs) / 1_000;
  await Promise.all(pools.map((pool) => pool.close()));
  return {
    requestsPerS: options.requests / elapsedS,
    p50Us: histogram.getValueAtPercentile(50),
    p99Us: histogram.getValueAtPercentile(99),
    maxUs: histogram.maxValue,
    failed,
  };
}

async function sendOne(pool: Pool, options: HttpLoadOptions, histogram: Histogram): Promise<boolean> {
  const startMs = performance.now();
  try {
    const answer = await pool.request({ method: 'GET', path: options.path, headers: options.headers });
    await answer.body.dump();
    histogram.recordValue(Math.round((performance.now() - startMs) * 1_000));
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
