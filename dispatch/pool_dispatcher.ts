/** Sends requests to the serving instances of a pool over HTTP/1.1. */
import { randomInt, randomUUID } from 'node:crypto';
import { Pool, errors } from 'undici';
import type { Clock } from '../kernel/clock';
import type { FleetConfiguration, Instance } from '../model/fleet';
import { Refusal } from '../model/refusal';
import { RESULT_CODES } from '../model/result_code';
import type { InFlightCounter } from './in_flight';
import { Dispatcher, type DispatchRequest, type Headers, type TargetAnswer } from './dispatcher';

export interface PoolDispatcherOptions {
  readonly inFlight: InFlightCounter;
  readonly clock: Clock;
  readonly fleet: () => FleetConfiguration;
}

export class PoolDispatcher extends Dispatcher {
  private readonly connections = new Map<string, Pool>();

  constructor(private readonly options: PoolDispatcherOptions) {
    super();
  }

  override async dispatch(request: DispatchRequest): Promise<TargetAnswer> {
    const targets = this.servingInstances(request.poolId);
    const target = targets[randomInt(Math.max(1, targets.length))];
    if (target === undefined)
      throw new Refusal(RESULT_CODES.noTarget, { outcome: 'not_run', retryAfterS: 1 });
    const end = this.options.inFlight.begin(target.instanceId);
    try {
      const answer = await this.attempt(target, request);
      answer.body.once('close', end);
      return answer;
    } catch (error) {
      end();
      throw toRefusal(error);
    }
  }

  /** Closes all connections once their requests have ended. */
  async close(): Promise<void> {
    await Promise.all([...this.connections.values()].map((pool) => pool.close()));
  }

  private servingInstances(poolId: string): readonly Instance[] {
    const fleet = this.options.fleet();
    return [...fleet.instances.values()].filter((instance) => {
      const state = fleet.instanceStates.get(instance.instanceId);
      return state?.poolId === poolId && state.state === 'serving';
    });
  }

  private async attempt(target: Instance, request: DispatchRequest): Promise<TargetAnswer> {
    const leftMs = Math.max(1, request.deadlineAtMs - this.options.clock.monotonicMs());
    const answer = await this.poolOf(target).request({
      method: request.method,
      path: request.path,
      headers: { ...mutableHeaders(request.headers), 'endivestand-attempt-id': randomUUID() },
      body: request.body,
      headersTimeout: leftMs,
      bodyTimeout: leftMs,
      signal: request.signal,
    });
    return {
      status: answer.statusCode,
      headers: definedHeaders(answer.headers),
      body: answer.body,
      instanceId: target.instanceId,
    };
  }

  private poolOf(target: Instance): Pool {
    const origin = `http://${target.host}:${target.port}`;
    const known = this.connections.get(origin);
    if (known) return known;
    const pool = new Pool(origin, { connections: target.connections, pipelining: 1, connectTimeout: 1_000 });
    this.connections.set(origin, pool);
    return pool;
  }
}

function mutableHeaders(headers: Headers): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, typeof value === 'string' ? value : [...value]]),
  );
}

function definedHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Headers {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) => (value === undefined ? [] : [[name, value]])),
  );
}

function toRefusal(error: unknown): Refusal {
  const code = error instanceof Error && 'code' in error ? error.code : undefined;
  if (error instanceof errors.ConnectTimeoutError || code === 'ECONNREFUSED') {
    return new Refusal(RESULT_CODES.targetUnreachable, { outcome: 'not_run', retryAfterS: 1, cause: error });
  }
  if (error instanceof errors.HeadersTimeoutError) {
    return new Refusal(RESULT_CODES.targetTimeout, { outcome: 'may_have_run', cause: error });
  }
  return new Refusal(RESULT_CODES.targetFailed, { outcome: 'may_have_run', cause: error });
}
