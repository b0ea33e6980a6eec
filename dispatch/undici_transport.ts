/** Makes attempts over HTTP/1.1 without pipelining, with one connection pool per address. */
import { Pool } from 'undici';
import type { Clock } from '../kernel/clock';
import type { Counters } from '../telemetry/counters';
import { Attempt } from './attempt';
import {
  AttemptTransport,
  type AttemptRequest,
  type AttemptResult,
  type AttemptTarget,
} from './attempt_transport';

/** Time in milliseconds after which a target that has not accepted a connection is unreachable. */
const CONNECT_TIMEOUT_MS = 1_000;

export interface UndiciTransportOptions {
  readonly clock: Clock;
  readonly counters: Counters;
}

export class UndiciTransport extends AttemptTransport {
  private readonly connectionPools = new Map<string, Pool>();
  private readonly closingPools = new Set<Promise<void>>();

  constructor(private readonly options: UndiciTransportOptions) {
    super();
  }

  override attempt(target: AttemptTarget, request: AttemptRequest): Promise<AttemptResult> {
    const { clock, counters } = this.options;
    const attempt = new Attempt({ clock, counters, instanceId: target.instanceId, request });
    return attempt.run(this.connectionPoolOf(target));
  }

  override retainOnly(targets: readonly AttemptTarget[]): void {
    const origins = new Set(targets.map(originOf));
    for (const [origin, pool] of this.connectionPools) {
      if (origins.has(origin)) continue;
      this.connectionPools.delete(origin);
      const closed: Promise<void> = pool.close().finally(() => this.closingPools.delete(closed));
      this.closingPools.add(closed);
    }
  }

  override async close(): Promise<void> {
    await Promise.all([
      ...this.closingPools,
      ...[...this.connectionPools.values()].map((pool) => pool.close()),
    ]);
  }

  private connectionPoolOf(target: AttemptTarget): Pool {
    const origin = originOf(target);
    const known = this.connectionPools.get(origin);
    if (known) return known;
    const pool = new Pool(origin, {
      connections: target.connections,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
    });
    this.connectionPools.set(origin, pool);
    return pool;
  }
}

function originOf(target: AttemptTarget): string {
  return `http://${target.host}:${target.port}`;
}
