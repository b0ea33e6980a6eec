/** Closed-loop HTTP load: a fixed number of concurrent callers sends a fixed number of requests. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

export interface HttpLoadOptions {
  /** Origins that receive the requests in turn. */
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
  /** Number of requests that failed or got a status other than 200. */
  readonly failed: number;
}

/** Sends all requests and resolves with the throughput and the latencies. */
export async function runHttpLoad(options: HttpLoadOptions): Promise<HttpLoadResult> {
  const pools = options.origins.map((origin) => new Pool(origin, { connections: options.concurrency }));
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const startMs = performance.now();
  let sentCount = 0;
  let failed = 0;
  const runCaller = async (): Promise<void> => {
    while (sentCount < options.requests) {
      const pool = pools[sentCount % pools.length];
      sentCount += 1;
      if (pool !== undefined && !(await sendOne(pool, options, histogram))) failed += 1;
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, runCaller));
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

/** Whether the request succeeded; records the latency of every response. */
async function sendOne(pool: Pool, options: HttpLoadOptions, histogram: Histogram): Promise<boolean> {
  const startMs = performance.now();
  try {
    const response = await pool.request({ method: 'GET', path: options.path, headers: options.headers });
    await response.body.dump();
    histogram.recordValue(Math.round((performance.now() - startMs) * 1_000));
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
