/** Attempts over HTTP/1.1 connections without pipelining, one pool of connections per address. */
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

/** An address that does not accept a connection within this time is treated as unreachable. */
const CONNECT_TIMEOUT_MS = 1_000;

export interface UndiciTransportOptions {
  readonly clock: Clock;
  readonly counters: Counters;
}

export class UndiciTransport extends AttemptTransport {
  private readonly pools = new Map<string, Pool>();
  private readonly closing = new Set<Promise<void>>();

  constructor(private readonly options: UndiciTransportOptions) {
    super();
  }

  override attempt(target: AttemptTarget, request: AttemptRequest): Promise<AttemptResult> {
    const { clock, counters } = this.options;
    const attempt = new Attempt({ clock, counters, instanceId: target.instanceId, request });
    return attempt.run(this.poolOf(target));
  }

  override retainOnly(targets: readonly AttemptTarget[]): void {
    const origins = new Set(targets.map(originOf));
    for (const [origin, pool] of this.pools) {
      if (origins.has(origin)) continue;
      this.pools.delete(origin);
      const closed: Promise<void> = pool.close().finally(() => this.closing.delete(closed));
      this.closing.add(closed);
    }
  }

  override async close(): Promise<void> {
    await Promise.all([...this.closing, ...[...this.pools.values()].map((pool) => pool.close())]);
  }

  private poolOf(target: AttemptTarget): Pool {
    const origin = originOf(target);
    const known = this.pools.get(origin);
    if (known) return known;
    const pool = new Pool(origin, {
      connections: target.connections,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
    });
    this.pools.set(origin, pool);
    return pool;
  }
}

function originOf(target: AttemptTarget): string {
  return `http://${target.host}:${target.port}`;
}
